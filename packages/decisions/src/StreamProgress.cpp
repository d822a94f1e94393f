#include "siskinspread/StreamProgress.h"

namespace siskinspread {

StreamProgress beginProgress(MonotonicTime now)
{
    return { .startedAt = now, .lastProgressAt = now, .tokens = 0 };
}

void recordProgress(StreamProgress& progress, uint32_t tokens, MonotonicTime now)
{
    progress.tokens += tokens;
    progress.lastProgressAt = now;
}

MonotonicTime progressDeadline(const StreamProgress& progress, const StreamProgressOptions& options)
{
    if (progress.tokens == 0) {
        return progress.startedAt + options.firstToken;
    }
    return progress.lastProgressAt + options.betweenTokens;
}

bool isStalled(const StreamProgress& progress, const StreamProgressOptions& options, MonotonicTime now)
{
    return now >= progressDeadline(progress, options);
}

} // namespace siskinspread
