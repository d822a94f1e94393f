#include "siskinspread/DomainReach.h"

namespace siskinspread {

void noteDomainBytes(DomainReach& reach, MonotonicTime now)
{
    reach.bytesAt = now;
    reach.timeouts = 0;
}

void noteDomainTimeout(DomainReach& reach, MonotonicTime now)
{
    reach.timeoutAt = now;
    ++reach.timeouts;
}

void noteDomainPeer(DomainReach& reach, MonotonicTime now)
{
    reach.peerHeardAt = now;
}

bool isReachDoubted(const DomainReach& reach, const DomainReachOptions& options, MonotonicTime now)
{
    if (reach.bytesAt && now - *reach.bytesAt < options.byteSilence) {
        return false;
    }
    const bool peersSilent = reach.peerHeardAt && now - *reach.peerHeardAt >= reach.peerSilence;
    const bool unanswered = reach.timeouts >= options.worstTimeouts && now - *reach.timeoutAt < options.retryAfter;
    return peersSilent || unanswered;
}

} // namespace siskinspread
