#pragma once

#include "siskinspread/AtMostOnce.h"

/** @file Internal: refusals of the at-most-once decision. */

namespace siskinspread {

/** @return why the first request with a key is not accepted; nothing when it is. */
std::optional<ResultCode> reasonToRefuse(const AtMostOnceState& state, const AtMostOnceOptions& options, const RequestArrived& event, ClockReading now);

/** @return when to come back, for every code that the result table calls retryable. */
std::optional<std::chrono::milliseconds> retryAfterOf(ResultCode code, const AtMostOnceOptions& options);

} // namespace siskinspread
