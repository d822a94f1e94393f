#pragma once

#include "siskinspread/Time.h"

#include <chrono>
#include <cstdint>

namespace siskinspread {

/** Longest silences of an answer before its connection is abandoned. */
struct StreamProgressOptions {
    std::chrono::milliseconds firstToken { 10000 };
    std::chrono::milliseconds betweenTokens { 2000 };
};

/** Progress of one attempt. Plain data: the owner serialises access. */
struct StreamProgress {
    MonotonicTime startedAt;
    MonotonicTime lastProgressAt;
    uint32_t tokens { 0 };
};

/** @return the progress of an attempt that is dispatched now. */
StreamProgress beginProgress(MonotonicTime now);

/** Records `tokens` (above zero) tokens. Bytes that carry no token are not progress: a proxy's keep-alive must not count. */
void recordProgress(StreamProgress& progress, uint32_t tokens, MonotonicTime now);

/** @return when the attempt counts as without progress, unless a token comes first. */
MonotonicTime progressDeadline(const StreamProgress& progress, const StreamProgressOptions& options);

/** @return whether the deadline has been reached: the attempt ends with AttemptEnd::NoProgress. */
bool isStalled(const StreamProgress& progress, const StreamProgressOptions& options, MonotonicTime now);

} // namespace siskinspread
