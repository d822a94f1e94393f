#pragma once

#include "siskinspread/Time.h"

#include <bit>
#include <chrono>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace siskinspread {

/** Hash of a prompt's beginning up to the end of one block; equal for equal beginnings, also on other hosts. */
using PrefixBlock = uint64_t;

/** @return the hash of the block `bytes` that follows a prefix with hash `previous` (0 for none). Reentrant. */
PrefixBlock extendPrefix(PrefixBlock previous, std::string_view bytes);

/**
 * Cuts a prompt into blocks of `blockBytes` (above zero) and hashes each beginning with xxHash. An incomplete last
 * block is left out. At most `maximumBlocks` are returned. Reentrant.
 */
std::vector<PrefixBlock> prefixBlocks(std::string_view prompt, size_t blockBytes, size_t maximumBlocks);

/**
 * Hash of a (block, server) pair for rendezvous hashing (Thaler and Ravishankar, 1998): the finalizer of SplitMix64
 * (Steele, Lea and Flood, 2014) over two values that are hashes already. Reentrant.
 */
inline uint64_t rendezvousWeight(PrefixBlock block, uint64_t serverNameHash)
{
    uint64_t mixed = block ^ std::rotl(serverNameHash, 32);
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebU;
    return mixed ^ (mixed >> 31);
}

/**
 * How much work began with each prefix block lately: a set-associative table of exponentially decaying sums with
 * fixed memory. Where a set is full, the block with the least work makes room. Plain data: the owner serialises access.
 */
struct PrefixPopularity {
    struct Entry {
        PrefixBlock block { 0 };
        float work { 0 };
        MonotonicTime at;
    };
    std::chrono::milliseconds halfLife { 60000 };
    std::vector<Entry> entries; /**< Empty or a power of two; made at the first record. */
    Entry total;
};

/**
 * Counts one request with these blocks. Call it after the request has been routed.
 * @param work what the request costs a backend server, above zero; any unit, for example prompt tokens.
 */
void recordPrefix(PrefixPopularity& popularity, std::span<const PrefixBlock> blocks, double work, MonotonicTime now);

/** Recent use of a prefix block. */
struct PrefixUse {
    bool seen { false }; /**< Some recent request of this host began with it. */
    double share { 0 }; /**< Part, 0 to 1, of all recent work. */
};

/**
 * @return the recent use of each block of a prompt. A beginning is used at least as often as any longer one, which
 * makes up for blocks that lost their place in the table.
 */
std::vector<PrefixUse> prefixUses(const PrefixPopularity& popularity, std::span<const PrefixBlock> blocks, MonotonicTime now);

/** As prefixUses, without memory of its own. @param uses one for each block, empty before. */
void fillPrefixUses(const PrefixPopularity& popularity, std::span<const PrefixBlock> blocks, MonotonicTime now, std::span<PrefixUse> uses);

/**
 * Which backend servers hold which prefix block, as far as cache events and this host's own dispatches tell. Events
 * come late and with gaps, so an entry is a hint that expires. Direct-mapped with fixed memory.
 */
struct CachedPrefixes {
    static constexpr size_t holdersPerBlock = 4;
    struct Holder {
        uint64_t serverNameHash { 0 };
        MonotonicTime at;
    };
    struct Entry {
        PrefixBlock block { 0 };
        Holder holders[holdersPerBlock];
    };
    std::chrono::milliseconds lifetime { 120000 };
    std::vector<Entry> entries; /**< Empty or a power of two; made at the first record. */
};

/** Notes that the server holds the block since `at`; replaces the oldest holder when all places are taken. */
void recordCached(CachedPrefixes& cached, PrefixBlock block, uint64_t serverNameHash, MonotonicTime at);

/** Notes that the server evicted the block at `at`; a newer note that it holds the block stays. */
void recordEvicted(CachedPrefixes& cached, PrefixBlock block, uint64_t serverNameHash, MonotonicTime at);

/** @return the entry of the block, or null. */
const CachedPrefixes::Entry* findCached(const CachedPrefixes& cached, PrefixBlock block);

} // namespace siskinspread
