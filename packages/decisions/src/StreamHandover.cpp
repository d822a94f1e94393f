#include "siskinspread/StreamHandover.h"

#include <algorithm>
#include <charconv>

namespace siskinspread {

namespace {

    std::optional<uint32_t> wholeNumber(const std::string& text)
    {
        uint32_t value = 0;
        const char* end = text.data() + text.size();
        const auto [read, error] = std::from_chars(text.data(), end, value);
        if (error != std::errc {} || read != end) {
            return std::nullopt;
        }
        return value;
    }

    template <typename Iterator>
    void turn(Iterator begin, Iterator end, uint64_t seed)
    {
        if (begin != end) {
            std::rotate(begin, begin + static_cast<std::ptrdiff_t>(seed % static_cast<uint64_t>(end - begin)), end);
        }
    }

} // namespace

std::vector<std::string> handoverOrder(std::vector<HandoverCandidate> candidates, const std::string& failureDomain, uint64_t seed)
{
    std::sort(candidates.begin(), candidates.end(), [](const auto& a, const auto& b) { return a.host < b.host; });
    const auto others = std::stable_partition(candidates.begin(), candidates.end(), [&](const auto& candidate) { return candidate.failureDomain == failureDomain; });
    turn(candidates.begin(), others, seed);
    turn(others, candidates.end(), seed);
    std::vector<std::string> order;
    order.reserve(candidates.size());
    for (const HandoverCandidate& candidate : candidates) {
        order.push_back(candidate.host);
    }
    return order;
}

AttachDecision decideAttach(const std::optional<HeldStream>& held, const AttachCall& call)
{
    if (!held || held->customer != call.customer) {
        return AttachNotHere {};
    }
    if (!held->handedOver) {
        return AttachRefused { .code = ResultCode::StreamNotAttachable };
    }
    if (!held->streamed) {
        return AttachAfter { .tokens = held->tokensSent };
    }
    if (!call.lastEventId && !held->tokensSent) {
        return AttachAfter { .tokens = 0 }; // nothing was sent that the header could name
    }
    const auto last = call.lastEventId ? wholeNumber(*call.lastEventId) : std::nullopt;
    if (!last || *last > held->tokensSent) {
        return AttachRefused { .code = ResultCode::LastEventIdInvalid };
    }
    return AttachAfter { .tokens = *last };
}

std::variant<AttachAt, AttachImpossible> decideByAccount(const AttachLookup& lookup)
{
    const AccountAnswer& found = lookup.account;
    const bool isTheirs = found.standing != AccountStanding::NotFound && found.account.customer == lookup.customer;
    if (!isTheirs && lookup.hostAnswered) {
        return AttachImpossible { .code = ResultCode::UnknownRequest, .runState = RunState::NotRun };
    }
    if (!isTheirs) {
        return AttachImpossible { .code = ResultCode::Interrupted, .runState = RunState::MayHaveRun };
    }
    if (found.request != lookup.asked) {
        return AttachAt { .request = found.request };
    }
    if (found.account.result == ResultCode::Interrupted) {
        return AttachImpossible { .code = ResultCode::Interrupted, .runState = found.account.runState };
    }
    const RunState runState = found.standing == AccountStanding::InProgress ? RunState::MayHaveRun : found.account.runState;
    return AttachImpossible { .code = ResultCode::StreamNotAttachable, .runState = runState };
}

} // namespace siskinspread
