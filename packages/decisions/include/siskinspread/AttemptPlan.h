#pragma once

#include "siskinspread/ResultCode.h"
#include "siskinspread/RetryBudget.h"
#include "siskinspread/Time.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace siskinspread {

/** How one attempt at a backend server ended without a whole answer. */
enum class AttemptEnd : uint8_t {
    ConnectFailed, /**< No byte was sent: provably not run. */
    RefusedNotRun, /**< The server's own word that it did not run the request. */
    StreamBroken, /**< The connection ended after at least one byte was sent. */
    NoProgress, /**< The progress deadline passed. */
    ErrorStatus, /**< An error status without a word about running. */
    RequestRejected, /**< The server found fault with the request itself: no other server would take it. */
    ServerLeaving, /**< This host moves the request off a server that is about to be reclaimed. */
};

/** One ended attempt and the request it belongs to. */
struct EndedAttempt {
    AttemptEnd end { AttemptEnd::ConnectFailed };
    std::string customer {};
    bool repeatable { false }; /**< The call may run more than once. */
    bool resumable { false }; /**< The service can go on from a given token of the answer. */
    uint32_t attempts { 1 }; /**< Attempts made so far, at least 1. */
    uint32_t promptTokens { 0 };
    uint32_t tokensSent { 0 }; /**< Tokens of the answer that the caller already has. */
    bool cacheExported { false }; /**< The server's KV cache of this stream can be imported elsewhere. */
    RunState earlierRunState { RunState::NotRun }; /**< What earlier attempts left known. */
    std::optional<std::chrono::milliseconds> serverRetryAfter {};
    MonotonicTime deadline {};
    uint64_t seed { 0 };
};

/** Constants of the plan. */
struct AttemptOptions {
    uint32_t maximumAttempts { 3 }; /**< At least 1. */
    std::chrono::milliseconds leastUsefulTime { 200 }; /**< With less time to the deadline no attempt begins. */
    std::chrono::milliseconds defaultRetryAfter { 1000 };
    std::chrono::milliseconds longestRetryAfter { 30000 };
    RetryDelayOptions delay;
};

/** Begin again at another backend server after a delay. The caller has no token yet. */
struct RetryElsewhere {
    std::chrono::milliseconds after { 0 };
};

/** Go on with the answer at another backend server. */
struct ContinueElsewhere {
    std::chrono::milliseconds after { 0 };
    uint32_t fromToken { 0 }; /**< The first token that the caller does not have. */
    uint32_t recomputedTokens { 0 }; /**< Prompt and answer tokens to compute again, before any cache hit there. */
    bool importCache { false };
};

/** Answer the caller now. */
struct FinalAnswer {
    ResultCode code { ResultCode::InternalError };
    RunState runState { RunState::MayHaveRun };
    std::optional<std::chrono::milliseconds> retryAfter {}; /**< Present when the result table says retryable. */
    ResultCode attemptCode { ResultCode::InternalError }; /**< Why the last attempt ended, for logs and counters. */
};

using AttemptPlan = std::variant<RetryElsewhere, ContinueElsewhere, FinalAnswer>;

/** @return the result code that stands for the end of an attempt. Reentrant. */
ResultCode attemptResult(AttemptEnd end);

/** @return what is known about running after this attempt, earlier attempts included. Reentrant. */
RunState runStateAfter(const EndedAttempt& attempt);

/**
 * Decides what follows an ended attempt. Only a request that may be repeated, or was provably not run, is tried
 * again; every further attempt but a planned move off a leaving server takes a token of the budget.
 * Thread safety: as RetryBudget.
 */
AttemptPlan planAfterAttempt(const EndedAttempt& attempt, const AttemptOptions& options, RetryBudget& budget, MonotonicTime now);

/** An attempt that has produced no token yet. */
struct QuietAttempt {
    std::string customer {};
    bool repeatable { false };
    uint32_t attempts { 1 };
    MonotonicTime dispatchedAt {};
    MonotonicTime deadline {};
};

/**
 * Decides whether to send the same request to a second backend server as well; the first to answer wins and the
 * other is cancelled. Takes a token of the budget when it says yes.
 * @param hedgeAfter time without first token, for example its 95th percentile. Thread safety: as RetryBudget.
 */
bool planHedge(const QuietAttempt& attempt, std::chrono::milliseconds hedgeAfter, const AttemptOptions& options, RetryBudget& budget, MonotonicTime now);

/** A stream on a backend server whose reclaim has been announced. */
struct ReclaimedStream {
    bool movable { false }; /**< The call may be repeated and the service can go on from a given token. */
    uint32_t tokensLeft { 0 }; /**< Expected tokens until the end of the answer. */
    uint32_t tokensHeld { 0 }; /**< Prompt and answer tokens in the server's KV cache. */
    uint64_t seed { 0 };
};

/** Constants of the moves. */
struct ReclaimOptions {
    std::chrono::milliseconds margin { 500 }; /**< Time before the announced end at which every move has begun. */
    std::chrono::milliseconds expectedBetweenTokens { 30 };
    double exportTokensPerSecond { 100000 };
};

/** When to end the attempt with AttemptEnd::ServerLeaving. */
struct ReclaimMove {
    std::chrono::milliseconds after { 0 };
    bool exportCache { false }; /**< There is time to export the KV cache first. */
};

/**
 * Decides what becomes of a stream before a reclaim. Moves are spread over the time that is left, so that the
 * remaining servers do not get all of them at once.
 * @return nothing when the stream stays: it ends in time, or cannot be moved. Reentrant.
 */
std::optional<ReclaimMove> planReclaimMove(const ReclaimedStream& stream, MonotonicTime reclaimAt, const ReclaimOptions& options, MonotonicTime now);

} // namespace siskinspread
