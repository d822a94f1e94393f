#pragma once

#include "ChatRequest.h"
#include "CommonFaults.h"
#include "EngineOrders.h"
#include "EventLoop.h"
#include "LaggedValue.h"
#include "PrefixCache.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace siskinspread::standin {

struct EngineOptions {
    std::string name;
    std::string failureDomain;
    size_t slots { 0 }; /**< Requests that run at once; the others queue. */
    std::chrono::milliseconds firstToken { 0 };
    std::chrono::microseconds prefillPerToken { 0 }; /**< Added to firstToken for each token that the caches do not hold. */
    std::chrono::milliseconds betweenTokens { 0 };
    uint64_t defaultTokens { 0 };
    std::chrono::milliseconds loadLag { 0 };
    PrefixCacheOptions cache;
    bool checksFencing { false };
};

struct EngineFaults {
    CommonFaults common;
    bool refuse { false };
    bool leaving { false };
    bool duplicateChunks { false };
    bool reorderChunks { false }; /**< Of each four chunks the second and third change places. */
    bool badTokenIndex { false }; /**< Chunks carry a text for the number of their token. */
    int rejectStatus { 0 }; /**< Answer to every request, which is not run; 0 for none. */
    bool keepOrders { false }; /**< Orders wait until they are released. */
    double slowFactor { 1 };
    std::optional<uint64_t> breakAfterTokens;
    std::optional<uint64_t> silentAfterTokens;
    std::set<std::string> unreachableFor; /**< Entry hosts whose calls get no answer, as across a partition. */
};

struct EngineLoad {
    size_t running { 0 };
    size_t queued { 0 };
    size_t cachedTokens { 0 };
    bool leaving { false };
};

/** One admitted request, queued or running. */
struct EngineRun {
    uint64_t number { 0 };
    ChatRequest request;
    Responder responder;
    ChatUsage usage {};
    bool isRunning { false };
    std::string heldChunk {}; /**< To be sent after the next one. */
    bool isStreaming { false }; /**< Whether the head of a streamed answer was sent. */
    uint64_t nextToken { 0 };
    uint64_t emitted { 0 }; /**< Tokens that this run has produced. */
};

/** What happened to the requests with one id. */
struct RunCounters {
    uint64_t started { 0 };
    uint64_t startOrder { 0 }; /**< Of the last start, counted over all runs from 1. */
    uint64_t tokens { 0 };
    uint64_t finished { 0 };
    uint64_t cancelled { 0 };
};

struct EngineTotals {
    RunCounters runs;
    uint64_t promptTokens { 0 };
    uint64_t cachedTokens { 0 };
    uint64_t recomputedTokens { 0 };
    uint64_t refused { 0 };
};

/** The part of an answer whose attention state was imported from another engine. */
struct ImportedCache {
    std::string answer;
    uint64_t tokens { 0 };
};

/** Stand-in for a model engine with continuous batching. Thread safety: the event loop's thread only. */
class Engine {
public:
    Engine(EngineOptions options, EventLoop& loop);

    void handle(const Call& call, const Responder& responder);

private:
    using RunPointer = std::shared_ptr<EngineRun>;

    void serve(const Call& call, const Responder& responder);
    bool isCutOff(const Call& call) const;
    void serveChat(const Call& call, const Responder& responder);
    void serveOrders(const Call& call, const Responder& responder);
    void obey(const nlohmann::json& order, const Responder& responder);
    void serveCancel(const Call& call, const Responder& responder);
    void serveExport(const Call& call, const Responder& responder);
    void serveImport(const Call& call, const Responder& responder);
    void sendCacheEvents(const Call& call, const Responder& responder) const;
    void sendLoad(const Responder& responder);
    void sendRuns(const Responder& responder) const;
    void sendTotals(const Responder& responder) const;

    void startQueued();
    void start(const RunPointer& run);
    uint64_t recomputedTokens(const ChatRequest& request) const;
    void produceToken(uint64_t number);
    bool interruptByFault(EngineRun& run);
    std::string chunksToSend(EngineRun& run) const;
    void emitToken(EngineRun& run);
    void finish(const RunPointer& run);
    void startStream(EngineRun& run) const;
    void cacheAnswer(const ChatRequest& request);
    void cancel(const RunPointer& run);
    void forget(const EngineRun& run);
    void breakAll();
    void unloadModel(const std::string& model);
    std::vector<RunPointer> runsWhere(const std::function<bool(const EngineRun&)>& predicate) const;

    bool setFault(const std::string& name, const nlohmann::json& value);
    void publishLoad();
    Headers answerHeaders(const EngineRun& run) const;
    std::string completionId(const EngineRun& run) const;
    std::chrono::microseconds slowed(std::chrono::microseconds time) const;

    EngineOptions m_options;
    const std::string m_instance;
    EventLoop& m_loop;
    EngineFaults m_faults;
    EngineState m_state;
    std::vector<std::function<void()>> m_keptOrders;
    PrefixCache m_cache;
    LaggedValue<EngineLoad> m_load;
    std::map<uint64_t, RunPointer> m_runs; /**< Queued and running, by number. */
    std::set<std::pair<int64_t, uint64_t>> m_queue; /**< Priority and number. */
    size_t m_running { 0 };
    uint64_t m_lastNumber { 0 };
    std::map<std::string, RunCounters> m_counters; /**< By request id. */
    EngineTotals m_totals;
    std::map<std::string, ImportedCache> m_imported; /**< By handle. */
};

} // namespace siskinspread::standin
