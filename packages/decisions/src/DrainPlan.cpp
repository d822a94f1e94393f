#include "siskinspread/DrainPlan.h"

#include <algorithm>

namespace siskinspread {

namespace {

    // For the last entries of owners whose grace ends at the same time.
    constexpr std::chrono::seconds longestWaitForOwners { 1 };
    constexpr std::chrono::milliseconds waitForStore { 2'500 };

    bool moveEarlier(std::optional<MonotonicTime>& end, MonotonicTime candidate)
    {
        if (end && *end <= candidate) {
            return false;
        }
        end = candidate;
        return true;
    }

} // namespace

bool planStop(DrainPlan& plan, const DrainOptions& options, MonotonicTime now)
{
    return moveEarlier(plan.graceEnds, now + options.grace);
}

bool planReclaim(DrainPlan& plan, const DrainOptions& options, MonotonicTime hostEnds, MonotonicTime now)
{
    const auto left = std::max(hostEnds - now, MonotonicTime::duration::zero());
    const auto margin = std::min<MonotonicTime::duration>(options.closingMargin, left / 2);
    moveEarlier(plan.hostEnds, hostEnds);
    return moveEarlier(plan.graceEnds, now + left - margin);
}

bool isGraceOver(const DrainPlan& plan, MonotonicTime now)
{
    return plan.graceEnds && now >= *plan.graceEnds;
}

std::chrono::milliseconds graceLeft(const DrainPlan& plan, MonotonicTime now)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(plan.graceEnds.value_or(now) - now);
    return std::max(left, std::chrono::milliseconds { 0 });
}

std::chrono::milliseconds handoverTime(const DrainPlan& plan, const DrainOptions& options, MonotonicTime now)
{
    if (!plan.hostEnds) {
        return options.handover;
    }
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(*plan.hostEnds - now) / 2;
    return std::clamp(left, std::chrono::milliseconds { 0 }, options.handover);
}

MonotonicTime copiesHandOver(const DrainPlan& plan, MonotonicTime closingBegan)
{
    if (!plan.hostEnds) {
        return closingBegan + waitForStore;
    }
    const MonotonicTime::duration margin = std::max(*plan.hostEnds - *plan.graceEnds, MonotonicTime::duration::zero());
    return std::max(closingBegan, *plan.graceEnds + std::min<MonotonicTime::duration>(margin / 4, longestWaitForOwners));
}

std::chrono::milliseconds timeLeft(const ReclaimNotice& notice, WallTime now)
{
    const auto byTheirClock = std::chrono::duration_cast<std::chrono::milliseconds>(notice.at + notice.lead - now);
    const std::chrono::milliseconds lead = std::max(notice.lead, std::chrono::seconds { 0 });
    return std::clamp(byTheirClock, std::chrono::milliseconds { 0 }, lead);
}

bool isAboutEarlierHost(const ReclaimNotice& notice, WallTime processStartedAt)
{
    return notice.at + notice.lead <= processStartedAt;
}

} // namespace siskinspread
