#include "Replay.h"

#include <algorithm>

namespace siskinspread::benchmark {

namespace {

    using namespace std::chrono_literals;
    constexpr auto replayLength = 150s;
    constexpr auto tick = 200ms;
    constexpr auto betweenTokensTarget = 45ms;
    constexpr auto reclaimNotice = 30s;
    constexpr auto replacementTime = 55s;
    constexpr double lostCacheEvents = 0.1;

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

} // namespace

Replay::Replay(const Scenario& scenario, const Trace& trace, const Contestant& contestant, uint64_t seed)
    : m_scenario(scenario)
    , m_trace(trace)
    , m_contestant(contestant)
    , m_seed(seed)
    , m_random(seed)
    , m_requests(trace.requests.size())
    , m_start(m_events.now())
{
    m_contestant.routing.weights = scenario.weights;
    m_contestant.routing.instructionTokens = contestant.instructionTokens.value_or(scenario.instructionTokens);
}

Measurement Replay::run()
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

std::string Replay::serverName(size_t index) const
{
    return "replica-" + std::to_string(m_seed) + "-" + std::to_string(index);
}

void Replay::addEngines()
{
    for (size_t i = 0; i < engineCount; ++i) {
        m_engines.push_back(nullptr);
        m_aliveSince.emplace_back();
        startEngine(i);
    }
}

double Replay::pricePerHour(size_t index)
{
    return 0.8 + 0.15 * static_cast<double>(index % domainCount);
}

void Replay::addHosts()
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
            setBackendStatus(host.view.servers[i], BackendStatus::Live, m_events.now() - 10min);
        }
    }
}

void Replay::onTick()
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

void Replay::sendReports()
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

void Replay::deliver(size_t index, const BackendLoadReport& report, const std::vector<CacheChange>& changes)
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

void Replay::arrive(size_t index)
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

AdmissionRequest Replay::admissionRequest(const OpenRequest& request) const
{
    return {
        .sequence = request.sequence,
        .customer = customerName(request),
        .priority = request.trace->priority,
        .work = static_cast<double>(request.promptTokens) / 10 + request.trace->outputTokens,
        .deadline = deadlineOf(request),
    };
}

std::string Replay::customerName(const OpenRequest& request)
{
    return "customer-" + std::to_string(request.trace->customer);
}

MonotonicTime Replay::deadlineOf(const OpenRequest& request)
{
    return request.arrival + request.trace->timeAllowed;
}

void Replay::refuse(const std::optional<AdmissionRefusal>& refusal)
{
    if (refusal) {
        count(refusal->code);
    }
}

void Replay::count(ResultCode code)
{
    ++m_measurement.refusals[std::string(resultInfo(code).name)];
}

void Replay::apply(const AdmissionChanges& changes)
{
    for (const AdmissionRefusal& refusal : changes.refused) {
        count(refusal.code);
    }
    for (const uint64_t sequence : changes.admitted) {
        dispatch(m_requests[sequence]);
    }
}

std::optional<RouteChoice> Replay::choose(Host& host, const RouteRequest& request, LastReason& reason)
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

void Replay::dispatch(OpenRequest& request, bool importCache)
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

void Replay::submit(OpenRequest& request, uint32_t attempt, bool importCache)
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

void Replay::onToken(uint64_t id, bool last)
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

void Replay::noteGap(const OpenRequest& request, BackendServerView& server, MonotonicTime now)
{
    constexpr uint32_t sampleEvery = 16;
    if (request.attemptTokens % sampleEvery == 0) {
        const auto gap = std::chrono::duration_cast<std::chrono::microseconds>(now - request.lastTokenAt);
        recordBetweenTokens(server, m_hosts[request.host].view.options, gap, now);
    }
}

void Replay::leaveServer(OpenRequest& request)
{
    recordFinish(m_hosts[request.host].view.servers[request.server], m_events.now());
    request.onServer = false;
}

void Replay::finish(OpenRequest& request, ResultCode code)
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

void Replay::endAttempt(OpenRequest& request, AttemptEnd end, bool cacheExported)
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

double Replay::unit()
{
    return static_cast<double>(m_random() >> 11) * 0x1p-53;
}

} // namespace siskinspread::benchmark
