#include "siskinspread/ReplicaPlacement.h"

#include <algorithm>
#include <limits>
#include <xxhash.h>

namespace siskinspread {

namespace {

    /** A rank that all hosts compute alike (rendezvous hashing, D. Thaler and C. Ravishankar, 1998). */
    uint64_t rendezvousRank(uint64_t part, uint64_t replica)
    {
        return XXH64(&replica, sizeof replica, part);
    }

    /** The part that identifies the session: the last one that other requests share. */
    std::optional<uint64_t> sharedPart(std::span<const PromptPart> prompt)
    {
        if (prompt.size() < 2) {
            return prompt.empty() ? std::nullopt : std::optional { prompt.front().id };
        }
        return prompt[prompt.size() - 2].id;
    }

    std::optional<size_t> homeOf(std::span<const PromptPart> prompt, std::span<const PlacementCandidate> candidates)
    {
        auto part = sharedPart(prompt);
        if (!part || candidates.empty()) {
            return std::nullopt;
        }
        // A home among the replicas for prompts of another size would hardly be used, and the shared parts would be read everywhere.
        std::optional<size_t> best;
        for (size_t index = 0; index < candidates.size(); ++index) {
            if (!candidates[index].forOtherSize && (!best || rendezvousRank(*part, candidates[index].identity) > rendezvousRank(*part, candidates[*best].identity))) {
                best = index;
            }
        }
        return best;
    }

    /** What the replica says of itself, corrected by what this host sees of it. */
    double delayFactor(const PlacementCandidate& candidate)
    {
        return candidate.slowness * candidate.workFactor;
    }

    /** Time for a replica to read the prompts that it has, as a mean over the candidates. */
    double meanQueueUs(std::span<const PlacementCandidate> candidates, const PlacementOptions& options)
    {
        double sum = 0;
        for (const auto& candidate : candidates) {
            sum += static_cast<double>(candidate.load.unreadTokens) / options.promptTokensPerMs * 1000.0 * delayFactor(candidate);
        }
        return candidates.empty() ? 0.0 : sum / static_cast<double>(candidates.size());
    }

    /** Prompt tokens that are expected in front of a request. */
    double queueOf(const PlacementCandidate& candidate)
    {
        return std::max(static_cast<double>(candidate.load.unreadTokens), candidate.usualUnreadTokens);
    }

    double costOf(const PlacementCandidate& candidate, uint32_t unread, double readAgainWeight, const PlacementOptions& options)
    {
        double readingUs = (queueOf(candidate) + unread * readAgainWeight) / options.promptTokensPerMs * 1000.0;
        double batchUs = static_cast<double>(candidate.load.requests * options.batchCost.count());
        double awayUs = candidate.sameDomain ? 0.0 : static_cast<double>(options.otherDomainCost.count());
        return (readingUs + batchUs) * delayFactor(candidate) + awayUs + static_cast<double>(candidate.otherSizeCost.count());
    }

} // namespace

uint32_t promptTokens(std::span<const PromptPart> prompt)
{
    uint32_t total = 0;
    for (const auto& part : prompt) {
        total += part.tokens;
    }
    return total;
}

std::span<const PromptPart> sharedParts(std::span<const PromptPart> prompt)
{
    return prompt.first(prompt.empty() ? 0 : prompt.size() - 1);
}

std::chrono::microseconds meanQueue(std::span<const PlacementCandidate> candidates, const PlacementOptions& options)
{
    double sum = 0;
    for (const auto& candidate : candidates) {
        sum += queueOf(candidate) / options.promptTokensPerMs * 1000.0 * delayFactor(candidate);
    }
    return std::chrono::microseconds { candidates.empty() ? 0 : static_cast<int64_t>(sum / static_cast<double>(candidates.size())) };
}

bool hasPlaceFor(const PlacementCandidate& candidate, uint64_t requestTokens)
{
    if (candidate.load.requests >= candidate.slots) {
        return false;
    }
    return candidate.memoryTokens == 0 || candidate.load.requests == 0 || candidate.load.heldTokens + requestTokens <= candidate.memoryTokens;
}

std::optional<Placement> placeRequest(const PlacementRequest& request, std::span<const PlacementCandidate> candidates, const PlacementOptions& options)
{
    const uint32_t whole = promptTokens(request.prompt);
    const uint32_t own = request.prompt.empty() ? 0 : request.prompt.back().tokens;
    const auto home = homeOf(request.prompt, candidates);
    std::vector<double> costs(candidates.size(), std::numeric_limits<double>::infinity());
    std::vector<uint32_t> unread(candidates.size(), whole);
    const double readAgainWeight = options.readAgainWeight * (1.0 + meanQueueUs(candidates, options) / static_cast<double>(options.crowdedQueue.count()));
    double best = std::numeric_limits<double>::infinity();
    for (size_t index = 0; index < candidates.size(); ++index) {
        const auto& candidate = candidates[index];
        if (!hasPlaceFor(candidate, whole + request.outputTokens)) {
            continue;
        }
        uint32_t resident = home == index ? std::max(candidate.residentTokens, whole - own) : candidate.residentTokens;
        unread[index] = whole - std::min(whole, resident);
        costs[index] = costOf(candidate, unread[index], readAgainWeight, options);
        best = std::min(best, costs[index]);
    }
    if (best == std::numeric_limits<double>::infinity()) {
        return std::nullopt;
    }
    const double limit = best * (1.0 + options.evenness);
    std::vector<size_t> equal;
    for (size_t index = 0; index < costs.size(); ++index) {
        if (costs[index] <= limit) {
            equal.push_back(index);
        }
    }
    size_t chosen = equal[request.draw % equal.size()];
    const auto& candidate = candidates[chosen];
    const double usPerToken = 1000.0 / options.promptTokensPerMs * delayFactor(candidate);
    const double aheadUs = static_cast<double>(candidate.load.unreadTokens) * usPerToken;
    const double waitUs = aheadUs + unread[chosen] * usPerToken + static_cast<double>(candidate.load.requests * options.batchCost.count()) * delayFactor(candidate);
    return Placement { .index = chosen,
        .predictedWait = std::chrono::microseconds { static_cast<int64_t>(waitUs) },
        .queueAhead = std::chrono::microseconds { static_cast<int64_t>(aheadUs) },
        .unreadTokens = unread[chosen] };
}

} // namespace siskinspread
