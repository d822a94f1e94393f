#include "siskinspread/Ids.h"

#include <doctest/doctest.h>

namespace siskinspread {

TEST_CASE("a request id survives its text form")
{
    const RequestId id { .incarnation = { "gauteng-1a.00f3a1b2c4d5e6f7" }, .sequence = 42 };
    LastReason reason;
    const auto parsed = parseRequestId(formatRequestId(id), reason);
    REQUIRE(parsed);
    CHECK(*parsed == id);
}

TEST_CASE("text that is not a request id is refused with a reason")
{
    for (const char* text : { "", "-", "-1", "host", "host-", "host-0", "host-x", "host-1x", "host--1" }) {
        LastReason reason;
        CAPTURE(text);
        if (std::string_view { text } == "host--1") {
            CHECK(parseRequestId(text, reason)); // the host name may itself end in a dash
            continue;
        }
        CHECK_FALSE(parseRequestId(text, reason));
        CHECK(reason.code == ResultCode::UnknownRequest);
    }
}

TEST_CASE("the id of a second try leads to the first request, and that of a refusal to no account")
{
    const RequestId first { .incarnation = { "host-r1.0a" }, .sequence = 7 };
    LastReason reason;
    CHECK(parseAccountId(formatRequestId(first), reason) == first);
    CHECK(parseAccountId(formatRepeatId(first, "host-2.0b-r5"), reason) == first);
    CHECK_FALSE(parseAccountId("host-2.0b-r5", reason));
    CHECK(reason.detail.find("refused before it was accepted") != std::string::npos);
}

} // namespace siskinspread
