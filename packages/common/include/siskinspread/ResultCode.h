#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace siskinspread {

/** What is known about whether a backend server executed a request. */
enum class RunState : uint8_t {
    NotRun,
    Ran,
    MayHaveRun,
};

/**
 * Numbered outcome of a request or an operation. The numbers are part of the public interface: a number is never
 * reused. 1xx: the request itself; 2xx: admission and routing; 3xx: idempotency keys and accounts; 4xx: backend
 * servers and streams; 5xx: platform and configuration.
 */
enum class ResultCode : uint16_t {
    Ok = 0,

    MalformedRequest = 100,
    BodyTooLarge = 101,
    UnknownCustomer = 103,
    UnknownService = 104,
    DeadlineExpired = 105,
    IdempotencyKeyRequired = 106,
    IdempotencyKeyReused = 107,
    UnknownRequest = 108,
    SenderTooSlow = 110,
    UnknownPath = 111,
    LastEventIdInvalid = 112,

    CustomerLimit = 200,
    PoolFull = 201,
    DeadlineTooClose = 202,
    Draining = 203,
    RingFull = 204,
    NoConfiguration = 205,
    NoBackendServer = 206,
    RetryBudgetSpent = 207,
    LoadShed = 208,
    PromptSuspected = 209,

    SliceOwnerUnreachable = 300,
    SliceOwnerUnknown = 301,
    KeyInProgress = 302,
    OutcomeUnknown = 303,
    LogClosed = 304,
    IntentNotRecorded = 305,
    SliceHistoryIncomplete = 306,
    SliceOwnerConnectionBroken = 307,

    BackendConnectFailed = 400,
    BackendRefused = 401,
    BackendNoProgress = 402,
    BackendStreamBroken = 403,
    BackendError = 404,
    CallerGone = 405,
    Interrupted = 406,
    HandedOver = 407,
    StreamNotAttachable = 408,
    StreamAttachedElsewhere = 409,
    BackendRejected = 410,

    StoreUnavailable = 500,
    VersionConflict = 501,
    StaleRevision = 502,
    InvalidConfiguration = 503,
    LeaseLost = 504,
    InvalidSettings = 505,
    InternalError = 599,
};

/** One row of the result table. */
struct ResultInfo {
    ResultCode code;
    std::string_view name; /**< snake_case; the metric label and the JSON field. */
    int httpStatus; /**< Status of a response whose final answer is this code. */
    bool retryable; /**< Whether the response carries Retry-After. */
    std::string_view text; /**< One sentence for the caller. */
};

/**
 * @param code any enumerator.
 * @return its row of the table; the row of InternalError for a value outside the enumeration.
 * Thread safety: reads constant data only.
 */
const ResultInfo& resultInfo(ResultCode code);

/** @return all rows, ordered by number. Thread safety: reads constant data only. */
std::span<const ResultInfo> resultTable();

/** @return "not_run", "ran" or "may_have_run". Thread safety: reads constant data only. */
std::string_view runStateName(RunState state);

} // namespace siskinspread
