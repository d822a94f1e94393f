#include "siskinspread/HandedOverRequest.h"

#include <doctest/doctest.h>

namespace siskinspread {

namespace {

    const HandedOverRequest request {
        .from = { .incarnation = { "a.0000000000000001" }, .sequence = 4 },
        .customer = "museum",
        .body = { { "model", "drafts" }, { "messages", { { { "role", "user" }, { "content", "two lamps" } } } } },
        .tokensSent = 7,
        .text = "so far",
        .timeLeft = std::chrono::milliseconds { 1500 },
        .runState = RunState::MayHaveRun,
    };

} // namespace

TEST_CASE("a request arrives as it was handed over")
{
    LastReason reason;
    const auto read = decodeHandedOverRequest(encodeHandedOverRequest(request), reason);
    REQUIRE(read);
    CHECK(read->from == request.from);
    CHECK(read->customer == request.customer);
    CHECK(read->body == request.body);
    CHECK(read->tokensSent == request.tokensSent);
    CHECK(read->text == request.text);
    CHECK(read->timeLeft == request.timeLeft);
    CHECK(read->runState == request.runState);
}

TEST_CASE("an offer that lacks a field or has one of another kind is refused")
{
    const auto whole = nlohmann::json::parse(encodeHandedOverRequest(request));
    for (const auto& item : whole.items()) {
        const std::string& name = item.key();
        CAPTURE(name);
        for (const bool removed : { true, false }) {
            auto damaged = whole;
            removed ? static_cast<void>(damaged.erase(name)) : static_cast<void>(damaged[name] = nullptr);
            LastReason reason;
            CHECK_FALSE(decodeHandedOverRequest(damaged.dump(), reason));
            CHECK(reason.code != ResultCode::Ok);
        }
    }
    LastReason reason;
    CHECK_FALSE(decodeHandedOverRequest("[]", reason));
    CHECK_FALSE(decodeHandedOverRequest("{", reason));
}

} // namespace siskinspread
