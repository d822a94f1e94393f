#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace siskinspread::standin {

enum class CacheOperation : uint8_t {
    Add,
    Remove,
};

struct CacheEvent {
    uint64_t sequence { 0 };
    CacheOperation operation { CacheOperation::Add };
    uint64_t block { 0 };
    std::chrono::steady_clock::time_point time;
};

struct PrefixCacheOptions {
    size_t capacityBlocks { 0 };
    std::chrono::milliseconds eventLag { 0 };
    uint64_t dropEveryNthEvent { 0 }; /**< 0 drops none. */
};

/** Prompt blocks in least-recently-used order, with the events that tell of them. */
class PrefixCache {
public:
    explicit PrefixCache(PrefixCacheOptions options);

    /** @return how many of the leading blocks are present. */
    size_t countCached(std::span<const uint64_t> blocks) const;

    /** Adds the blocks, or marks them as used. */
    void use(std::span<const uint64_t> blocks, std::chrono::steady_clock::time_point now);

    /** @return the published events after `sequence`, without those that are dropped or still late. */
    std::vector<CacheEvent> events(uint64_t sequence, std::chrono::steady_clock::time_point now) const;

    size_t blockCount() const { return m_positions.size(); }

private:
    void record(CacheOperation operation, uint64_t block, std::chrono::steady_clock::time_point now);

    PrefixCacheOptions m_options;
    std::list<uint64_t> m_byUse; /**< Most recently used first. */
    std::unordered_map<uint64_t, std::list<uint64_t>::iterator> m_positions;
    std::deque<CacheEvent> m_events;
    uint64_t m_lastSequence { 0 };
};

} // namespace siskinspread::standin
