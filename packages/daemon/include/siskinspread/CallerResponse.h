#pragma once

#include "siskinspread/HostContext.h"
#include "siskinspread/ResultCode.h"

#include <chrono>
#include <optional>
#include <string>

namespace siskinspread {

/** Names of the headers that siskinspread reads or writes itself. */
namespace header {
    constexpr const char* requestId = "X-Request-Id";
    constexpr const char* resultCode = "X-Result-Code";
    constexpr const char* runState = "X-Run-State";
    constexpr const char* deadline = "X-Deadline-Ms";
    constexpr const char* idempotencyKey = "Idempotency-Key";
    constexpr const char* notRun = "X-Not-Run";
    constexpr const char* leaving = "X-Leaving"; /**< From a backend server that takes no more work: its instance. */
    constexpr const char* replayOf = "X-Replay-Of"; /**< The earlier request with the same key whose answer this is. */
    constexpr const char* responseNotKept = "X-Response-Not-Kept"; /**< The earlier answer was too large to keep. */
    constexpr const char* attachId = "X-Attach-Id"; /**< The id with which the caller attaches again. */
    constexpr const char* heldBy = "X-Held-By"; /**< Between hosts: this incarnation does not hold the request that is asked for. */
    constexpr const char* relayCustomer = "X-Relay-Customer"; /**< Between hosts: the customer whose key was checked. */
    constexpr const char* lastEventId = "Last-Event-ID";
}

/** A final answer that carries no answer of a backend server. */
struct Refusal {
    ResultCode code { ResultCode::InternalError };
    RunState runState { RunState::NotRun };
    std::optional<std::chrono::milliseconds> retryAfter; /**< Defaults to one second where the table says retryable. */
    std::string detail;
    std::string attachId {}; /**< Id with which the caller attaches again; empty: it cannot. */
};

/** Retry-After of a retryable refusal whose decision gave none. */
constexpr std::chrono::milliseconds defaultRetryAfter { 1000 };

/** @return the JSON text that tells a caller of a refusal. Thread safety: reentrant. */
std::string refusalJson(const std::string& requestId, const Refusal&);

/** @return the whole response that tells a caller of a refusal. Thread safety: reentrant. */
RespondWhole refusalResponse(ExchangeId, const std::string& requestId, const Refusal&);

/** Answers an exchange with a refusal and counts it. Thread safety: decide thread only. */
void sendRefusal(HostContext&, ResponseSink&, ExchangeId, const std::string& requestId, const Refusal&);

/** @return Retry-After in whole seconds, rounded up, at least 1. Thread safety: reentrant. */
std::string retryAfterSeconds(std::chrono::milliseconds);

} // namespace siskinspread
