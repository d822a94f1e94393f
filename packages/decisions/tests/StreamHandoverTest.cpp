#include "siskinspread/StreamHandover.h"

#include <doctest/doctest.h>

namespace siskinspread {

namespace {

    const RequestId oldId { .incarnation = { "a.0000000000000001" }, .sequence = 2 };
    const RequestId newId { .incarnation = { "b.0000000000000002" }, .sequence = 4 };

    AttachDecision attach(const std::optional<std::string>& lastEventId, uint32_t tokensSent = 5)
    {
        return decideAttach(HeldStream { .customer = "museum", .handedOver = true, .streamed = true, .tokensSent = tokensSent }, { .customer = "museum", .lastEventId = lastEventId });
    }

    AttachLookup lookup(const RequestId& found, AccountStanding standing, ResultCode result)
    {
        AttachLookup value { .asked = oldId, .customer = "museum", .hostAnswered = false, .account = {} };
        value.account.standing = standing;
        value.account.request = found;
        value.account.account.customer = "museum";
        value.account.account.result = result;
        value.account.account.runState = RunState::MayHaveRun;
        return value;
    }

    AttachImpossible impossible(const AttachLookup& value)
    {
        return std::get<AttachImpossible>(decideByAccount(value));
    }

} // namespace

TEST_CASE("a caller goes on after any event that was sent, and after no other")
{
    for (uint32_t last = 0; last <= 5; ++last) {
        CHECK(attach(std::to_string(last)) == AttachDecision { AttachAfter { .tokens = last } });
    }
    for (const char* wrong : { "6", "-1", "", " 3", "3 ", "3x", "x", "4294967296", "99999999999999999999" }) {
        CAPTURE(wrong);
        CHECK(attach(wrong) == AttachDecision { AttachRefused { .code = ResultCode::LastEventIdInvalid } });
    }
    CHECK(attach(std::nullopt) == AttachDecision { AttachRefused { .code = ResultCode::LastEventIdInvalid } });
    CHECK(attach(std::nullopt, 0) == AttachDecision { AttachAfter { .tokens = 0 } });
    CHECK(attach("1", 0) == AttachDecision { AttachRefused { .code = ResultCode::LastEventIdInvalid } });
}

TEST_CASE("another customer gets what an unknown id gets, at the holder and by the account")
{
    const HeldStream held { .customer = "museum", .handedOver = true, .streamed = true, .tokensSent = 5 };
    const AttachCall stranger { .customer = "gallery", .lastEventId = "3" };
    CHECK(decideAttach(held, stranger) == decideAttach(std::nullopt, stranger));
    for (const bool hostAnswered : { true, false }) {
        AttachLookup unknown { .asked = oldId, .customer = "gallery", .hostAnswered = hostAnswered, .account = {} };
        for (const auto standing : { AccountStanding::Final, AccountStanding::InProgress, AccountStanding::Provisional }) {
            for (const RequestId& found : { oldId, newId }) {
                AttachLookup theirs = lookup(found, standing, ResultCode::Ok);
                theirs.customer = "gallery";
                theirs.hostAnswered = hostAnswered;
                CHECK(decideByAccount(theirs) == decideByAccount(unknown));
            }
        }
    }
}

TEST_CASE("an answer that is being given to its first caller, and one that is not streamed")
{
    const AttachCall call { .customer = "museum", .lastEventId = std::nullopt };
    HeldStream held { .customer = "museum", .handedOver = false, .streamed = true, .tokensSent = 5 };
    CHECK(decideAttach(held, call) == AttachDecision { AttachRefused { .code = ResultCode::StreamNotAttachable } });
    held.handedOver = true;
    held.streamed = false;
    CHECK(decideAttach(held, call) == AttachDecision { AttachAfter { .tokens = 5 } });
}

TEST_CASE("the account leads to the new id, or tells why there is nothing to attach to")
{
    CHECK(std::get<AttachAt>(decideByAccount(lookup(newId, AccountStanding::InProgress, ResultCode::Ok))) == AttachAt { .request = newId });
    CHECK(impossible(lookup(oldId, AccountStanding::Final, ResultCode::Ok)).code == ResultCode::StreamNotAttachable);
    CHECK(impossible(lookup(oldId, AccountStanding::Final, ResultCode::Interrupted)) == AttachImpossible { .code = ResultCode::Interrupted, .runState = RunState::MayHaveRun });
    AttachLookup lost = lookup(oldId, AccountStanding::Provisional, ResultCode::OutcomeUnknown);
    lost.account.account.customer.clear(); // no entry: a host that was killed
    CHECK(impossible(lost) == AttachImpossible { .code = ResultCode::Interrupted, .runState = RunState::MayHaveRun });
    lost.hostAnswered = true;
    CHECK(impossible(lost).code == ResultCode::UnknownRequest);
}

TEST_CASE("hosts of the failure domain are asked first, and no host is left out")
{
    const std::vector<HandoverCandidate> candidates { { .host = "c", .failureDomain = "two" }, { .host = "b", .failureDomain = "one" }, { .host = "a", .failureDomain = "one" }, { .host = "d", .failureDomain = "two" } };
    CHECK(handoverOrder(candidates, "one", 0) == std::vector<std::string> { "a", "b", "c", "d" });
    CHECK(handoverOrder(candidates, "one", 1) == std::vector<std::string> { "b", "a", "d", "c" });
    CHECK(handoverOrder(candidates, "two", 2) == std::vector<std::string> { "c", "d", "a", "b" });
    CHECK(handoverOrder({}, "one", 3).empty());
}

} // namespace siskinspread
