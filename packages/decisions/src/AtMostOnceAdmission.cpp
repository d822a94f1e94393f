#include "AtMostOnceAdmission.h"

namespace siskinspread {

std::optional<ResultCode> reasonToRefuse(const AtMostOnceState& state, const AtMostOnceOptions& options, const RequestArrived& event, ClockReading now)
{
    const auto slice = state.slices.find(sliceOf(event.key, options.slices));
    if (slice == state.slices.end()) {
        return ResultCode::SliceOwnerUnknown;
    }
    LastReason reason;
    const auto issued = parseIssuedKey(event.key, reason);
    if (!issued && looksIssued(event.key.text)) {
        return reason.code;
    }
    if (issued && issued->generation > slice->second.generation) {
        return ResultCode::SliceOwnerUnknown; // a later owner issued it, so this one is replaced
    }
    if (issued && issued->issuedAt + options.slices.retention <= now.wall) {
        return ResultCode::MalformedRequest; // its first use may be forgotten
    }
    const bool unaffected = issued && issued->generation > slice->second.incompleteThrough;
    if (!unaffected && slice->second.incompleteThrough && now.wall < slice->second.incompleteUntil) {
        return ResultCode::SliceHistoryIncomplete;
    }
    if (state.keys.size() >= options.maxKeys || state.requests.size() >= options.maxOpenKeys) {
        return ResultCode::RingFull;
    }
    if (now.monotonic >= event.deadline) {
        return ResultCode::DeadlineExpired;
    }
    if (event.candidates.empty()) {
        return ResultCode::NoBackendServer;
    }
    return event.notAdmitted;
}

bool wouldDispatch(const AtMostOnceState& state, const AtMostOnceOptions& options, const RequestArrived& event, ClockReading now)
{
    return !state.logEnded && !state.keys.contains(event.key) && !reasonToRefuse(state, options, event, now);
}

std::optional<std::chrono::milliseconds> retryAfterOf(ResultCode code, const AtMostOnceOptions& options)
{
    if (!resultInfo(code).retryable) {
        return std::nullopt;
    }
    switch (code) {
    case ResultCode::SliceHistoryIncomplete:
        return options.retryAfterHistory;
    case ResultCode::LogClosed:
    case ResultCode::IntentNotRecorded:
    case ResultCode::SliceOwnerUnknown:
        return options.retryAfterStore;
    default:
        return options.retryAfter;
    }
}

} // namespace siskinspread
