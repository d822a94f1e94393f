// The part of Forwarder that places requests and lets them wait.
#include "siskinspread/Forwarder.h"

#include <algorithm>
#include <cmath>

namespace siskinspread {

namespace {

    using std::chrono::milliseconds;

    constexpr size_t maxWaiting = 512; // requests; more could not be served before their deadlines
    // Waiting requests are refused when nothing proves the keys current any more; the store has usually been read by then.
    constexpr milliseconds outOfDateDelay { 500 };
    // Longer than what peers tell is old (0.3 to 0.7 s between 80 hosts), shorter than replicas come and go.
    constexpr double queueMemorySeconds = 1.0;

    /** @return the tokens that no other request shares: at its home replica they are all that has to be read. */
    uint32_t ownTokens(std::span<const PromptPart> prompt)
    {
        return prompt.empty() ? 0 : prompt.back().tokens;
    }

} // namespace

bool Forwarder::isServing(const Replica& replica) const
{
    return !replica.gone && !replica.entry.leaving;
}

std::vector<std::shared_ptr<Replica>> Forwarder::candidatesFor(Exchange& exchange, MonotonicTime now)
{
    std::vector<std::shared_ptr<Replica>> usable;
    std::vector<std::shared_ptr<Replica>> heldOut;
    std::vector<std::shared_ptr<Replica>> doubted;
    const auto& service = exchange.request().service->name;
    const auto& all = m_replicas.ofService(service);
    const auto allowed = m_rollouts.allowed(service, all, exchange.isFirstAttempt(), exchange.canary());
    for (const auto& replica : allowed ? *allowed : all) {
        if (!isServing(*replica) || exchange.wasSentTo(replica->identity) || isPaused(*replica, now) || !m_limits.mayCall(replica->identity)) {
            continue;
        }
        if (m_doubted.contains(replica->entry.failureDomain)) {
            doubted.push_back(replica);
        } else {
            (isUsable(replica->health, now) ? usable : heldOut).push_back(replica);
        }
    }
    if (usable.empty() && heldOut.empty()) {
        return doubted;
    }
    // When most replicas seem bad, it is more likely what lies between that is.
    if (usable.size() < heldOut.size()) {
        usable.insert(usable.end(), heldOut.begin(), heldOut.end());
    }
    return usable;
}

EngineRequest Forwarder::engineRequest(const Exchange& exchange, const Placement& placement, const std::vector<PlacementCandidate>& candidates, MonotonicTime now)
{
    using std::chrono::microseconds;
    const auto& request = exchange.request();
    uint64_t taken = 0;
    uint64_t places = 0;
    for (const auto& candidate : candidates) {
        taken += candidate.load.requests;
        places += candidate.slots;
    }
    return { .queueAhead = placement.queueAhead,
        .ownReading = placement.predictedWait - placement.queueAhead,
        .waited = std::chrono::duration_cast<microseconds>(now - request.received.startedAt),
        .target = std::chrono::duration_cast<microseconds>(request.targetAt - request.received.startedAt),
        .urgency = exchange.urgency(),
        .placesFree = taken * 2 < places };
}

std::vector<PlacementCandidate> Forwarder::placementCandidates(const Exchange& exchange, const std::vector<std::shared_ptr<Replica>>& replicas, MonotonicTime now) const
{
    const auto& request = exchange.request();
    std::vector<PlacementCandidate> candidates;
    candidates.reserve(replicas.size());
    for (const auto& replica : replicas) {
        candidates.push_back({
            .identity = replica->identity,
            .load = { .requests = replica->ownLoad.requests + replica->peerLoad.requests,
                .unreadTokens = replica->ownLoad.unreadTokens + replica->peerLoad.unreadTokens,
                .heldTokens = replica->ownLoad.heldTokens + replica->peerLoad.heldTokens },
            .slots = replica->entry.slots,
            .memoryTokens = request.service->engine ? request.service->engine->memoryTokens : 0,
            .slowness = replica->health.slowness,
            .workFactor = workFactorAt(replica->workFactor, m_workFactorOptions, now),
            .usualUnreadTokens = replica->workFactor.isKnown ? replica->usualUnreadTokens : 0,
            .sameDomain = replica->entry.failureDomain == m_settings.failureDomain,
            .residentTokens = residentTokens(*replica, request.caller.prompt, now),
        });
    }
    return candidates;
}

void Forwarder::preferBySize(const Exchange& exchange, const std::vector<std::shared_ptr<Replica>>& replicas, std::vector<PlacementCandidate>& candidates)
{
    using std::chrono::microseconds;
    const auto& request = exchange.request();
    const auto shortestTarget = m_table->shortestTarget(request.service->name);
    const bool areTold = std::any_of(replicas.begin(), replicas.end(), [](const auto& replica) { return replica->workFactor.isKnown; });
    if (!request.service->engine || shortestTarget.count() == 0 || !areTold) {
        return;
    }
    std::vector<SizeRoutingReplica> members;
    members.reserve(replicas.size());
    for (const auto& replica : replicas) {
        members.push_back({ .identity = replica->identity, .workFactor = replica->workFactor.usual });
    }
    const auto& mix = m_sizeMixes[request.service->name];
    const auto forLong = replicasForLongPrompts(members, mix.longShare, m_sizeOptions);
    if (forLong.empty()) {
        return;
    }
    const bool isLong = isLongPrompt(ownTokens(request.caller.prompt), shortestTarget, m_sizeOptions);
    const auto target = std::chrono::duration_cast<microseconds>(request.targetAt - request.received.startedAt);
    const auto cost = otherSizeCost(target, meanQueue(candidates, m_placement), m_sizeOptions);
    for (size_t index = 0; index < candidates.size(); ++index) {
        candidates[index].forOtherSize = forLong[index] != isLong;
        candidates[index].otherSizeCost = candidates[index].forOtherSize ? cost : microseconds { 0 };
    }
}

void Forwarder::noteSize(const AdmittedRequest& request)
{
    if (request.service->engine && !request.caller.prompt.empty()) {
        const auto tokens = ownTokens(request.caller.prompt);
        noteWork(m_sizeMixes[request.service->name], tokens, isLongPrompt(tokens, m_table->shortestTarget(request.service->name), m_sizeOptions), m_sizeOptions);
    }
}

void Forwarder::smoothQueues(MonotonicTime now)
{
    const double kept = std::exp(-std::chrono::duration<double>(now - m_queuesSmoothedAt).count() / queueMemorySeconds);
    m_queuesSmoothedAt = now;
    for (const auto& [instance, replica] : m_replicas.all()) {
        const auto known = static_cast<double>(replica->ownLoad.unreadTokens + replica->peerLoad.unreadTokens);
        replica->usualUnreadTokens += (known - replica->usualUnreadTokens) * (1.0 - kept);
    }
}

std::shared_ptr<Replica> Forwarder::moveTarget(Exchange& exchange)
{
    const auto now = std::chrono::steady_clock::now();
    const auto replicas = candidatesFor(exchange, now);
    const auto candidates = placementCandidates(exchange, replicas, now);
    // Its prompt has been read: what counts is the room, and how busy the replica is.
    const auto placement = placeRequest({ .outputTokens = static_cast<uint32_t>(exchange.tokens()), .draw = m_random() }, candidates, m_placement);
    return placement ? replicas[placement->index] : nullptr;
}

bool Forwarder::endSuspected(const std::shared_ptr<Exchange>& exchange)
{
    const auto held = m_crashes.heldFor(exchange->request().caller.prompt);
    if (held) {
        exchange->endSuspected(*held);
    }
    return held.has_value();
}

bool Forwarder::dispatch(const std::shared_ptr<Exchange>& exchange)
{
    if (endSuspected(exchange)) {
        return true;
    }
    if (m_sendingEnded) {
        exchange->endForStop();
        return true;
    }
    const auto now = std::chrono::steady_clock::now();
    const auto replicas = candidatesFor(*exchange, now);
    const auto& request = exchange->request();
    auto candidates = placementCandidates(*exchange, replicas, now);
    preferBySize(*exchange, replicas, candidates);
    const PlacementRequest wanted { .prompt = request.caller.prompt, .outputTokens = request.caller.outputTokens.value_or(0), .draw = m_random() };
    auto placement = placeRequest(wanted, candidates, m_placement);
    if (!placement) {
        return false;
    }
    if (request.service->engine && !exchange->isAnswering()) {
        const auto verdict = admitToEngine(engineRequest(*exchange, *placement, candidates, now), m_engineAdmission);
        if (verdict == EngineVerdict::Hold) {
            return false;
        }
        if (verdict == EngineVerdict::Refuse) {
            exchange->refuse(ResultCode::LoadShed, comeBackAfter(*exchange), "the engines' queues are too long for an answer in time");
            return true;
        }
    }
    exchange->sendTo(replicas[placement->index], *placement);
    return true;
}

void Forwarder::enqueue(const std::shared_ptr<Exchange>& exchange)
{
    if (m_waiting.size() >= maxWaiting) {
        exchange->refuse(ResultCode::PoolFull, comeBackAfter(*exchange), "too many requests wait");
        return;
    }
    if (refuseHopeless(exchange, std::chrono::steady_clock::now())) {
        return;
    }
    auto place = std::find_if(m_waiting.begin(), m_waiting.end(), [&](const auto& other) { return other->urgency() > exchange->urgency(); });
    m_waiting.insert(place, exchange);
}

/** @return the waiting requests for the same service that are sent before this one. */
uint64_t Forwarder::waitingAhead(const std::shared_ptr<Exchange>& exchange) const
{
    uint64_t ahead = 0;
    for (const auto& other : m_waiting) {
        if (other == exchange || other->urgency() > exchange->urgency()) {
            break;
        }
        ahead += other->request().service->name == exchange->request().service->name ? 1 : 0;
    }
    return ahead;
}

WaitOutlook Forwarder::outlookFor(const std::shared_ptr<Exchange>& exchange, MonotonicTime now)
{
    using std::chrono::microseconds;
    const auto& request = exchange->request();
    WaitOutlook outlook { .patienceLeft = std::chrono::duration_cast<microseconds>(request.received.startedAt + patienceOf(*exchange) - now) };
    for (const auto& replica : m_replicas.ofService(request.service->name)) {
        if (!isServing(*replica) || exchange->wasSentTo(replica->identity)) {
            continue;
        }
        outlook.replicas += 1;
        const auto pause = isPaused(*replica, now) ? std::chrono::duration_cast<microseconds>(*replica->pausedUntil - now) : microseconds { 0 };
        if (const auto* limit = m_limits.find(replica->identity); limit != nullptr) {
            outlook.limited += 1;
            outlook.limitedCalls += pause < outlook.patienceLeft ? callsWithin(*limit, outlook.patienceLeft, BootClock::now()) : 0;
        } else if (pause.count() == 0) {
            outlook.accepting += 1;
        } else {
            outlook.pauseEndsIn = std::min(outlook.pauseEndsIn.value_or(pause), pause);
        }
    }
    outlook.ahead = outlook.limited > 0 ? waitingAhead(exchange) : 0;
    return outlook;
}

bool Forwarder::refuseHopeless(const std::shared_ptr<Exchange>& exchange, MonotonicTime now)
{
    const auto outlook = outlookFor(exchange, now);
    switch (judgeWait(outlook)) {
    case WaitVerdict::Wait:
        return false;
    case WaitVerdict::NoReplica:
        exchange->refuse(ResultCode::NoBackendServer, comeBackAfter(*exchange), "the service has no replica that could be sent the request");
        return true;
    case WaitVerdict::OverLimit:
        exchange->refuse(ResultCode::PoolFull, comeBackAfter(*exchange), "the replicas take no more requests a second from this host");
        return true;
    case WaitVerdict::AllPaused:
        break;
    }
    const auto back = std::chrono::duration_cast<milliseconds>(*outlook.pauseEndsIn) + spreadOf(*exchange);
    exchange->refuse(ResultCode::PoolFull, back, "all replicas of the service ask for a pause");
    return true;
}

void Forwarder::redispatch(const std::shared_ptr<Exchange>& exchange)
{
    if (dispatch(exchange)) {
        return;
    }
    if (exchange->isAnswering()) {
        exchange->giveUpStream();
    } else {
        enqueue(exchange);
    }
}

void Forwarder::placeFreed()
{
    if (m_waiting.empty() || m_dispatchPosted) {
        return;
    }
    m_dispatchPosted = true;
    asio::post(m_context, [this] {
        m_dispatchPosted = false;
        dispatchWaiting();
    });
}

/** Those who are refused together do not come back together. @return up to 0.8 s. */
milliseconds Forwarder::spreadOf(const Exchange& exchange)
{
    return milliseconds { static_cast<int64_t>(exchange.request().sequence * 7919 % 800) };
}

/** @return how long a request may wait for a place from its arrival: what is left of its target is for the answer. */
milliseconds Forwarder::patienceOf(const Exchange& exchange)
{
    return std::chrono::duration_cast<milliseconds>(exchange.request().targetAt - exchange.request().received.startedAt) / 2;
}

milliseconds Forwarder::comeBackAfter(const Exchange& exchange) const
{
    const auto now = std::chrono::steady_clock::now();
    const auto left = std::chrono::duration_cast<milliseconds>(exchange.request().endsAt - now);
    return std::clamp(milliseconds { 200 } + spreadOf(exchange), milliseconds { 50 }, std::max(milliseconds { 50 }, left / 3));
}

void Forwarder::dispatchWaiting()
{
    const auto now = std::chrono::steady_clock::now();
    auto waiting = m_waiting;
    for (const auto& exchange : waiting) {
        if (!exchange->isWaiting()) {
            continue;
        }
        if (!keysAreCurrent()) {
            m_waiting.remove(exchange);
            exchange->refuse(ResultCode::NoConfiguration, outOfDateDelay, "the configuration may be out of date");
            continue;
        }
        if (dispatch(exchange)) {
            m_waiting.remove(exchange);
            continue;
        }
        if (refuseHopeless(exchange, now)) {
            m_waiting.remove(exchange);
        } else if (now - exchange->request().received.startedAt > patienceOf(*exchange)) {
            m_waiting.remove(exchange);
            exchange->refuse(ResultCode::PoolFull, comeBackAfter(*exchange), "no replica had a free place in time");
        }
    }
}

} // namespace siskinspread
