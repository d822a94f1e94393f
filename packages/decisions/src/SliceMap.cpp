#include "siskinspread/SliceMap.h"

#include <algorithm>
#include <map>

#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

namespace siskinspread {

namespace {

    uint64_t hashOf(std::string_view text, uint64_t seed)
    {
        return XXH3_64bits_withSeed(text.data(), text.size(), seed);
    }

    std::set<IncarnationId> ownersIn(const SliceMap& map)
    {
        std::set<IncarnationId> owners;
        for (const SliceAssignment& slice : map.slices) {
            owners.insert(slice.owner);
        }
        return owners;
    }

    std::string domainOf(const IncarnationId& incarnation, const std::vector<SliceOwnerCandidate>& known)
    {
        const auto found = std::find_if(known.begin(), known.end(), [&](const SliceOwnerCandidate& one) { return one.incarnation == incarnation; });
        return found == known.end() ? std::string {} : found->failureDomain;
    }

    /** How many slices each owner has, kept up to date while moves are planned. */
    using Load = std::map<IncarnationId, size_t>;

    /** The owner that takes the slice: nearest, then least loaded, then by hash. Null without owners. */
    const SliceOwnerCandidate* takerOf(uint32_t slice, const std::string& failureDomain, const std::vector<SliceOwnerCandidate>& owners, Load& load)
    {
        const auto rank = [&](const SliceOwnerCandidate& owner) {
            return std::tuple(owner.failureDomain != failureDomain, load[owner.incarnation], hashOf(owner.incarnation.text, slice), owner.incarnation);
        };
        const auto best = std::min_element(owners.begin(), owners.end(),
            [&](const SliceOwnerCandidate& a, const SliceOwnerCandidate& b) { return rank(a) < rank(b); });
        return best == owners.end() ? nullptr : &*best;
    }

} // namespace

std::vector<SliceOwnerCandidate> sliceOwners(const SliceMap& map, const std::vector<SliceOwnerCandidate>& candidates, const SliceOptions& options)
{
    const std::set<IncarnationId> current = ownersIn(map);
    std::vector<SliceOwnerCandidate> ranked = candidates;
    const auto rank = [&](const SliceOwnerCandidate& one) {
        return std::tuple(one.failureDomain, !current.contains(one.incarnation), hashOf(one.incarnation.text, 0), one.incarnation);
    };
    std::sort(ranked.begin(), ranked.end(), [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
    std::map<std::string, size_t> taken;
    std::vector<SliceOwnerCandidate> owners;
    for (const SliceOwnerCandidate& one : ranked) {
        if (taken[one.failureDomain] < options.ownersPerFailureDomain) {
            ++taken[one.failureDomain];
            owners.push_back(one);
        }
    }
    return owners;
}

std::vector<SliceMove> planSliceMoves(const SliceMap& map, const std::vector<SliceOwnerCandidate>& candidates,
    const std::set<IncarnationId>& ended, const std::vector<SliceOwnerCandidate>& failureDomains, const SliceOptions& options)
{
    std::vector<SliceOwnerCandidate> alive;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(alive),
        [&](const SliceOwnerCandidate& one) { return !ended.contains(one.incarnation); });
    const std::vector<SliceOwnerCandidate> owners = sliceOwners(map, alive, options);
    Load load;
    for (const SliceAssignment& slice : map.slices) {
        ++load[slice.owner];
    }
    std::vector<SliceMove> moves;
    for (uint32_t index = 0; index < options.sliceCount; ++index) {
        const IncarnationId owner = index < map.slices.size() ? map.slices[index].owner : IncarnationId {};
        if (!owner.text.empty() && !ended.contains(owner)) {
            continue;
        }
        if (const SliceOwnerCandidate* taker = takerOf(index, domainOf(owner, failureDomains), owners, load)) {
            ++load[taker->incarnation];
            moves.push_back({ .slice = index, .from = owner, .taker = taker->incarnation });
        }
    }
    return moves;
}

std::optional<SliceMap> applySliceMoves(const SliceMap& map, const std::vector<SliceMove>& moves, WallTime now, const SliceOptions& options, LastReason& reason)
{
    SliceMap changed = map;
    changed.slices.resize(options.sliceCount);
    bool applied = false;
    for (const SliceMove& move : moves) {
        if (move.slice >= options.sliceCount || changed.slices[move.slice].owner != move.from) {
            continue;
        }
        SliceAssignment& slice = changed.slices[move.slice];
        if (!slice.owner.text.empty()) {
            slice.previous.push_back({ .incarnation = slice.owner, .generation = slice.generation, .until = now });
        }
        std::erase_if(slice.previous, [&](const PreviousOwner& owner) { return owner.until + options.retention < now; });
        slice.owner = move.taker;
        ++slice.generation;
        applied = true;
    }
    if (!applied) {
        return fail(reason, ResultCode::VersionConflict, "the slices have another owner by now");
    }
    return changed;
}

uint32_t sliceOf(const IdempotencyKey& key, const SliceOptions& options)
{
    LastReason ignored;
    if (const auto issued = parseIssuedKey(key, ignored)) {
        return issued->slice % options.sliceCount;
    }
    return static_cast<uint32_t>(hashOf(key.text, hashOf(key.customer, 0)) % options.sliceCount);
}

BodyDigest digestOf(std::string_view method, std::string_view path, std::string_view body)
{
    const uint64_t seed = hashOf(path, hashOf(method, 0));
    const XXH128_hash_t hash = XXH3_128bits_withSeed(body.data(), body.size(), seed);
    return { .high = hash.high64, .low = hash.low64 };
}

} // namespace siskinspread
