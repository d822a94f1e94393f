#pragma once

#include "siskinspread/AtMostOnce.h"

/** @file Internal: records, accounts and answers as the at-most-once decision fills them in. */

namespace siskinspread {

/** @return a record of a request that does not hold its key. Thread safety: reentrant. */
KeyRecord recordOf(const RequestArrived& event, WallTime now);

/** @return the account of a request that has ended. Thread safety: reentrant. */
AccountEntry accountOf(const AtMostOnceState& state, WallTime now, const KeyRecord& record, ResultCode result, RunState runState);

/**
 * @return an answer that says more than "not run" of a try that was not dispatched. An odd id without an entry reads as
 * "not run", so it goes under another id. Thread safety: reentrant.
 */
AnswerRequest answerWithoutEntry(const AtMostOnceOptions& options, const RequestArrived& event, std::string id, ResultCode code);

/** Notes how far the slice's history is incomplete, where the log of a former owner could not be read whole. Thread safety: safe while no other thread uses `slice`. */
void noteIncomplete(OwnedSlice& slice, const SliceAssignment& assignment, const LogHistory& history, const AtMostOnceOptions& options);

} // namespace siskinspread
