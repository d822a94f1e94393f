#include "siskinspread/RoutingPrefix.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace siskinspread {

namespace {

    constexpr size_t popularityEntries = 16384; // 24 bytes each
    constexpr size_t entriesPerSet = 4;
    constexpr size_t cachedEntries = 8192; // 72 bytes each

    using Seconds = std::chrono::duration<double>;

    float decayFactor(const PrefixPopularity& popularity, MonotonicTime at, MonotonicTime now)
    {
        const Seconds age = now - at;
        return static_cast<float>(std::exp2(-age / Seconds(popularity.halfLife)));
    }

    float decayed(const PrefixPopularity& popularity, const PrefixPopularity::Entry& entry, MonotonicTime now)
    {
        return entry.work * decayFactor(popularity, entry.at, now);
    }

    /** The factor of the time asked for last is kept: the blocks of one prompt were mostly counted at the same time. */
    struct DecayMemo {
        MonotonicTime at;
        float factor { 0 };
    };

    float decayed(const PrefixPopularity& popularity, const PrefixPopularity::Entry& entry, MonotonicTime now, DecayMemo& memo)
    {
        if (entry.at != memo.at) {
            memo = { .at = entry.at, .factor = decayFactor(popularity, entry.at, now) };
        }
        return entry.work * memo.factor;
    }

    void addWork(const PrefixPopularity& popularity, PrefixPopularity::Entry& entry, double work, MonotonicTime now)
    {
        entry.work = decayed(popularity, entry, now) + static_cast<float>(work);
        entry.at = now;
    }

    template <typename Popularity>
    auto setOf(Popularity& popularity, PrefixBlock block)
    {
        const size_t sets = popularity.entries.size() / entriesPerSet;
        return std::span(popularity.entries).subspan((block & (sets - 1)) * entriesPerSet, entriesPerSet);
    }

    const PrefixPopularity::Entry* findEntry(const PrefixPopularity& popularity, PrefixBlock block)
    {
        const auto set = setOf(popularity, block);
        const auto found = std::find_if(set.begin(), set.end(), [block](const auto& entry) { return entry.block == block; });
        return found == set.end() ? nullptr : &*found;
    }

    /** The entry of the block; a new one takes the place of the set's least work. */
    PrefixPopularity::Entry& claimEntry(PrefixPopularity& popularity, PrefixBlock block, MonotonicTime now)
    {
        const auto set = setOf(popularity, block);
        auto found = std::find_if(set.begin(), set.end(), [block](const auto& entry) { return entry.block == block; });
        if (found == set.end()) {
            found = std::min_element(set.begin(), set.end(), [&popularity, now](const auto& left, const auto& right) {
                return decayed(popularity, left, now) < decayed(popularity, right, now);
            });
            *found = { .block = block, .at = now };
        }
        return *found;
    }

    CachedPrefixes::Entry& claimEntry(CachedPrefixes& cached, PrefixBlock block)
    {
        if (cached.entries.empty()) {
            cached.entries.resize(cachedEntries);
        }
        CachedPrefixes::Entry& entry = cached.entries[block & (cached.entries.size() - 1)];
        if (entry.block != block) {
            entry = { .block = block, .holders = {} };
        }
        return entry;
    }

} // namespace

PrefixBlock extendPrefix(PrefixBlock previous, std::string_view bytes)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), previous);
}

std::vector<PrefixBlock> prefixBlocks(std::string_view prompt, size_t blockBytes, size_t maximumBlocks)
{
    const size_t count = std::min(prompt.size() / blockBytes, maximumBlocks);
    std::vector<PrefixBlock> blocks;
    blocks.reserve(count);
    PrefixBlock previous = 0;
    for (size_t i = 0; i < count; ++i) {
        previous = extendPrefix(previous, prompt.substr(i * blockBytes, blockBytes));
        blocks.push_back(previous);
    }
    return blocks;
}

void recordPrefix(PrefixPopularity& popularity, std::span<const PrefixBlock> blocks, double work, MonotonicTime now)
{
    if (popularity.entries.empty()) {
        popularity.entries.resize(popularityEntries);
    }
    addWork(popularity, popularity.total, work, now);
    for (const PrefixBlock block : blocks) {
        addWork(popularity, claimEntry(popularity, block, now), work, now);
    }
}

std::vector<PrefixUse> prefixUses(const PrefixPopularity& popularity, std::span<const PrefixBlock> blocks, MonotonicTime now)
{
    std::vector<PrefixUse> uses(blocks.size());
    if (popularity.entries.empty()) {
        return uses;
    }
    const double total = decayed(popularity, popularity.total, now);
    PrefixUse longer;
    for (size_t i = blocks.size(); i > 0; --i) {
        const PrefixPopularity::Entry* entry = findEntry(popularity, blocks[i - 1]);
        if (entry != nullptr && total > 0) {
            const double share = decayed(popularity, *entry, now) / total;
            longer = { .seen = true, .share = std::max(longer.share, share) };
        }
        uses[i - 1] = longer;
    }
    return uses;
}

void fillPrefixUses(const PrefixPopularity& popularity, std::span<const PrefixBlock> blocks, MonotonicTime now, std::span<PrefixUse> uses)
{
    const double total = popularity.entries.empty() ? 0 : decayed(popularity, popularity.total, now);
    if (total <= 0) {
        return;
    }
    DecayMemo memo { .at = popularity.total.at, .factor = decayFactor(popularity, popularity.total.at, now) };
    PrefixUse longer;
    for (size_t i = blocks.size(); i > 0; --i) {
        if (const PrefixPopularity::Entry* entry = findEntry(popularity, blocks[i - 1])) {
            const double share = decayed(popularity, *entry, now, memo) / total;
            longer = { .seen = true, .share = std::max(longer.share, share) };
        }
        uses[i - 1] = longer;
    }
}

void recordCached(CachedPrefixes& cached, PrefixBlock block, uint64_t serverNameHash, MonotonicTime at)
{
    CachedPrefixes::Entry& entry = claimEntry(cached, block);
    CachedPrefixes::Holder* place = std::begin(entry.holders);
    for (CachedPrefixes::Holder& holder : entry.holders) {
        if (holder.serverNameHash == serverNameHash) {
            holder.at = std::max(holder.at, at);
            return;
        }
        if (holder.at < place->at) {
            place = &holder;
        }
    }
    *place = { .serverNameHash = serverNameHash, .at = at };
}

void recordEvicted(CachedPrefixes& cached, PrefixBlock block, uint64_t serverNameHash, MonotonicTime at)
{
    if (findCached(cached, block) == nullptr) {
        return;
    }
    for (CachedPrefixes::Holder& holder : claimEntry(cached, block).holders) {
        if (holder.serverNameHash == serverNameHash && holder.at <= at) {
            holder = {};
        }
    }
}

const CachedPrefixes::Entry* findCached(const CachedPrefixes& cached, PrefixBlock block)
{
    if (cached.entries.empty()) {
        return nullptr;
    }
    const CachedPrefixes::Entry& entry = cached.entries[block & (cached.entries.size() - 1)];
    return entry.block == block ? &entry : nullptr;
}

} // namespace siskinspread
