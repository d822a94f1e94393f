#pragma once

#include "Scenario.h"

#include "siskinspread/AttemptPlan.h"
#include "siskinspread/NaiveRouting.h"

#include <memory>
#include <optional>
#include <random>

namespace siskinspread::benchmark {

constexpr size_t entryHosts = 7;
constexpr size_t engineCount = 20;
constexpr size_t domainCount = 4;
constexpr std::chrono::seconds traceLength { 90 };

/** One accepted or refused request on its way. */
struct OpenRequest {
    const TraceRequest* trace { nullptr };
    size_t host { 0 };
    uint64_t sequence { 0 };
    std::vector<PrefixBlock> blocks;
    uint32_t promptTokens { 0 };
    MonotonicTime arrival;
    MonotonicTime dispatchedAt;
    MonotonicTime lastTokenAt;
    std::optional<MonotonicTime> firstTokenAt;
    uint32_t tokens { 0 };
    uint32_t lateGaps { 0 };
    uint32_t attempts { 0 };
    uint32_t attemptTokens { 0 };
    size_t server { 0 };
    bool onServer { false };
    std::vector<std::string> tried;
};

struct Host {
    PoolView view;
    AdmissionState admission;
    AdmissionOptions admissionOptions;
    RetryBudget budget;
    RoundRobinState roundRobin;
};

/** One replay of a trace: the entry hosts, the engines and the requests between them. */
class Replay {
public:
    Replay(const Scenario& scenario, const Trace& trace, const Contestant& contestant, uint64_t seed);
    Measurement run();

private:
    /** Differs by seed, so that the placement of prefixes by their hashes does too. */
    std::string serverName(size_t index) const;
    static bool isReclaimed(size_t index);
    void addEngines();
    void startEngine(size_t index);
    /** Prices differ by failure domain, from 0.8 to 1.25 an hour. */
    static double pricePerHour(size_t index);
    void addHosts();
    void onTick();
    void sendReports();
    void deliver(size_t index, const BackendLoadReport& report, const std::vector<CacheChange>& changes);
    void arrive(size_t index);
    AdmissionRequest admissionRequest(const OpenRequest& request) const;
    static std::string customerName(const OpenRequest& request);
    static MonotonicTime deadlineOf(const OpenRequest& request);
    void refuse(const std::optional<AdmissionRefusal>& refusal);
    void count(ResultCode code);
    void apply(const AdmissionChanges& changes);
    std::optional<RouteChoice> choose(Host& host, const RouteRequest& request, LastReason& reason);
    void dispatch(OpenRequest& request, bool importCache = false);
    void submit(OpenRequest& request, uint32_t attempt, bool importCache);
    void onToken(uint64_t id, bool last);
    void noteGap(const OpenRequest& request, BackendServerView& server, MonotonicTime now);
    void leaveServer(OpenRequest& request);
    void finish(OpenRequest& request, ResultCode code);
    void endAttempt(OpenRequest& request, AttemptEnd end, bool cacheExported);
    /** Half of the replicas get notice; the hosts learn of it within a second and the replicas end after the warning. */
    void announceReclaim();
    void learnReclaim(size_t h, MonotonicTime end);
    void planMove(OpenRequest& request, MonotonicTime end);
    void endReclaimed();
    /** Half of the reclaimed come back, cold; the cloud refuses the rest. */
    void addReplacements();
    void stopPaying(size_t index);
    bool isInsideTarget(const OpenRequest& request) const;
    Measurement measure();
    double alivePrice() const;
    double unit();
    Scenario m_scenario;
    const Trace& m_trace;
    Contestant m_contestant;
    uint64_t m_seed;
    std::mt19937_64 m_random;
    EngineOptions m_engineOptions;
    EventQueue m_events;
    ComputedTokens m_computed;
    std::vector<std::unique_ptr<EngineFake>> m_engines;
    std::vector<std::unique_ptr<EngineFake>> m_ended; // their last events may still be queued
    std::vector<MonotonicTime> m_aliveSince;
    std::vector<Host> m_hosts;
    std::vector<OpenRequest> m_requests;
    std::vector<const OpenRequest*> m_answered;
    MonotonicTime m_start;
    double m_cost { 0 };
    Measurement m_measurement;
};

} // namespace siskinspread::benchmark
