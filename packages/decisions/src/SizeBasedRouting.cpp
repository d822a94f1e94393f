#include "siskinspread/SizeBasedRouting.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace siskinspread {

namespace {

    // Factors that differ by less are the same to all hosts, whose estimates differ a little.
    constexpr double factorStep = 0.2;

    double rounded(double factor)
    {
        return std::round(factor / factorStep);
    }

} // namespace

bool isLongPrompt(uint32_t tokensToRead, std::chrono::milliseconds shortestTarget, const SizeRoutingOptions& options)
{
    return tokensToRead > static_cast<double>(shortestTarget.count()) * options.shortPart * options.promptTokensPerMs;
}

void noteWork(SizeMix& mix, uint32_t tokensToRead, bool isLong, const SizeRoutingOptions& options)
{
    if (mix.requests == 0) {
        mix.longShare = options.initialLongShare;
    }
    mix.requests = std::min(mix.requests + 1, options.memory);
    // Weighted by work: a request of mean size counts once.
    constexpr double meanTokens = 4000.0;
    const double weight = std::min(1.0, tokensToRead / meanTokens / options.memory);
    mix.longShare += ((isLong ? 1.0 : 0.0) - mix.longShare) * weight;
}

std::chrono::microseconds otherSizeCost(std::chrono::microseconds target, std::chrono::microseconds meanQueue, const SizeRoutingOptions& options)
{
    const double room = std::clamp(1.0 - static_cast<double>(meanQueue.count()) / static_cast<double>(options.busyQueue.count()), 0.0, 1.0);
    return std::chrono::microseconds { static_cast<int64_t>(static_cast<double>(target.count()) * options.costPart * room) };
}

std::vector<bool> replicasForLongPrompts(std::span<const SizeRoutingReplica> replicas, double longShare, const SizeRoutingOptions& options)
{
    if (replicas.size() < options.leastReplicas) {
        return {};
    }
    std::vector<size_t> order(replicas.size());
    std::iota(order.begin(), order.end(), size_t { 0 });
    std::sort(order.begin(), order.end(), [&](size_t a, size_t b) {
        const double left = rounded(replicas[a].workFactor);
        const double right = rounded(replicas[b].workFactor);
        return left != right ? left < right : replicas[a].identity < replicas[b].identity;
    });
    double capacity = 0;
    for (const auto& replica : replicas) {
        capacity += 1.0 / replica.workFactor;
    }
    std::vector<bool> forLong(replicas.size(), false);
    double taken = 0;
    for (size_t place = 0; place + 1 < order.size(); ++place) {
        const auto index = order[place];
        const double next = taken + 1.0 / replicas[index].workFactor;
        // The one at the boundary goes to the side on which more of it lies.
        if ((taken + next) / 2 > longShare * capacity && place > 0) {
            break;
        }
        forLong[index] = true;
        taken = next;
    }
    return forLong;
}

} // namespace siskinspread
