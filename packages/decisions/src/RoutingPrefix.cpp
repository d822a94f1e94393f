#include "siskinspread/RoutingPrefix.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace siskinspread {

namespace {

    constexpr size_t popularityEntries = 16384; // 24 bytes each
    constexpr size_t cachedEntries = 8192; // 72 bytes each

    using Seconds = std::chrono::duration<double>;

    float decayed(const PrefixPopularity& popularity, const PrefixPopularity::Entry& entry, MonotonicTime now)
    {
        const Seconds age = now - entry.at;
        return entry.work * static_cast<float>(std::exp2(-age / Seconds(popularity.halfLife)));
    }

    void addWork(const PrefixPopularity& popularity, PrefixPopularity::Entry& entry, double work, MonotonicTime now)
    {
        entry.work = decayed(popularity, entry, now) + static_cast<float>(work);
        entry.at = now;
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

uint64_t rendezvousWeight(PrefixBlock block, uint64_t serverNameHash)
{
    return XXH3_64bits_withSeed(&block, sizeof block, serverNameHash);
}

void recordPrefix(PrefixPopularity& popularity, std::span<const PrefixBlock> blocks, double work, MonotonicTime now)
{
    if (popularity.entries.empty()) {
        popularity.entries.resize(popularityEntries);
    }
    addWork(popularity, popularity.total, work, now);
    for (const PrefixBlock block : blocks) {
        PrefixPopularity::Entry& entry = popularity.entries[block & (popularity.entries.size() - 1)];
        if (entry.block == block) {
            addWork(popularity, entry, work, now);
        } else if (decayed(popularity, entry, now) < work) {
            entry = { .block = block, .work = static_cast<float>(work), .at = now };
        }
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
        const PrefixPopularity::Entry& entry = popularity.entries[blocks[i - 1] & (popularity.entries.size() - 1)];
        const double work = entry.block == blocks[i - 1] ? decayed(popularity, entry, now) : 0.0;
        longer = { .seen = longer.seen || work > 0, .share = std::max(longer.share, work / total) };
        uses[i - 1] = longer;
    }
    return uses;
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
