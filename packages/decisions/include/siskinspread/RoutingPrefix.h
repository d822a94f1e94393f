#pragma once

#include "siskinspread/Time.h"

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

/** Hash of a (block, server) pair for rendezvous hashing (Thaler and Ravishankar, 1998). Reentrant. */
uint64_t rendezvousWeight(PrefixBlock block, uint64_t serverNameHash);

/**
 * How often each prefix block was seen lately: a direct-mapped table of exponentially decaying counts with fixed
 * memory. Two blocks in one place: the one with the larger count stays. Plain data: the owner serialises access.
 */
struct PrefixPopularity {
    struct Entry {
        PrefixBlock block { 0 };
        float count { 0 };
        MonotonicTime at;
    };
    std::chrono::milliseconds halfLife { 60000 };
    double doubt { 1.0 }; /**< Standard deviations by which a share is estimated low. */
    double priorCount { 20 }; /**< Requests of other beginnings that are taken as seen before. */
    std::vector<Entry> entries; /**< Empty or a power of two; made at the first record. */
    Entry total;
};

/** Counts one request with these blocks. Call it after the request has been routed. */
void recordPrefix(PrefixPopularity& popularity, std::span<const PrefixBlock> blocks, MonotonicTime now);

/** Recent use of a prefix block. */
struct PrefixUse {
    double count { 0 }; /**< Decayed count; 0 when nothing is known. */
    double share { 0 }; /**< Part, 0 to 1, of all recent requests, estimated low while the count is small. */
};

/** @return the recent use of the block, without the request at hand unless it was recorded before. */
PrefixUse prefixUse(const PrefixPopularity& popularity, PrefixBlock block, MonotonicTime now);

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
