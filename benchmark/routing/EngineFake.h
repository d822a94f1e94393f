#pragma once

#include "siskinspread/PoolView.h"

#include <functional>
#include <list>
#include <queue>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace siskinspread::benchmark {

/** Virtual time: runs callbacks in order of time, and of insertion among equal times. */
class EventQueue {
public:
    MonotonicTime now() const { return m_now; }
    void at(MonotonicTime time, std::function<void()> callback);
    void after(std::chrono::microseconds delay, std::function<void()> callback) { at(m_now + delay, std::move(callback)); }
    /** Runs until nothing is left or the time is past `end`. */
    void run(MonotonicTime end);

private:
    struct Event {
        MonotonicTime time;
        uint64_t order;
        std::function<void()> callback;
        bool operator<(const Event& other) const { return time != other.time ? time > other.time : order > other.order; }
    };
    MonotonicTime m_now { std::chrono::hours(1) };
    uint64_t m_order { 0 };
    std::priority_queue<Event> m_events;
};

/** Speed and size of a fake engine; see docs/design/routing-bench.md. */
struct EngineOptions {
    uint32_t slots { 16 };
    uint32_t cacheBlocks { 1000 };
    uint32_t tokensPerBlock { 64 };
    uint32_t prefillChunk { 256 }; /**< Prompt tokens computed in one step at most. */
    std::chrono::microseconds stepBase { 10000 };
    std::chrono::microseconds stepPerStream { 600 };
    std::chrono::microseconds stepPerPromptToken { 80 };
    double slowFactor { 1.0 };
};

/** One request at an engine. */
struct EngineStream {
    uint64_t id { 0 };
    uint8_t priority { 1 };
    uint32_t promptTokens { 0 }; /**< With the tokens of the answer that are already generated. */
    uint32_t outputTokens { 0 }; /**< Still to be generated. */
    bool cacheImported { false };
    std::vector<PrefixBlock> blocks;
    uint32_t regeneratedTokens { 0 }; /**< Part of promptTokens that another engine had generated. */
    uint32_t leftToPrefill { 0 };
};

/** Tokens that the pool has computed. */
struct ComputedTokens {
    uint64_t prompt { 0 };
    uint64_t output { 0 };
    uint64_t recomputed { 0 }; /**< Prompt tokens of blocks that some engine had computed before. */
    std::unordered_set<PrefixBlock> everComputed;
};

/** A change of an engine's prefix cache, as its events tell. */
struct CacheChange {
    PrefixBlock block { 0 };
    bool stored { false };
};

/**
 * Fake of a model engine: continuous batching with a limited number of slots, chunked prefill, and a prefix cache with
 * least-recently-used eviction. Each step gives every stream whose prompt is computed one token.
 */
class EngineFake {
public:
    using OnToken = std::function<void(uint64_t id, bool last)>;

    EngineFake(EventQueue& events, const EngineOptions& options, ComputedTokens& computed, OnToken onToken);

    void submit(EngineStream stream);
    void cancel(uint64_t id);
    /** Ends at once. @return the ids of the streams that it had. */
    std::vector<uint64_t> stop();
    BackendLoadReport load() const;
    /** Takes the cache changes since the last call. */
    std::vector<CacheChange> takeCacheChanges();

private:
    void fillBatch();
    void beginStep();
    void endStep(uint64_t generation);
    uint32_t cachedPrefixTokens(const EngineStream& stream) const;
    void storeBlocks(const EngineStream& stream);
    void touch(PrefixBlock block);
    void countPrefill(const EngineStream& stream, uint32_t cachedTokens);

    EventQueue& m_events;
    EngineOptions m_options;
    ComputedTokens& m_computed;
    OnToken m_onToken;
    std::vector<EngineStream> m_waiting;
    std::vector<EngineStream> m_running;
    std::list<PrefixBlock> m_recency; // most recent first
    std::unordered_map<PrefixBlock, std::list<PrefixBlock>::iterator> m_cache;
    std::vector<CacheChange> m_changes;
    bool m_stepping { false };
    uint64_t m_generation { 0 };
};

} // namespace siskinspread::benchmark
