#include "Scenario.h"

#include "siskinspread/AttemptPlan.h"
#include "siskinspread/NaiveRouting.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <random>

namespace siskinspread::benchmark {

namespace {

    using namespace std::chrono_literals;

    constexpr size_t entryHosts = 7;
    constexpr size_t engineCount = 20;
    constexpr size_t domainCount = 4;
    constexpr size_t customerCount = 5;
    constexpr auto traceLength = 90s;
    constexpr auto replayLength = 150s;
    constexpr auto tick = 200ms;
    constexpr auto firstTokenTarget = 1400ms;
    constexpr auto betweenTokensTarget = 45ms;
    constexpr double allowedLateGaps = 0.05;
    constexpr size_t slowEngine = 3;
    constexpr double slowFactor = 3.0;
    constexpr auto reclaimNotice = 30s;
    constexpr auto reclaimWarning = 6s;
    constexpr auto replacementTime = 55s;
    constexpr double lostCacheEvents = 0.1;

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

    std::vector<PrefixBlock> blocksOf(const std::vector<PromptSegment>& prompt, uint32_t tokensPerBlock)
    {
        std::vector<PrefixBlock> blocks;
        PrefixBlock previous = 0;
        uint32_t filled = 0;
        std::string content;
        for (const PromptSegment& segment : prompt) {
            for (uint32_t used = 0; used < segment.tokens;) {
                const uint32_t part = std::min(segment.tokens - used, tokensPerBlock - filled);
                content += std::to_string(segment.id) + ':' + std::to_string(used) + ' ';
                used += part;
                filled += part;
                if (filled == tokensPerBlock) {
                    previous = extendPrefix(previous, content);
                    blocks.push_back(previous);
                    content.clear();
                    filled = 0;
                }
            }
        }
        return blocks;
    }

    class Replay {
    public:
        Replay(const Scenario& scenario, const Trace& trace, const Contestant& contestant, uint64_t seed)
            : m_scenario(scenario)
            , m_trace(trace)
            , m_contestant(contestant)
            , m_random(seed)
            , m_requests(trace.requests.size())
            , m_start(m_events.now())
        {
            m_contestant.routing.weights = scenario.weights;
            m_contestant.routing.instructionTokens = contestant.instructionTokens.value_or(scenario.instructionTokens);
        }

        Measurement run()
        {
            addEngines();
            addHosts();
            for (size_t i = 0; i < m_trace.requests.size(); ++i) {
                m_events.at(m_start + m_trace.requests[i].arrival, [this, i] { arrive(i); });
            }
            m_events.after(0us, [this] { onTick(); });
            m_events.after(0us, [this] { sendReports(); });
            if (m_scenario.reclaimWave) {
                m_events.at(m_start + reclaimNotice, [this] { announceReclaim(); });
                m_events.at(m_start + replacementTime, [this] { addReplacements(); });
            }
            m_events.run(m_start + replayLength);
            return measure();
        }

    private:
        static std::string serverName(size_t index) { return "replica-" + std::to_string(index); }
        static bool isReclaimed(size_t index) { return index % domainCount < domainCount / 2; }

        void addEngines()
        {
            for (size_t i = 0; i < engineCount; ++i) {
                m_engines.push_back(nullptr);
                m_aliveSince.emplace_back();
                startEngine(i);
            }
        }

        void startEngine(size_t index)
        {
            EngineOptions options;
            options.slowFactor = m_scenario.slowReplica && index == slowEngine ? slowFactor : 1.0;
            m_engines[index] = std::make_unique<EngineFake>(m_events, options, m_computed, [this](uint64_t id, bool last) { onToken(id, last); });
            m_aliveSince[index] = m_events.now();
        }

        /** Prices differ by failure domain, from 0.8 to 1.25 an hour. */
        static double pricePerHour(size_t index) { return 0.8 + 0.15 * static_cast<double>(index % domainCount); }

        void addHosts()
        {
            m_hosts.resize(entryHosts);
            for (size_t h = 0; h < entryHosts; ++h) {
                Host& host = m_hosts[h];
                host.view.entryHosts = entryHosts;
                host.view.options = m_contestant.pool;
                host.view.popularity = m_contestant.popularity;
                host.admissionOptions = m_contestant.admissionOptions;
                for (size_t i = 0; i < engineCount; ++i) {
                    const auto delay = h % domainCount == i % domainCount ? 0us : m_scenario.betweenDomains;
                    upsertBackendServer(host.view, { .name = serverName(i), .failureDomain = std::to_string(i % domainCount), .pricePerHour = pricePerHour(i), .oneWayDelay = delay, .defaultSlots = 16 });
                    // Long live: the pool is warm when the trace begins.
                    setBackendStatus(host.view.servers[i], BackendStatus::Live, m_events.now() - 10min);
                }
            }
        }

        void onTick()
        {
            for (Host& host : m_hosts) {
                refreshPoolView(host.view, m_events.now());
                double slots = 0;
                for (const BackendServerView& server : host.view.servers) {
                    slots += usableSlots(host.view, server, m_events.now());
                }
                host.admissionOptions.poolLimit = admissionLimit(slots, m_contestant.overcommit, entryHosts);
                AdmissionChanges changes;
                reviewWaiting(host.admission, host.admissionOptions, m_events.now(), changes);
                apply(changes);
            }
            m_events.after(tick, [this] { onTick(); });
        }

        void sendReports()
        {
            for (size_t i = 0; i < engineCount; ++i) {
                if (!m_engines[i]) {
                    continue;
                }
                std::vector<CacheChange> changes = m_engines[i]->takeCacheChanges();
                std::erase_if(changes, [this](const CacheChange&) { return unit() < lostCacheEvents; });
                m_events.after(m_scenario.reportDelay, [this, i, report = m_engines[i]->load(), changes = std::move(changes)] { deliver(i, report, changes); });
            }
            m_events.after(m_scenario.reportInterval, [this] { sendReports(); });
        }

        void deliver(size_t index, const BackendLoadReport& report, const std::vector<CacheChange>& changes)
        {
            for (Host& host : m_hosts) {
                BackendServerView& server = host.view.servers[index];
                if (report.sampledAt < server.liveSince) {
                    continue;
                }
                applyLoadReport(server, report);
                for (const CacheChange& change : changes) {
                    if (!m_contestant.cacheEvents) {
                        break;
                    }
                    const auto record = change.stored ? recordCached : recordEvicted;
                    record(host.view.cachedPrefixes, change.block, server.nameHash, report.sampledAt);
                }
            }
        }

        void arrive(size_t index)
        {
            OpenRequest& request = m_requests[index];
            request.trace = &m_trace.requests[index];
            request.host = m_random() % entryHosts;
            request.sequence = index;
            request.blocks = blocksOf(request.trace->prompt, m_engineOptions.tokensPerBlock);
            for (const PromptSegment& segment : request.trace->prompt) {
                request.promptTokens += segment.tokens;
            }
            request.arrival = m_events.now();
            Host& host = m_hosts[request.host];
            if (!m_contestant.admission) {
                dispatch(request);
                return;
            }
            const AdmissionDecision decision = admitRequest(host.admission, host.admissionOptions, admissionRequest(request), m_events.now());
            if (decision.outcome == AdmissionOutcome::Admitted) {
                dispatch(request);
            }
            refuse(decision.refusal);
            refuse(decision.displaced);
        }

        AdmissionRequest admissionRequest(const OpenRequest& request) const
        {
            return {
                .sequence = request.sequence,
                .customer = customerName(request),
                .priority = request.trace->priority,
                .work = static_cast<double>(request.promptTokens) / 10 + request.trace->outputTokens,
                .deadline = deadlineOf(request),
            };
        }

        static std::string customerName(const OpenRequest& request) { return "customer-" + std::to_string(request.trace->customer); }
        static MonotonicTime deadlineOf(const OpenRequest& request) { return request.arrival + request.trace->timeAllowed; }

        void refuse(const std::optional<AdmissionRefusal>& refusal)
        {
            if (refusal) {
                count(refusal->code);
            }
        }

        void count(ResultCode code) { ++m_measurement.refusals[std::string(resultInfo(code).name)]; }

        void apply(const AdmissionChanges& changes)
        {
            for (const AdmissionRefusal& refusal : changes.refused) {
                count(refusal.code);
            }
            for (const uint64_t sequence : changes.admitted) {
                dispatch(m_requests[sequence]);
            }
        }

        std::optional<RouteChoice> choose(Host& host, const RouteRequest& request, LastReason& reason)
        {
            switch (m_contestant.policy) {
            case Policy::RoundRobin:
                return chooseRoundRobin(host.view, request, host.roundRobin, m_events.now(), reason);
            case Policy::LeastReportedLoad:
                return chooseLeastReportedLoad(host.view, request, m_events.now(), reason);
            case Policy::LeastOfTwo:
                return chooseLeastOfTwo(host.view, request, m_events.now(), reason);
            case Policy::PlainPrefixHash:
                return choosePlainPrefixHash(host.view, request, m_contestant.plainKeyBlocks, m_events.now(), reason);
            case Policy::BoundedPrefix:
                break;
            }
            return chooseBackendServer(host.view, request, m_contestant.routing, m_events.now(), reason);
        }

        void dispatch(OpenRequest& request, bool importCache = false)
        {
            Host& host = m_hosts[request.host];
            const RouteRequest route {
                .blocks = request.blocks,
                .tokensPerBlock = m_engineOptions.tokensPerBlock,
                .promptTokens = request.promptTokens + request.tokens,
                .deadline = deadlineOf(request),
                .excluded = request.tried,
                .seed = request.sequence,
            };
            LastReason reason;
            const auto choice = choose(host, route, reason);
            if (!choice) {
                finish(request, reason.code);
                return;
            }
            BackendServerView& server = host.view.servers[choice->index];
            if (request.attempts == 0) {
                recordPrefix(host.view.popularity, request.blocks, admissionRequest(request).work, m_events.now());
            }
            recordDispatch(server, importCache ? 0 : choice->missingTokens, m_events.now());
            for (const PrefixBlock block : m_contestant.ownHints ? request.blocks : std::vector<PrefixBlock> {}) {
                recordCached(host.view.cachedPrefixes, block, server.nameHash, m_events.now());
            }
            request.server = choice->index;
            request.onServer = true;
            request.dispatchedAt = m_events.now();
            request.attemptTokens = 0;
            if (request.attempts++ == 0) {
                depositRetryTokens(host.budget, customerName(request), m_events.now());
            }
            const uint32_t attempt = request.attempts;
            m_events.after(server.description.oneWayDelay, [this, &request, attempt, importCache] { submit(request, attempt, importCache); });
        }

        void submit(OpenRequest& request, uint32_t attempt, bool importCache)
        {
            if (request.attempts != attempt) {
                return;
            }
            if (!m_engines[request.server]) {
                endAttempt(request, AttemptEnd::ConnectFailed, false);
                return;
            }
            m_engines[request.server]->submit({
                .id = request.sequence,
                .priority = request.trace->priority,
                .promptTokens = request.promptTokens + request.tokens,
                .outputTokens = request.trace->outputTokens - request.tokens,
                .cacheImported = importCache,
                .blocks = request.blocks,
                .regeneratedTokens = request.tokens,
            });
        }

        void onToken(uint64_t id, bool last)
        {
            OpenRequest& request = m_requests[id];
            BackendServerView& server = m_hosts[request.host].view.servers[request.server];
            const auto now = m_events.now();
            if (request.attemptTokens++ == 0) {
                recordFirstToken(server, m_hosts[request.host].view.options, std::chrono::duration_cast<std::chrono::microseconds>(now - request.dispatchedAt), now);
            } else {
                noteGap(request, server, now);
            }
            if (!request.firstTokenAt) {
                request.firstTokenAt = now;
            } else if (now - request.lastTokenAt > betweenTokensTarget) {
                ++request.lateGaps;
            }
            ++request.tokens;
            request.lastTokenAt = now;
            if (last) {
                leaveServer(request);
                finish(request, ResultCode::Ok);
            }
        }

        void noteGap(const OpenRequest& request, BackendServerView& server, MonotonicTime now)
        {
            constexpr uint32_t sampleEvery = 16;
            if (request.attemptTokens % sampleEvery == 0) {
                const auto gap = std::chrono::duration_cast<std::chrono::microseconds>(now - request.lastTokenAt);
                recordBetweenTokens(server, m_hosts[request.host].view.options, gap, now);
            }
        }

        void leaveServer(OpenRequest& request)
        {
            recordFinish(m_hosts[request.host].view.servers[request.server], m_events.now());
            request.onServer = false;
        }

        void finish(OpenRequest& request, ResultCode code)
        {
            if (code == ResultCode::Ok) {
                m_answered.push_back(&request);
            } else {
                count(code);
            }
            if (!m_contestant.admission) {
                return;
            }
            Host& host = m_hosts[request.host];
            AdmissionChanges changes;
            finishRequest(host.admission, host.admissionOptions, customerName(request), m_events.now(), changes);
            apply(changes);
        }

        void endAttempt(OpenRequest& request, AttemptEnd end, bool cacheExported)
        {
            leaveServer(request);
            request.tried.push_back(serverName(request.server));
            const EndedAttempt attempt {
                .end = end,
                .customer = customerName(request),
                .repeatable = true,
                .resumable = true,
                .attempts = request.attempts,
                .promptTokens = request.promptTokens,
                .tokensSent = request.tokens,
                .cacheExported = cacheExported,
                .serverRetryAfter = {},
                .deadline = deadlineOf(request),
                .seed = request.sequence,
            };
            const AttemptPlan plan = planAfterAttempt(attempt, {}, m_hosts[request.host].budget, m_events.now());
            if (const auto* answer = std::get_if<FinalAnswer>(&plan)) {
                finish(request, answer->code);
                return;
            }
            ++(end == AttemptEnd::ServerLeaving ? m_measurement.moves : m_measurement.retries);
            const auto* retry = std::get_if<RetryElsewhere>(&plan);
            const auto after = retry != nullptr ? retry->after : std::get<ContinueElsewhere>(plan).after;
            const bool import = retry == nullptr && std::get<ContinueElsewhere>(plan).importCache;
            m_events.after(after, [this, &request, import] { dispatch(request, import); });
        }

        /** Half of the replicas get notice; the hosts learn of it within a second and the replicas end after the warning. */
        void announceReclaim()
        {
            const MonotonicTime end = m_events.now() + reclaimWarning;
            for (size_t h = 0; h < entryHosts; ++h) {
                const auto learned = std::chrono::milliseconds(300 + static_cast<int64_t>(unit() * 700));
                m_events.after(learned, [this, h, end] { learnReclaim(h, end); });
            }
            m_events.at(end, [this] { endReclaimed(); });
        }

        void learnReclaim(size_t h, MonotonicTime end)
        {
            for (size_t i = 0; i < engineCount; ++i) {
                if (isReclaimed(i)) {
                    setBackendStatus(m_hosts[h].view.servers[i], BackendStatus::Leaving, m_events.now());
                }
            }
            for (OpenRequest& request : m_requests) {
                if (request.onServer && request.host == h && isReclaimed(request.server)) {
                    planMove(request, end);
                }
            }
        }

        void planMove(OpenRequest& request, MonotonicTime end)
        {
            const ReclaimedStream stream {
                .movable = true,
                .tokensLeft = m_contestant.routing.expectedOutputTokens - std::min(request.tokens, m_contestant.routing.expectedOutputTokens - 1),
                .tokensHeld = request.promptTokens + request.tokens,
                .seed = request.sequence,
            };
            const auto move = planReclaimMove(stream, end, {}, m_events.now());
            if (!move) {
                return;
            }
            const uint32_t attempt = request.attempts;
            m_events.after(move->after, [this, &request, attempt, move] {
                if (request.onServer && request.attempts == attempt && m_engines[request.server]) {
                    m_engines[request.server]->cancel(request.sequence);
                    endAttempt(request, AttemptEnd::ServerLeaving, move->exportCache && request.attemptTokens > 0);
                }
            });
        }

        void endReclaimed()
        {
            for (size_t i = 0; i < engineCount; ++i) {
                if (!isReclaimed(i)) {
                    continue;
                }
                const std::vector<uint64_t> broken = m_engines[i]->stop();
                stopPaying(i);
                m_ended.push_back(std::move(m_engines[i]));
                for (Host& host : m_hosts) {
                    setBackendStatus(host.view.servers[i], BackendStatus::Gone, m_events.now());
                }
                for (const uint64_t id : broken) {
                    endAttempt(m_requests[id], AttemptEnd::StreamBroken, false);
                }
            }
        }

        /** Half of the reclaimed come back, cold; the cloud refuses the rest. */
        void addReplacements()
        {
            for (size_t i = 0; i < engineCount; ++i) {
                if (i % domainCount != 0) {
                    continue;
                }
                startEngine(i);
                for (Host& host : m_hosts) {
                    host.view.servers[i].report.reset();
                    setBackendStatus(host.view.servers[i], BackendStatus::Live, m_events.now());
                }
            }
        }

        void stopPaying(size_t index)
        {
            const std::chrono::duration<double, std::ratio<3600>> hours = m_events.now() - m_aliveSince[index];
            m_cost += hours.count() * pricePerHour(index);
        }

        bool isInsideTarget(const OpenRequest& request) const
        {
            return *request.firstTokenAt - request.arrival <= firstTokenTarget
                && request.lateGaps <= allowedLateGaps * std::max(1U, request.tokens - 1);
        }

        Measurement measure()
        {
            double inside = 0;
            std::vector<double> offered(customerCount, 0);
            std::vector<double> good(customerCount, 0);
            std::vector<double> firstTokens;
            for (const TraceRequest& request : m_trace.requests) {
                ++offered[request.customer];
            }
            for (const OpenRequest* request : m_answered) {
                const double ok = isInsideTarget(*request) ? 1 : 0;
                inside += ok;
                good[request->trace->customer] += ok;
                firstTokens.push_back(std::chrono::duration<double, std::milli>(*request->firstTokenAt - request->arrival).count());
            }
            // The pool is paid for until the end of the trace, not for the time in which the last answers end.
            m_cost += alivePrice();
            std::sort(firstTokens.begin(), firstTokens.end());
            std::vector<double> shares;
            for (size_t c = 0; c < customerCount; ++c) {
                shares.push_back(good[c] / std::max(1.0, offered[c]));
            }
            m_measurement.offered = m_trace.requests.size();
            m_measurement.insideTarget = inside / static_cast<double>(m_trace.requests.size());
            m_measurement.costPerThousand = m_cost * 1000 / std::max(1.0, inside);
            m_measurement.recomputedPerThousand = 1000.0 * static_cast<double>(m_computed.recomputed) / static_cast<double>(m_computed.prompt + m_computed.output);
            m_measurement.firstTokenP95 = firstTokens.empty() ? 0 : firstTokens[firstTokens.size() * 95 / 100];
            m_measurement.worstCustomer = *std::min_element(shares.begin(), shares.end());
            m_measurement.bestCustomer = *std::max_element(shares.begin(), shares.end());
            return m_measurement;
        }

        double alivePrice() const
        {
            double price = 0;
            for (size_t i = 0; i < engineCount; ++i) {
                if (m_engines[i]) {
                    const std::chrono::duration<double, std::ratio<3600>> hours = m_start + traceLength - m_aliveSince[i];
                    price += hours.count() * pricePerHour(i);
                }
            }
            return price;
        }

        double unit() { return static_cast<double>(m_random() >> 11) * 0x1p-53; }

        Scenario m_scenario;
        const Trace& m_trace;
        Contestant m_contestant;
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

} // namespace

std::vector<Scenario> scenarios()
{
    constexpr RoutingWeights association { .latencyBoundCost = 2, .recomputedTokens = 1 };
    constexpr RoutingWeights zafran { .latencyBoundCost = 1, .recomputedTokens = 2 };
    return {
        { .name = "dawn-rush", .workload = "dawn-rush", .weights = association },
        { .name = "blend-sheets", .workload = "blend-sheets", .weights = zafran, .instructionTokens = 1500, .betweenDomains = 900us },
        { .name = "reclaim-wave", .workload = "steady", .weights = association, .reclaimWave = true },
        { .name = "customer-burst", .workload = "customer-burst", .weights = association },
        { .name = "stale-load", .workload = "steady", .weights = association, .reportInterval = 4s, .reportDelay = 4s },
        { .name = "slow-replica", .workload = "steady", .weights = association, .slowReplica = true },
    };
}

Measurement replay(const Scenario& scenario, const Trace& trace, const Contestant& contestant, uint64_t seed)
{
    return Replay(scenario, trace, contestant, seed).run();
}

} // namespace siskinspread::benchmark
