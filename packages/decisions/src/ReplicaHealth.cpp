#include "siskinspread/ReplicaHealth.h"

#include <algorithm>

namespace siskinspread {

void noteSuccess(ReplicaHealth& health, const ReplicaHealthOptions& options)
{
    health.failureShare *= 1.0 - options.smoothing;
    health.failuresInARow = 0;
    if (health.failureShare < options.worstFailureShare / 2) {
        health.holdOut = std::chrono::milliseconds { 0 };
    }
}

void noteFailure(ReplicaHealth& health, const ReplicaHealthOptions& options, MonotonicTime now)
{
    health.failureShare += (1.0 - health.failureShare) * options.smoothing;
    ++health.failuresInARow;
    if (health.failureShare < options.worstFailureShare && health.failuresInARow < options.worstRow) {
        return;
    }
    health.holdOut = std::clamp(health.holdOut * 2, options.firstHoldOut, options.longestHoldOut);
    health.heldOutUntil = now + health.holdOut;
    // One further failure after the pause is enough to leave the replica out again.
    health.failuresInARow = options.worstRow - 1;
    health.failureShare = std::min(health.failureShare, options.worstFailureShare);
}

void noteFirstByte(ReplicaHealth& health, const ReplicaHealthOptions& options, std::chrono::microseconds measured, std::chrono::microseconds predicted)
{
    constexpr std::chrono::microseconds floor { 20000 }; // below it the network's delay decides, not the replica
    const double ratio = static_cast<double>(std::max(measured, floor).count()) / static_cast<double>(std::max(predicted, floor).count());
    health.slowness += (std::min(ratio, options.mostSlowness) - health.slowness) * options.smoothing;
    health.slowness = std::clamp(health.slowness, 0.5, options.mostSlowness);
}

bool isUsable(const ReplicaHealth& health, MonotonicTime now)
{
    return now >= health.heldOutUntil;
}

} // namespace siskinspread
