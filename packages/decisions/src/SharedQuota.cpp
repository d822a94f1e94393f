#include "siskinspread/SharedQuota.h"

#include <algorithm>
#include <cmath>

namespace siskinspread {

namespace {

    void assumeSpending(SharedQuota& quota, const QuotaLimit& limit, const SharedQuotaOptions& options, double seconds, MonotonicTime now)
    {
        if (!isPeerReviewDue(quota, now)) {
            return;
        }
        const double even = limit.ratePerSecond / static_cast<double>(quota.peers.size() + 1);
        std::erase_if(quota.peers, [&](const auto& entry) { return now - entry.second.heardAt > options.endedAfter; });
        auto reviewAt = now + options.silentAfter;
        for (auto& [host, peer] : quota.peers) {
            reviewAt = std::min(reviewAt, peer.heardAt + options.silentAfter);
            const auto silence = now - peer.heardAt;
            if (silence > options.silentAfter) {
                // A quota is not refreshed while its customer is out of the configuration.
                const double spent = even * std::min(seconds, std::chrono::duration<double>(silence).count());
                peer.assumed += spent;
                quota.level -= spent;
            }
        }
        quota.reviewAt = reviewAt;
    }

} // namespace

QuotaLimit limitWithTolerance(const QuotaLimit& limit, const QuotaTolerance& tolerance)
{
    if (limit.ratePerSecond <= 0) {
        return limit;
    }
    const double seconds = std::chrono::duration<double>(tolerance.window).count();
    const double more = tolerance.givenPart * (tolerance.slack / seconds + tolerance.overshoot * limit.ratePerSecond);
    const double burst = std::min(limit.burst, limit.ratePerSecond * std::chrono::duration<double>(tolerance.longestBurst).count());
    return { .ratePerSecond = limit.ratePerSecond + more + (limit.burst - burst) / seconds, .burst = burst };
}

void refreshQuota(SharedQuota& quota, const QuotaLimit& limit, const SharedQuotaOptions& options, MonotonicTime now)
{
    if (!quota.updatedAt) {
        quota.updatedAt = now;
        quota.level = limit.burst * options.firstLevel;
        return;
    }
    const double seconds = std::chrono::duration<double>(now - *quota.updatedAt).count();
    quota.updatedAt = now;
    quota.level = std::min(limit.burst, quota.level + limit.ratePerSecond * seconds);
    assumeSpending(quota, limit, options, seconds, now);
}

std::optional<std::chrono::milliseconds> spendQuota(SharedQuota& quota, const QuotaLimit& limit, double cost)
{
    if (limit.ratePerSecond > 0 && quota.level <= 0) {
        return std::chrono::milliseconds { static_cast<int64_t>(std::ceil((1.0 - quota.level) / limit.ratePerSecond * 1000.0)) };
    }
    quota.level -= cost;
    quota.spent += cost;
    return std::nullopt;
}

void refundQuota(SharedQuota& quota, double cost)
{
    quota.level += cost;
    quota.spent -= cost;
}

void notePeerSpending(SharedQuota& quota, const std::string& host, uint64_t incarnation, double spent, MonotonicTime now, std::optional<double> toldBefore)
{
    auto [entry, isNew] = quota.peers.try_emplace(host);
    auto& peer = entry->second;
    if (isNew) {
        peer.incarnation = incarnation;
        peer.spent = toldBefore.value_or(spent);
    }
    const double before = peer.incarnation == incarnation ? peer.spent : 0.0;
    quota.level -= spent - before - std::min(peer.assumed, std::max(0.0, spent - before));
    peer = { .incarnation = incarnation, .spent = spent, .assumed = 0, .heardAt = now };
}

void notePeerHeard(SharedQuota& quota, const std::string& host, uint64_t incarnation, MonotonicTime now)
{
    if (auto peer = quota.peers.find(host); peer != quota.peers.end() && peer->second.incarnation == incarnation && peer->second.heardAt < now) {
        notePeerSpending(quota, host, incarnation, peer->second.spent, now);
    }
}

bool isPeerReviewDue(const SharedQuota& quota, MonotonicTime now)
{
    return !quota.reviewAt || now >= *quota.reviewAt;
}

void notePeerStop(SharedQuota& quota, const std::string& host)
{
    quota.peers.erase(host);
}

} // namespace siskinspread
