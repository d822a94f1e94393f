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

} // namespace siskinspread
