#include "Replay.h"

#include <algorithm>

namespace siskinspread::benchmark {

namespace {

    using namespace std::chrono_literals;
    constexpr size_t slowEngine = 3;
    constexpr double slowFactor = 3.0;
    constexpr auto reclaimWarning = 6s;

} // namespace

bool Replay::isReclaimed(size_t index)
{
    return index % domainCount < domainCount / 2;
}

void Replay::startEngine(size_t index)
{
    EngineOptions options;
    options.slowFactor = m_scenario.slowReplica && index == slowEngine ? slowFactor : 1.0;
    m_engines[index] = std::make_unique<EngineFake>(m_events, options, m_computed, [this](uint64_t id, bool last) { onToken(id, last); });
    m_aliveSince[index] = m_events.now();
}

void Replay::announceReclaim()
{
    const MonotonicTime end = m_events.now() + reclaimWarning;
    for (size_t h = 0; h < entryHosts; ++h) {
        const auto learned = std::chrono::milliseconds(300 + static_cast<int64_t>(unit() * 700));
        m_events.after(learned, [this, h, end] { learnReclaim(h, end); });
    }
    m_events.at(end, [this] { endReclaimed(); });
}

void Replay::learnReclaim(size_t h, MonotonicTime end)
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

void Replay::planMove(OpenRequest& request, MonotonicTime end)
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

void Replay::endReclaimed()
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

void Replay::addReplacements()
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

void Replay::stopPaying(size_t index)
{
    const std::chrono::duration<double, std::ratio<3600>> hours = m_events.now() - m_aliveSince[index];
    m_cost += hours.count() * pricePerHour(index);
}

} // namespace siskinspread::benchmark
