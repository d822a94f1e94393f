#include "siskinspread/Exchange.h"

#include "siskinspread/Forwarder.h"

namespace siskinspread {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds connectTimeout { 400 };
    // A kept connection whose replica may close it at any moment is not used: the request could be lost on the way.
    constexpr milliseconds idleMargin { 500 };
    constexpr milliseconds idleMarginOnce { 1200 }; // for requests that may not be repeated
    constexpr uint32_t maxNotArrived = 4; // replicas that are tried for one request when none takes the connection
    constexpr uint32_t maxUrgency = 9;

    milliseconds sinceMs(MonotonicTime from, MonotonicTime to)
    {
        return std::chrono::duration_cast<milliseconds>(to - from);
    }

    /** @return whether the body is a stream of events: replicas that name no type on a streaming route send one. */
    bool isEventStream(const AnswerHead& head)
    {
        auto type = findHeader(head.headers, "Content-Type").value_or("text/event-stream");
        type = type.substr(0, type.find(';'));
        type = type.substr(0, type.find_last_not_of(" \t") + 1);
        return equalHeaderNames(type, "text/event-stream"); // media types, too, are compared without regard to case
    }

} // namespace

Exchange::Exchange(Forwarder& forwarder, AdmittedRequest request)
    : m_forwarder(forwarder)
    , m_request(std::move(request))
    , m_timer(forwarder.context())
{
}

void Exchange::start()
{
    m_request.received.connection->watchLeaving([weak = weak_from_this()] {
        if (auto self = weak.lock()) {
            self->onCallerLeft();
        }
    });
    m_timer.expires_at(m_request.endsAt);
    m_timer.async_wait([weak = weak_from_this()](const asio::error_code& cancelled) {
        if (auto self = weak.lock(); self && !cancelled) {
            self->onTimeout();
        }
    });
}

uint32_t Exchange::urgency() const
{
    const auto priority = m_request.customer != nullptr && m_request.customer->priority ? *m_request.customer->priority : m_request.route->priority;
    return std::min(priority, maxUrgency);
}

uint64_t Exchange::tokens() const
{
    return m_request.caller.promptTokens + m_request.caller.outputTokens.value_or(0);
}

void Exchange::sendTo(std::shared_ptr<Replica> replica, const Placement& placement)
{
    const auto now = std::chrono::steady_clock::now();
    const auto& route = *m_request.route;
    if (!std::exchange(m_callCounted, false)) {
        m_forwarder.limits().countCall(replica->identity);
    }
    m_attempt = { .replica = std::move(replica), .sentAt = now, .sentAtBoot = BootClock::now(), .predictedWait = placement.predictedWait, .unreadTokens = placement.unreadTokens, .heldTokens = tokens() };
    auto& chosen = *m_attempt.replica;
    chosen.ownLoad.requests += 1;
    chosen.ownLoad.unreadTokens += m_attempt.unreadTokens;
    chosen.ownLoad.heldTokens += m_attempt.heldTokens;
    m_forwarder.noteUnread(m_request.service->name, m_attempt.unreadTokens);
    m_tried.insert(chosen.identity);
    ++m_attempts;
    m_phase = m_phase == Phase::Answering ? Phase::Answering : Phase::Sent;

    m_attempt.connection = reuseConnection(chosen, now, route.repeatable ? idleMargin : idleMarginOnce);
    if (!m_attempt.connection) {
        m_attempt.connection = std::make_shared<ReplicaConnection>(m_forwarder.context(), NetworkAddress { chosen.entry.address, chosen.entry.port });
        m_attempt.newConnection = true;
        m_forwarder.metrics().countNewConnection();
    }
    const auto& received = m_request.received;
    if (m_attempts == 1) {
        m_forwarder.metrics().observeWaiting(std::chrono::duration_cast<std::chrono::microseconds>(now - received.startedAt));
    }
    ForwardOrder order { .instance = chosen.entry.instance, .timeLeft = sinceMs(now, m_request.endsAt) };
    if (m_request.customer != nullptr) {
        order.customer = m_request.customer->name;
    }
    if (m_request.service->engine) {
        order.urgency = urgency();
    }
    if (m_phase == Phase::Answering) {
        order.continueAfter = m_events.lastId();
    }
    if (!m_memoryFrom.empty()) {
        order.memoryFrom = m_memoryFrom;
    }
    std::string bytes;
    m_forwarder.adapter().encodeRequest(received.head, received.body->size(), order, bytes);
    m_forwarder.log().info("request sent", { { "attempt", m_request.caller.attemptId }, { "replica", chosen.entry.instance }, { "try", m_attempts }, { "waited_ms", sinceMs(received.startedAt, now) }, { "predicted_ms", std::chrono::duration_cast<milliseconds>(placement.predictedWait) }, { "requests_there", chosen.ownLoad.requests + chosen.peerLoad.requests }, { "configuration", m_request.table->configuration().version }, { "new_connection", m_attempt.newConnection } });
    if (const auto tried = m_forwarder.crashes().noteSent(m_request.caller.prompt)) {
        m_forwarder.log().warning("suspected prompt part tried", { { "attempt", m_request.caller.attemptId }, { "part", partName(*tried) } });
    }
    m_attempt.connection->send(std::move(bytes), received.body, received.head.method != "HEAD", connectTimeout, shared_from_this());
}

bool Exchange::onAnswerHead(AnswerHead&& head)
{
    const auto answer = m_forwarder.adapter().decodeAnswer(head);
    noteDomainBytes(m_forwarder.reachOf(m_attempt.replica->entry.failureDomain), std::chrono::steady_clock::now());
    if (answer.attemptId != m_request.caller.attemptId && !(answer.attemptId.empty() && answer.notExecuted)) {
        if (!answer.attemptId.empty()) {
            m_forwarder.log().warning("answer to another request skipped", { { "attempt", m_request.caller.attemptId }, { "answer_to", answer.attemptId }, { "replica", m_attempt.replica->entry.instance } });
            return false;
        }
    }
    m_forwarder.noteAnswer(m_attempt.replica, answer);
    m_attempt.replica->idleTimeout = answer.idleTimeout ? answer.idleTimeout : m_attempt.replica->idleTimeout;
    // On a kept connection a refusal that names no request may be one of an earlier request, written once more.
    const bool foreign = answer.attemptId.empty() && !(answer.notExecuted && m_attempt.newConnection);
    m_attempt.notExecuted = answer.notExecuted && !foreign;
    m_attempt.otherInstance = answer.otherInstance;
    m_attempt.endsWithConnection = head.framing == BodyFraming::UntilClose;
    if (foreign || (!answer.sealed && head.status < 300)) {
        breakOffReplica();
        return true;
    }
    if (answer.sealed) {
        m_forwarder.crashes().noteAlive(m_attempt.replica->identity, m_attempt.sentAtBoot);
    }
    if (!answer.namesLimit && answer.sealed) {
        m_forwarder.noteUnlimited(*m_attempt.replica, m_attempt.sentAtBoot);
    }
    if (!answer.notExecuted) {
        noteFirstByte();
    }
    if (m_phase == Phase::Answering) {
        if (head.status != 200 || !isEventStream(head)) {
            auto connection = m_attempt.connection;
            connection->close();
            releaseAttempt(false);
            breakStream("the replica that was to continue the stream refused");
        }
        return true;
    }
    m_body.clear();
    m_streaming = !answer.notExecuted && head.status < 300 && (m_request.route->streaming || (head.framing == BodyFraming::Length && head.length > maxWholeBytes));
    if (m_streaming) {
        beginStream(std::move(head));
    } else {
        m_answer = std::move(head);
    }
    return true;
}

void Exchange::noteFirstByte()
{
    if (m_attempt.firstByteAt) {
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    m_attempt.firstByteAt = now;
    m_forwarder.rollouts().noteAnswer(*m_attempt.replica, m_request.route->name, std::chrono::duration_cast<std::chrono::microseconds>(now - m_attempt.sentAt));
    m_run = RunState::Ran;
    auto& replica = *m_attempt.replica;
    replica.ownLoad.unreadTokens -= std::min<uint64_t>(replica.ownLoad.unreadTokens, m_attempt.unreadTokens);
    if (m_request.service->engine) {
        noteResident(replica, m_request.caller.prompt, now);
        siskinspread::noteFirstByte(replica.health, m_forwarder.healthOptions(), std::chrono::duration_cast<std::chrono::microseconds>(now - m_attempt.sentAt), m_attempt.predictedWait);
    }
    if (!m_usageCounted) {
        m_usageCounted = true;
        m_forwarder.countRun(m_request);
    }
    if (!m_firstByteAt) {
        m_firstByteAt = now;
        m_forwarder.metrics().observeFirstByte(std::chrono::duration_cast<std::chrono::microseconds>(now - m_request.received.startedAt));
    }
}

void Exchange::beginStream(AnswerHead&& head)
{
    m_phase = Phase::Answering;
    m_passesEvents = m_request.route->streaming && isEventStream(head);
    auto& caller = *m_request.received.connection;
    caller.notifyDrained([weak = weak_from_this()] {
        if (auto self = weak.lock(); self && self->m_attempt.connection) {
            self->m_attempt.connection->resumeReading();
        }
    });
    const bool headOnly = m_request.received.head.method == "HEAD";
    if (m_passesEvents && !headOnly && head.framing == BodyFraming::Length) {
        head.framing = BodyFraming::Chunked; // the stream may go on at another replica, or end before its length
    }
    caller.beginAnswer(head, headOnly);
}

void Exchange::onAnswerComplete()
{
    if (isDone()) {
        return;
    }
    if (m_attempt.notExecuted) {
        onNotExecuted();
        return;
    }
    if (m_phase == Phase::Answering) {
        onStreamEnded();
        return;
    }
    auto& health = m_attempt.replica->health;
    if (m_answer.status >= 500) {
        m_forwarder.rollouts().noteFailure(*m_attempt.replica, m_request.route->name, true, false);
        noteFailure(health, m_forwarder.healthOptions(), std::chrono::steady_clock::now());
        if (mayRepeat()) {
            releaseAttempt(true);
            tryAgain(ResultCode::BackendError, "the replica answered with an error");
            return;
        }
    } else {
        noteAnswerWhole(std::chrono::steady_clock::now());
    }
    releaseAttempt(true);
    deliverWhole();
}

/** The close of a connection that ends a stream is also how a replica ends a run that it was ordered to stop. */
void Exchange::onStreamEnded()
{
    if (m_events.hasPart()) {
        onAnswerBroken(m_attempt.endsWithConnection ? ReplicaFailure::Closed : ReplicaFailure::Unreadable);
    } else if (dependsOnOrders(m_move)) {
        endMovingAnswer(m_attempt.endsWithConnection ? AnswerEnd::Closed : AnswerEnd::Marked);
    } else {
        completeStream();
    }
}

void Exchange::completeStream()
{
    noteAnswerWhole(m_move.answerEnd ? m_move.answerEndedAt : std::chrono::steady_clock::now());
    releaseAttempt(true);
    auto connection = m_request.received.connection;
    finish(ResultCode::Ok, 200, "stream complete");
    connection->endAnswer();
}

void Exchange::noteAnswerWhole(MonotonicTime endedAt)
{
    auto& replica = *m_attempt.replica;
    m_forwarder.rollouts().noteEnd(replica, m_request.route->name, std::chrono::duration_cast<std::chrono::microseconds>(endedAt - m_attempt.sentAt));
    noteSuccess(replica.health, m_forwarder.healthOptions());
}

void Exchange::onNotExecuted()
{
    auto& replica = *m_attempt.replica;
    if (m_attempt.otherInstance) {
        // The replica is gone and its address belongs to another one.
        noteFailure(replica.health, m_forwarder.healthOptions(), std::chrono::steady_clock::now());
    }
    releaseAttempt(true);
    if (m_phase == Phase::Answering) {
        breakStream("the replica that was to continue the stream refused");
        return;
    }
    if (m_attempts < m_request.route->maxAttempts && m_forwarder.claimRetry(m_request.service->name)) {
        m_forwarder.metrics().countRepeat(RepeatCause::NotExecuted);
        tryAgain(ResultCode::BackendRejected, "the replica did not run the request");
        return;
    }
    refuse(ResultCode::BackendRejected, milliseconds { 200 }, "the replica did not run the request");
}

bool Exchange::mayRepeat() const
{
    const auto& route = *m_request.route;
    // Once a part of an answer has been passed on, only a stream of events can go on where it broke off: any other answer would
    // consist of the bytes of two replicas.
    const bool allowed = m_phase == Phase::Answering ? m_passesEvents && route.resumable : route.repeatable || route.resumable;
    return allowed && m_attempts < route.maxAttempts && std::chrono::steady_clock::now() < m_request.endsAt && m_forwarder.claimRetry(m_request.service->name);
}

void Exchange::onAnswerBroken(ReplicaFailure failure)
{
    if (isDone()) {
        return;
    }
    const bool arrived = failure != ReplicaFailure::ConnectFailed && failure != ReplicaFailure::ConnectTimedOut;
    if (arrived && dependsOnOrders(m_move)) {
        endMovingAnswer(AnswerEnd::Broken);
        return;
    }
    noteFailure(m_attempt.replica->health, m_forwarder.healthOptions(), std::chrono::steady_clock::now());
    const auto now = std::chrono::steady_clock::now();
    m_forwarder.log().warning("replica broke off", { { "attempt", m_request.caller.attemptId }, { "replica", m_attempt.replica->entry.instance }, { "how", failureName(failure) }, { "after_ms", sinceMs(m_attempt.sentAt, now) }, { "answered_for_ms", m_attempt.firstByteAt ? sinceMs(*m_attempt.firstByteAt, now) : milliseconds { -1 } }, { "prompt_parts", partNames(sharedParts(m_request.caller.prompt)) }, { "new_connection", m_attempt.newConnection } });
    if (failure == ReplicaFailure::ConnectTimedOut) {
        noteDomainTimeout(m_forwarder.reachOf(m_attempt.replica->entry.failureDomain), std::chrono::steady_clock::now());
    }
    if (arrived) {
        m_forwarder.rollouts().noteFailure(*m_attempt.replica, m_request.route->name, m_attempt.firstByteAt.has_value(), true);
        m_run = m_run == RunState::Ran ? RunState::Ran : RunState::MayHaveRun;
        if (!m_usageCounted) {
            m_usageCounted = true;
            m_forwarder.countRun(m_request);
        }
    }
    noteCut(failure);
    auto identity = m_attempt.replica->identity;
    const bool stale = !m_attempt.newConnection;
    releaseAttempt(false);
    if (!m_memoryFrom.empty()) {
        breakStream("the replica that was to carry the run on broke off");
        return;
    }
    if (!arrived) {
        --m_attempts;
        if (stale) {
            m_tried.erase(identity); // only the kept connection was bad
        }
        if (m_tried.size() < maxNotArrived) {
            m_forwarder.metrics().countRepeat(RepeatCause::NotArrived);
            tryAgain(ResultCode::BackendConnectFailed, "the replica took no connection");
            return;
        }
        if (m_phase != Phase::Answering && m_run == RunState::NotRun) {
            refuse(ResultCode::BackendConnectFailed, milliseconds { 300 }, "no replica took a connection");
            return;
        }
    } else if (mayRepeat()) {
        m_forwarder.metrics().countRepeat(m_phase == Phase::Answering ? RepeatCause::StreamContinued : RepeatCause::Failed);
        m_events.dropPart();
        tryAgain(ResultCode::BackendStreamBroken, "the replica broke off");
        return;
    }
    if (m_phase == Phase::Answering) {
        breakStream("the replica broke off and the stream cannot be continued");
        return;
    }
    fail(502, ResultCode::BackendStreamBroken, "the replica broke off and the request may have run");
}

void Exchange::tryAgain(ResultCode cause, std::string_view why)
{
    m_forwarder.log().info("request sent again", { { "attempt", m_request.caller.attemptId }, { "try", m_attempts }, { "result", resultInfo(cause).name }, { "why", why } });
    if (m_phase != Phase::Answering) {
        m_phase = Phase::Waiting;
    }
    m_forwarder.redispatch(shared_from_this());
}

void Exchange::releaseAttempt(bool keep)
{
    if (!m_attempt.replica) {
        return;
    }
    forgetMove();
    auto& load = m_attempt.replica->ownLoad;
    load.requests -= std::min<uint32_t>(load.requests, 1);
    load.heldTokens -= std::min<uint64_t>(load.heldTokens, m_attempt.heldTokens);
    if (!m_attempt.firstByteAt) {
        load.unreadTokens -= std::min<uint64_t>(load.unreadTokens, m_attempt.unreadTokens);
    }
    if (m_attempt.connection) {
        if (keep) {
            keepConnection(*m_attempt.replica, std::move(m_attempt.connection));
        } else {
            m_attempt.connection->close();
        }
    }
    m_attempt = {};
    m_forwarder.placeFreed();
}

} // namespace siskinspread
