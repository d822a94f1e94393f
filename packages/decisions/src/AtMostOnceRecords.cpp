#include "AtMostOnceRecords.h"

#include "AtMostOnceAdmission.h"

#include <algorithm>

namespace siskinspread {

KeyRecord recordOf(const RequestArrived& event, WallTime now)
{
    return KeyRecord {
        .request = event.request,
        .digest = event.digest,
        .service = event.service,
        .entryHost = event.entryHost,
        .candidates = {},
        .acceptedAt = now,
        .backendServers = {},
        .outcome = { .account = {}, .key = event.key, .httpStatus = 0, .response = {} },
    };
}

AccountEntry accountOf(const AtMostOnceState& state, WallTime now, const KeyRecord& record, ResultCode result, RunState runState)
{
    const auto request = state.requests.find(record.request);
    return AccountEntry {
        .request = record.request,
        .customer = request == state.requests.end() ? record.outcome.key.customer : request->second.customer,
        .service = record.service,
        .result = result,
        .runState = runState,
        .attempts = record.attempts,
        .backendServers = record.backendServers,
        .candidates = {},
        .acceptedAt = record.acceptedAt,
        .finishedAt = now,
        .entryHost = record.entryHost,
    };
}

AnswerRequest answerWithoutEntry(const AtMostOnceOptions& options, const RequestArrived& event, std::string id, ResultCode code)
{
    return AnswerRequest {
        .request = event.request,
        .id = std::move(id),
        .entryHost = event.entryHost,
        .result = code,
        .runState = RunState::MayHaveRun,
        .httpStatus = resultInfo(code).httpStatus,
        .response = {},
        .retryAfter = retryAfterOf(code, options),
        .repeatOf = std::nullopt,
    };
}

void noteIncomplete(OwnedSlice& slice, const SliceAssignment& assignment, const LogHistory& history, const AtMostOnceOptions& options)
{
    for (const PreviousOwner& owner : assignment.previous) {
        if (owner.incarnation == history.incarnation) {
            slice.incompleteThrough = std::max(slice.incompleteThrough, owner.generation);
        }
    }
    slice.incompleteUntil = std::max(slice.incompleteUntil, history.closedAt + options.slices.retention);
}

} // namespace siskinspread
