#pragma once

#include "siskinspread/IncarnationLogClosing.h"
#include "siskinspread/SliceMap.h"

#include <map>

/**
 * @file The owner's side of at-most-once: decides for each idempotency key of the slices that this incarnation owns
 * whether a request is dispatched, refused or answered from the record. See docs/design/at-most-once.md.
 */

namespace siskinspread {

/** The two clocks of this host. */
struct ClockReading {
    MonotonicTime monotonic {};
    WallTime wall {};
};

struct AtMostOnceOptions {
    SliceOptions slices;
    std::chrono::milliseconds retryAfter { 1'000 }; /**< For refusals that last about one request. */
    std::chrono::milliseconds retryAfterStore { 5'000 }; /**< For refusals that last until the store or another host is back. */
    std::chrono::milliseconds retryAfterHistory { 600'000 }; /**< For SliceHistoryIncomplete. */
    std::chrono::milliseconds longestIntentWait { 1'500 }; /**< An intent that is not durable by then is refused, not run. */
    size_t maxKeys { 1'000'000 }; /**< Open and remembered. */
    size_t maxOpenKeys { 10'000 };
    size_t maxResponseBytes { size_t { 64 } * 1024 }; /**< A larger response is passed on but not recorded. */
    size_t maxKeptResponseBytes { size_t { 64 } * 1024 * 1024 }; /**< For all remembered keys together. */
};

enum class KeyPhase : uint8_t {
    RecordingIntent, /**< Nothing was dispatched. */
    Abandoned, /**< Refused at its deadline before dispatch; the outcome "not run" is being recorded. */
    Dispatched, /**< An attempt is in progress. */
    RecordingOutcome,
    Finished, /**< The outcome is on record. */
    Unknown, /**< An intent without an outcome: may have run, never dispatched again. */
};

/** What is known of one key. */
struct KeyRecord {
    KeyPhase phase { KeyPhase::RecordingIntent };
    RequestId request; /**< The request that holds the key. */
    BodyDigest digest;
    uint32_t slice { 0 };
    std::string service;
    std::string entryHost;
    std::vector<std::string> candidates;
    WallTime acceptedAt {};
    MonotonicTime deadline {};
    uint32_t attempts { 0 };
    std::vector<std::string> backendServers;
    bool answered { false }; /**< The caller of `request` has its answer. */
    OutcomeEntry outcome; /**< From RecordingOutcome on. */
};

/** What is known of a slice that this incarnation owns. */
struct OwnedSlice {
    uint64_t generation { 0 };
    uint64_t incompleteThrough { 0 }; /**< History of owners up to this generation is incomplete; 0: complete. */
    WallTime incompleteUntil {};
};

struct AtMostOnceState {
    IncarnationId self;
    std::map<uint32_t, OwnedSlice> slices;
    std::map<IdempotencyKey, KeyRecord> keys;
    std::map<RequestId, IdempotencyKey> requests; /**< Open requests that hold a key. */
    std::multimap<MonotonicTime, RequestId> deadlines;
    std::multimap<WallTime, IdempotencyKey> remembered; /**< Finished and unknown keys by the time they are forgotten. */
    std::deque<IdempotencyKey> keptResponses; /**< Remembered keys whose response is held, oldest first. */
    size_t keptResponseBytes { 0 };
    bool logEnded { false };
};

/** A non-repeatable request arrived, from a caller or relayed by the entry host. */
struct RequestArrived {
    RequestId request; /**< Issued by this incarnation, for this try only. */
    std::string refusalId; /**< Issued for this try as well: for answers of a try that leaves no entry in the log. */
    IdempotencyKey key;
    BodyDigest digest;
    std::string service;
    std::string entryHost;
    std::vector<std::string> candidates; /**< Backend servers that may be sent the request, the first choice first. */
    MonotonicTime deadline {};
    std::optional<ResultCode> notAdmitted; /**< Why the pool has no place for it, where wouldDispatch asked for one. */
};
struct IntentDurable {
    RequestId request;
};
struct IntentRefused {
    RequestId request;
    ResultCode reason { ResultCode::IntentNotRecorded };
};
/** The attempt provably did not run: no byte was sent, or the backend server's own word. */
struct AttemptNotRun {
    RequestId request;
    uint32_t attempt { 0 };
    std::string backendServer; /**< Empty when no candidate was usable. */
    ResultCode reason { ResultCode::BackendRefused };
    bool retryAllowed { false }; /**< The retry budget grants another attempt. */
};
/** The whole answer arrived. */
struct AttemptAnswered {
    RequestId request;
    uint32_t attempt { 0 };
    std::string backendServer;
    ResultCode result { ResultCode::Ok };
    int httpStatus { 200 };
    std::string response;
};
/** The attempt ended without a whole answer after bytes were sent. */
struct AttemptUnknown {
    RequestId request;
    uint32_t attempt { 0 };
    std::string backendServer;
};
struct OutcomeDurable {
    RequestId request;
};
struct OutcomeRefused {
    RequestId request;
};
/**
 * The map names this incarnation as owner, and the logs of all previous owners are closed, sealed and read.
 * Raise it only then: this is what at-most-once rests on.
 */
struct SliceTaken {
    uint32_t slice { 0 };
    SliceAssignment assignment;
    std::vector<LogHistory> histories; /**< Of `assignment.previous`, in that order. */
};
/** Stop accepting for the slice; requests in progress go on. */
struct SliceReleased {
    uint32_t slice { 0 };
};
/** The log takes no more entries. */
struct OwnLogEnded { };
/** Time passed; raise it at least every 50 ms while requests are open. */
struct AtMostOnceTick { };

using AtMostOnceEvent = std::variant<RequestArrived, IntentDurable, IntentRefused, AttemptNotRun, AttemptAnswered, AttemptUnknown,
    OutcomeDurable, OutcomeRefused, SliceTaken, SliceReleased, OwnLogEnded, AtMostOnceTick>;

/** Append the entry to the own log; ends in IntentDurable or IntentRefused. */
struct RecordIntent {
    IntentEntry entry;
};
/** Append the entry to the own log; ends in OutcomeDurable or OutcomeRefused. */
struct RecordOutcome {
    OutcomeEntry entry;
};
/** Append the entry to the own log; nobody waits for it. */
struct RecordAccount {
    AccountEntry entry;
};
/** Send the request once to one of the candidates, which its intent names; ends in AttemptNotRun, AttemptAnswered or AttemptUnknown. */
struct DispatchRequest {
    RequestId request;
    uint32_t attempt { 0 }; /**< Counted from 1. */
    std::vector<std::string> candidates;
    MonotonicTime deadline {};
};
/** The answer of this request, once for each. */
struct AnswerRequest {
    RequestId request;
    std::string id; /**< What the caller is told; the account stands under parseAccountId of it. */
    std::string entryHost;
    ResultCode result { ResultCode::Ok };
    RunState runState { RunState::NotRun };
    int httpStatus { 0 };
    std::string response;
    bool responseKept { true }; /**< False in a replay whose response is not held any longer. */
    std::optional<std::chrono::milliseconds> retryAfter; /**< Set when the result table says that the code is retryable. */
    std::optional<RequestId> repeatOf; /**< The request that held the key already, whose account is that of this try. */
};

using AtMostOnceAction = std::variant<RecordIntent, RecordOutcome, RecordAccount, DispatchRequest, AnswerRequest>;

/**
 * Advances the owner by one event. Events about superseded attempts and closed requests are ignored.
 *
 * Thread safety: the caller serialises calls for one state.
 */
void step(AtMostOnceState& state, const AtMostOnceOptions& options, const AtMostOnceEvent& event, ClockReading now, std::vector<AtMostOnceAction>& actions);

/**
 * @return whether the request would be the first to run under its key, so that it needs a place in its pool before it is
 * raised. What is answered from the record, or refused, needs none. Thread safety: reads only.
 */
bool wouldDispatch(const AtMostOnceState& state, const AtMostOnceOptions& options, const RequestArrived& event, ClockReading now);

/** @return requests of the slice that are not finished; a released slice is idle at zero. Thread safety: reads only. */
size_t openRequests(const AtMostOnceState& state, uint32_t slice);

} // namespace siskinspread
