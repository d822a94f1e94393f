#pragma once

#include "siskinspread/Accounts.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/** @file Who may go on with an answer that was handed over, and from where. See docs/design/stream-handover.md. */

namespace siskinspread {

/** A host that a request may be handed over to. */
struct HandoverCandidate {
    std::string host;
    std::string failureDomain;
};

/**
 * @return the candidates in the order in which they are asked: those of the failure domain first, each group turned by
 * `seed`, so that a host's requests spread over the others. Thread safety: reentrant.
 */
std::vector<std::string> handoverOrder(std::vector<HandoverCandidate> candidates, const std::string& failureDomain, uint64_t seed);

/** What the host that a request id names knows of the request. */
struct HeldStream {
    std::string customer;
    bool handedOver { false }; /**< It came by hand-over; any other is being answered to its first caller. */
    bool streamed { false }; /**< The caller asked for a stream. */
    uint32_t tokensSent { 0 }; /**< The highest event id that any caller of the request was sent. */
};

/** A caller that wants to go on with an answer. */
struct AttachCall {
    std::string customer;
    std::optional<std::string> lastEventId; /**< As the caller sent it. */
};

/** The request is not held here, as far as this customer may know. */
struct AttachNotHere {
    bool operator==(const AttachNotHere&) const = default;
};

struct AttachRefused {
    ResultCode code { ResultCode::StreamNotAttachable };
    bool operator==(const AttachRefused&) const = default;
};

/** Go on after this many tokens; where the answer is not streamed, after those that are kept. */
struct AttachAfter {
    uint32_t tokens { 0 };
    bool operator==(const AttachAfter&) const = default;
};

using AttachDecision = std::variant<AttachNotHere, AttachRefused, AttachAfter>;

/** Decides about a caller at the host that the request id names. `held` is empty when no such request is open there. */
AttachDecision decideAttach(const std::optional<HeldStream>& held, const AttachCall& call);

/** What is known of a request that the host named by its id does not hold. */
struct AttachLookup {
    RequestId asked;
    std::string customer; /**< Who asks. */
    bool hostAnswered { false }; /**< The incarnation named by the id said itself that it does not hold the request. */
    AccountAnswer account;
};

/** The request was handed over; ask the host that this id names. */
struct AttachAt {
    RequestId request;
    bool operator==(const AttachAt&) const = default;
};

struct AttachImpossible {
    ResultCode code { ResultCode::UnknownRequest };
    RunState runState { RunState::NotRun };
    bool operator==(const AttachImpossible&) const = default;
};

/**
 * Decides by the account. A request of another customer gets exactly what an id without any record gets, so that
 * nobody learns of it. Thread safety: reentrant.
 */
std::variant<AttachAt, AttachImpossible> decideByAccount(const AttachLookup& lookup);

} // namespace siskinspread
