#include "RoutingHomes.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>

namespace siskinspread {

namespace {

    constexpr double spreadInDeviations = 4;

    using Weights = std::span<uint64_t>;

    /** Reorders the weights. @param rank from 1; the highest weight has rank 1. */
    uint64_t selectWeight(std::span<uint64_t> weights, size_t rank)
    {
        const auto selected = weights.begin() + static_cast<std::ptrdiff_t>(rank - 1);
        std::nth_element(weights.begin(), selected, weights.end(), std::greater<>());
        return *selected;
    }

    /** @return the weight that uniform weights have at this rank on average, which may lie outside of 1 to `count`. */
    uint64_t expectedWeight(double rank, double count)
    {
        constexpr double weights = 0x1p64;
        const double weight = (1 - rank / count) * weights;
        if (weight <= 0) {
            return 0;
        }
        return weight >= weights ? std::numeric_limits<uint64_t>::max() : static_cast<uint64_t>(weight);
    }

    /** The weights of all homes, and what the one of a rank is sought by. */
    struct Ranking {
        Weights weights;
        Weights near; /**< Those from `low` to `high`. */
        size_t above { 0 }; /**< Number of those above `high`. */
    };

    /** Without branches that the processor would have to predict. */
    Ranking rank(const Homes& homes, PrefixBlock block, uint64_t low, uint64_t high, std::pmr::memory_resource& memory)
    {
        const size_t count = homes.nameHashes.size();
        const Weights weights = scratchFor<uint64_t>(memory, count);
        const Weights near = scratchFor<uint64_t>(memory, count);
        size_t above = 0;
        size_t inRange = 0;
        for (size_t i = 0; i < count; ++i) {
            const uint64_t weight = rendezvousWeight(block, homes.nameHashes[i]);
            weights[i] = weight;
            near[inRange] = weight;
            inRange += static_cast<size_t>(weight - low <= high - low);
            above += static_cast<size_t>(weight > high);
        }
        return { .weights = weights, .near = near.first(inRange), .above = above };
    }

    /** @return the weight of rank `wanted`. */
    uint64_t leastWanted(const Ranking& ranking, size_t wanted, std::pmr::memory_resource& memory)
    {
        if (ranking.above < wanted && wanted <= ranking.above + ranking.near.size()) {
            return selectWeight(ranking.near, wanted - ranking.above);
        }
        const Weights all = scratchFor<uint64_t>(memory, ranking.weights.size());
        std::copy(ranking.weights.begin(), ranking.weights.end(), all.begin());
        return selectWeight(all, wanted);
    }

    void keepFrom(Homes& homes, Weights weights, uint64_t least)
    {
        size_t kept = 0;
        for (size_t i = 0; i < weights.size(); ++i) {
            homes.positions[kept] = homes.positions[i];
            homes.nameHashes[kept] = homes.nameHashes[i];
            kept += static_cast<size_t>(weights[i] >= least);
        }
        homes = { .positions = homes.positions.first(kept), .nameHashes = homes.nameHashes.first(kept) };
    }

    Homes allHomes(Candidates candidates, std::pmr::memory_resource& memory)
    {
        const Homes homes { .positions = scratchFor<uint32_t>(memory, candidates.size()), .nameHashes = scratchFor<uint64_t>(memory, candidates.size()) };
        for (size_t i = 0; i < candidates.size(); ++i) {
            homes.positions[i] = static_cast<uint32_t>(i);
            homes.nameHashes[i] = candidates[i].nameHash;
        }
        return homes;
    }

    void creditEach(const Homes& homes, double tokens, Candidates candidates)
    {
        for (const uint32_t position : homes.positions) {
            candidates[position].homeTokens = tokens;
        }
    }

    /** Begins at a place that depends on the block, so that no server is weighed for more blocks than others. */
    void appendPositions(std::span<const uint32_t> homes, size_t most, PrefixBlock block, std::pmr::vector<uint32_t>& positions)
    {
        const size_t count = std::min(most, homes.size());
        const size_t first = block % homes.size();
        const size_t untilEnd = std::min(count, homes.size() - first);
        const auto toEnd = homes.subspan(first, untilEnd);
        const auto fromBegin = homes.first(count - untilEnd);
        positions.insert(positions.end(), toEnd.begin(), toEnd.end());
        positions.insert(positions.end(), fromBegin.begin(), fromBegin.end());
    }

} // namespace

void keepHomes(Homes& homes, size_t wanted, PrefixBlock block, std::pmr::memory_resource& memory)
{
    const auto count = static_cast<double>(homes.positions.size());
    const auto average = static_cast<double>(wanted);
    const double spread = spreadInDeviations * (std::sqrt(average * (1 - average / count)) + 1);
    const Ranking ranking = rank(homes, block, expectedWeight(average + spread, count), expectedWeight(average - spread, count), memory);
    keepFrom(homes, ranking.weights, leastWanted(ranking, wanted, memory));
}

void keepHomesBySorting(Homes& homes, size_t wanted, PrefixBlock block, std::pmr::memory_resource& memory)
{
    const Weights weights = scratchFor<uint64_t>(memory, homes.nameHashes.size());
    std::transform(homes.nameHashes.begin(), homes.nameHashes.end(), weights.begin(), [block](uint64_t nameHash) { return rendezvousWeight(block, nameHash); });
    std::vector<uint64_t> sorted(weights.begin(), weights.end());
    std::sort(sorted.begin(), sorted.end(), std::greater<>());
    keepFrom(homes, weights, sorted[wanted - 1]);
}

std::pmr::vector<uint32_t> creditHomes(Candidates candidates, const RouteRequest& request, std::span<const PrefixUse> uses, const RoutingOptions& options, KeepHomes& keep, std::pmr::memory_resource& memory)
{
    Homes homes = allHomes(candidates, memory);
    std::pmr::vector<uint32_t> positions(&memory);
    positions.reserve(3 * options.sample);
    const auto servers = static_cast<double>(candidates.size());
    double credited = 0;
    for (size_t i = 0; i < request.blocks.size(); ++i) {
        const double wanted = std::max(1.0, std::ceil(uses[i].share * servers * options.replicaSlack));
        const bool isInstructions = (i + 1) * request.tokensPerBlock <= options.instructionTokens;
        if (!isInstructions && wanted < static_cast<double>(homes.positions.size())) {
            if (credited > 0) {
                creditEach(homes, credited, candidates);
            }
            keep(homes, static_cast<size_t>(wanted), request.blocks[i], memory);
            appendPositions(homes.positions, options.sample, request.blocks[i], positions);
        }
        credited += (uses[i].seen ? 1.0 : options.unseenCredit) * request.tokensPerBlock;
    }
    creditEach(homes, credited, candidates);
    return positions;
}

} // namespace siskinspread
