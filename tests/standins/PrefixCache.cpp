#include "PrefixCache.h"

#include <algorithm>

namespace siskinspread::standin {
namespace {

    /** Older events are forgotten, which a reader sees as a gap. */
    constexpr size_t maxEvents = 65536;

} // namespace

PrefixCache::PrefixCache(PrefixCacheOptions options)
    : m_options(options)
{
}

size_t PrefixCache::countCached(std::span<const uint64_t> blocks) const
{
    auto missing = std::find_if(blocks.begin(), blocks.end(), [this](uint64_t block) { return m_positions.count(block) == 0; });
    return static_cast<size_t>(missing - blocks.begin());
}

void PrefixCache::use(std::span<const uint64_t> blocks, std::chrono::steady_clock::time_point now)
{
    // From the last block to the first, so that the end of a prefix is evicted before its start.
    const auto kept = blocks.first(std::min(blocks.size(), m_options.capacityBlocks));
    for (auto next = kept.rbegin(); next != kept.rend(); ++next) {
        const uint64_t block = *next;
        auto position = m_positions.find(block);
        if (position != m_positions.end()) {
            m_byUse.splice(m_byUse.begin(), m_byUse, position->second);
            continue;
        }
        m_byUse.push_front(block);
        m_positions[block] = m_byUse.begin();
        record(CacheOperation::Add, block, now);
    }
    while (m_byUse.size() > m_options.capacityBlocks) {
        record(CacheOperation::Remove, m_byUse.back(), now);
        m_positions.erase(m_byUse.back());
        m_byUse.pop_back();
    }
}

std::vector<CacheEvent> PrefixCache::events(uint64_t sequence, std::chrono::steady_clock::time_point now) const
{
    std::vector<CacheEvent> published;
    for (const CacheEvent& event : m_events) {
        const bool isDropped = m_options.dropEveryNthEvent > 0 && event.sequence % m_options.dropEveryNthEvent == 0;
        if (event.sequence > sequence && event.time + m_options.eventLag <= now && !isDropped) {
            published.push_back(event);
        }
    }
    return published;
}

void PrefixCache::record(CacheOperation operation, uint64_t block, std::chrono::steady_clock::time_point now)
{
    m_events.push_back({ .sequence = ++m_lastSequence, .operation = operation, .block = block, .time = now });
    if (m_events.size() > maxEvents) {
        m_events.pop_front();
    }
}

} // namespace siskinspread::standin
