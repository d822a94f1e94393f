#include "siskinspread/QuotaShare.h"

#include <algorithm>
#include <cmath>

namespace siskinspread {

void refreshQuota(QuotaShare& share, const QuotaLimit& limit, std::span<const QuotaPeer> peers, const QuotaOptions& options, MonotonicTime now)
{
    const bool first = !share.updatedAt;
    const double seconds = first ? 0.0 : std::chrono::duration<double>(now - *share.updatedAt).count();
    share.updatedAt = now;
    const double memorySeconds = std::chrono::duration<double>(options.demandMemory).count();
    share.demandPerSecond *= std::exp(-seconds / memorySeconds);

    double total = share.demandPerSecond;
    for (const auto& peer : peers) {
        total += peer.demandPerSecond;
    }
    const double even = 1.0 / static_cast<double>(peers.size() + 1);
    const double byDemand = total > 0 ? share.demandPerSecond / total : even;
    const double part = options.evenPart * even + (1.0 - options.evenPart) * byDemand;
    share.rate = limit.ratePerSecond * part;
    share.capacity = limit.burst * part;
    share.level = first ? share.capacity : std::min(share.capacity, share.level + share.rate * seconds);
}

std::optional<std::chrono::milliseconds> spendQuota(QuotaShare& share, const QuotaLimit& limit, const QuotaOptions& options, double cost)
{
    share.demandPerSecond += cost / std::chrono::duration<double>(options.demandMemory).count();
    if (limit.ratePerSecond <= 0) {
        return std::nullopt;
    }
    // A request that is larger than the host's part of the burst may go into debt: it would otherwise never be served.
    const double needed = std::min(cost, share.capacity);
    if (share.level >= needed) {
        share.level -= cost;
        return std::nullopt;
    }
    const double rate = std::max(share.rate, 1.0);
    return std::chrono::milliseconds { static_cast<int64_t>(std::ceil((needed - share.level) / rate * 1000.0)) };
}

void refundQuota(QuotaShare& share, double cost)
{
    share.level = std::min(share.capacity, share.level + cost);
}

} // namespace siskinspread
