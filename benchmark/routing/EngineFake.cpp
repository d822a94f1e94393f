#include "EngineFake.h"

#include <algorithm>
#include <utility>

namespace siskinspread::benchmark {

void EventQueue::at(MonotonicTime time, std::function<void()> callback)
{
    m_events.push({ .time = std::max(time, m_now), .order = m_order++, .callback = std::move(callback) });
}

void EventQueue::run(MonotonicTime end)
{
    while (!m_events.empty() && m_events.top().time <= end) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.time;
        event.callback();
    }
}

EngineFake::EngineFake(EventQueue& events, const EngineOptions& options, ComputedTokens& computed, OnToken onToken)
    : m_events(events)
    , m_options(options)
    , m_computed(computed)
    , m_onToken(std::move(onToken))
{
}

void EngineFake::submit(EngineStream stream)
{
    const auto place = std::find_if(m_waiting.begin(), m_waiting.end(), [&stream](const EngineStream& other) { return other.priority < stream.priority; });
    m_waiting.insert(place, std::move(stream));
    if (!m_stepping) {
        beginStep();
    }
}

void EngineFake::cancel(uint64_t id)
{
    const auto matches = [id](const EngineStream& stream) { return stream.id == id; };
    std::erase_if(m_waiting, matches);
    std::erase_if(m_running, matches);
}

std::vector<uint64_t> EngineFake::stop()
{
    std::vector<uint64_t> ids;
    for (const auto* streams : { &m_running, &m_waiting }) {
        for (const EngineStream& stream : *streams) {
            ids.push_back(stream.id);
        }
    }
    m_running.clear();
    m_waiting.clear();
    m_recency.clear();
    m_cache.clear();
    m_stepping = false;
    ++m_generation;
    return ids;
}

BackendLoadReport EngineFake::load() const
{
    BackendLoadReport report {
        .sampledAt = m_events.now(),
        .running = static_cast<uint32_t>(m_running.size()),
        .waiting = static_cast<uint32_t>(m_waiting.size()),
        .slots = m_options.slots,
    };
    for (const EngineStream& stream : m_running) {
        report.queuedPromptTokens += stream.leftToPrefill;
    }
    for (const EngineStream& stream : m_waiting) {
        report.queuedPromptTokens += stream.promptTokens - cachedPrefixTokens(stream);
    }
    return report;
}

std::vector<CacheChange> EngineFake::takeCacheChanges()
{
    return std::exchange(m_changes, {});
}

void EngineFake::fillBatch()
{
    while (!m_waiting.empty() && m_running.size() < m_options.slots) {
        EngineStream stream = std::move(m_waiting.front());
        m_waiting.erase(m_waiting.begin());
        const uint32_t cachedTokens = stream.cacheImported ? stream.promptTokens : cachedPrefixTokens(stream);
        stream.leftToPrefill = stream.promptTokens - cachedTokens;
        countPrefill(stream, cachedTokens);
        m_running.push_back(std::move(stream));
    }
}

void EngineFake::beginStep()
{
    fillBatch();
    m_stepping = !m_running.empty();
    if (!m_stepping) {
        return;
    }
    uint32_t chunk = m_options.prefillChunk;
    for (EngineStream& stream : m_running) {
        const uint32_t part = std::min(chunk, stream.leftToPrefill);
        chunk -= part;
        stream.leftToPrefill -= part;
    }
    const uint32_t computed = m_options.prefillChunk - chunk;
    const auto length = m_options.stepBase + m_options.stepPerStream * m_running.size() + m_options.stepPerPromptToken * computed;
    const auto slowed = std::chrono::duration_cast<std::chrono::microseconds>(length * m_options.slowFactor);
    m_events.after(slowed, [this, generation = m_generation] { endStep(generation); });
}

void EngineFake::endStep(uint64_t generation)
{
    if (generation != m_generation) {
        return;
    }
    std::vector<std::pair<uint64_t, bool>> tokens;
    for (EngineStream& stream : m_running) {
        if (stream.leftToPrefill > 0) {
            continue;
        }
        storeBlocks(stream);
        stream.blocks.clear();
        --stream.outputTokens;
        ++m_computed.output;
        tokens.emplace_back(stream.id, stream.outputTokens == 0);
    }
    std::erase_if(m_running, [](const EngineStream& stream) { return stream.outputTokens == 0; });
    for (const auto& [id, last] : tokens) {
        m_onToken(id, last);
    }
    beginStep();
}

uint32_t EngineFake::cachedPrefixTokens(const EngineStream& stream) const
{
    const auto missing = std::find_if(stream.blocks.begin(), stream.blocks.end(), [this](PrefixBlock block) { return !m_cache.contains(block); });
    const auto tokens = static_cast<uint32_t>(missing - stream.blocks.begin()) * m_options.tokensPerBlock;
    return std::min(tokens, stream.promptTokens - 1); // the last token is always computed
}

void EngineFake::storeBlocks(const EngineStream& stream)
{
    // Deepest first, so that the shared beginnings are the last to be evicted.
    for (auto block = stream.blocks.rbegin(); block != stream.blocks.rend(); ++block) {
        m_computed.everComputed.insert(*block);
        touch(*block);
    }
    while (m_cache.size() > m_options.cacheBlocks) {
        m_changes.push_back({ .block = m_recency.back(), .stored = false });
        m_cache.erase(m_recency.back());
        m_recency.pop_back();
    }
}

void EngineFake::touch(PrefixBlock block)
{
    const auto known = m_cache.find(block);
    if (known != m_cache.end()) {
        m_recency.splice(m_recency.begin(), m_recency, known->second);
        return;
    }
    m_recency.push_front(block);
    m_cache.emplace(block, m_recency.begin());
    m_changes.push_back({ .block = block, .stored = true });
}

void EngineFake::countPrefill(const EngineStream& stream, uint32_t cachedTokens)
{
    m_computed.prompt += stream.leftToPrefill;
    if (stream.cacheImported) {
        return;
    }
    m_computed.recomputed += stream.regeneratedTokens;
    for (size_t i = cachedTokens / m_options.tokensPerBlock; i < stream.blocks.size(); ++i) {
        m_computed.recomputed += m_computed.everComputed.contains(stream.blocks[i]) ? m_options.tokensPerBlock : 0;
    }
}

} // namespace siskinspread::benchmark
