// The part of Exchange that carries a run on at another replica.
#include "siskinspread/Exchange.h"

#include "siskinspread/Forwarder.h"

namespace siskinspread {

namespace {

    using std::chrono::milliseconds;

    // Before a replica ends: an order and its copy (tens of milliseconds), and a report that is some hundred milliseconds old, fit in.
    constexpr milliseconds moveLead { 900 };
    constexpr milliseconds moveTimeout { 800 }; // an answer that comes later finds the replica gone
    constexpr milliseconds tryAgainAfter { 200 }; // a run that had not begun yet, or found no room
    constexpr milliseconds answerPatience { 150 }; // for a replica that is asked when it ends
    constexpr milliseconds closingTime { 150 }; // in which a source that has stopped a run closes its stream

} // namespace

bool Exchange::isMovable() const
{
    return m_request.route->streaming && m_request.caller.isNameable && m_request.service->engine && m_request.service->engine->movesMemory;
}

/** @return whether the replica ends soon. Asks it when that is not known. */
bool Exchange::mustMove(MonotonicTime now)
{
    const auto& source = m_attempt.replica;
    if (!source->gone && !source->entry.leaving && !source->suspectedAt) {
        return false;
    }
    if (!source->leavesAt) {
        m_forwarder.askState(source, now);
    }
    // Without an answer: reclaimed ones may end at once, others stay for the time that their leaving takes to be in force.
    const auto notice = source->entry.reclaimable ? moveLead : m_forwarder.settings().bounds.drainInForce;
    if ((source->gone || source->entry.leaving) && !source->leavesAt && source->stateAskedAt && now - *source->stateAskedAt > answerPatience) {
        source->leavesAt = now + notice;
    }
    return source->leavesAt && now + moveLead >= *source->leavesAt;
}

void Exchange::reviewMove(MonotonicTime now)
{
    if (m_move && !m_move->call && now - m_move->answeredAt > closingTime) {
        m_move->sourceEnded = true;
        continueMoved();
        return;
    }
    const bool isRunning = m_phase == Phase::Answering || m_phase == Phase::Sent;
    const bool tried = m_moveTriedAt && now - *m_moveTriedAt < tryAgainAfter;
    if (!isRunning || m_move || tried || isPaused(*m_attempt.replica, now) || m_request.route->resumable || !isMovable() || !mustMove(now)) {
        return;
    }
    const auto& source = *m_attempt.replica;
    const bool isSuspected = m_forwarder.crashes().heldFor(m_request.caller.prompt).has_value();
    auto target = isSuspected ? nullptr : m_forwarder.moveTarget(*this);
    const bool mayOrder = m_forwarder.limits().mayCall(source.identity);
    if (target && mayOrder && m_forwarder.claimRetry(m_request.service->name)) {
        startMove(std::move(target), now);
        return;
    }
    m_moveTriedAt = now;
    const auto* why = mayOrder ? "the retry budget is used up" : "the limit of its replica";
    if (isSuspected) {
        why = "a part of its prompt is suspected of crashing replicas";
    } else if (!target) {
        why = "no replica has a place";
    }
    m_forwarder.log().info("run not moved", { { "attempt", m_request.caller.attemptId }, { "from", source.entry.instance }, { "why", why } });
}

void Exchange::startMove(std::shared_ptr<Replica> target, MonotonicTime now)
{
    m_moveTriedAt = now;
    m_forwarder.limits().countCall(m_attempt.replica->identity);
    m_forwarder.limits().countCall(target->identity); // the run continues there, whatever others send meanwhile
    const auto& source = m_attempt.replica->entry;
    m_forwarder.log().info("run moves", { { "attempt", m_request.caller.attemptId }, { "from", source.instance }, { "to", target->entry.instance }, { "leaves_in_ms", std::chrono::duration_cast<milliseconds>(*m_attempt.replica->leavesAt - now) }, { "after_event", m_events.lastId().value_or(0) } });
    const MemoryMove move { .attemptId = m_request.caller.attemptId,
        .sourceAddress = source.address,
        .sourcePort = source.port,
        .targetAddress = target->entry.address,
        .targetPort = target->entry.port };
    auto call = std::make_shared<ReplicaCall>(m_forwarder.context(), NetworkAddress { source.address, source.port }, [weak = weak_from_this(), move](std::optional<ReplicaCallAnswer> answer, const LastReason& broken) {
        if (auto self = weak.lock()) {
            LastReason reason = broken;
            if (answer && self->m_attempt.replica) {
                self->m_forwarder.noteAnswer(self->m_attempt.replica, self->m_forwarder.adapter().decodeAnswer(answer->head));
            }
            self->onMoved(answer ? self->m_forwarder.adapter().decodeMemoryMove(move, answer->head.status, answer->body, reason) : std::nullopt, reason);
        }
    });
    m_move = Move { .call = call, .target = std::move(target) };
    std::string bytes;
    m_forwarder.adapter().encodeMemoryMove(move, bytes);
    call->start(std::move(bytes), moveTimeout);
}

void Exchange::onMoved(std::optional<MemoryMoveAnswer> answer, const LastReason& reason)
{
    if (isDone() || !m_move) {
        return;
    }
    m_move->call.reset();
    m_forwarder.log().info("run moved", { { "attempt", m_request.caller.attemptId }, { "copied", answer && answer->copied }, { "stopped", answer.has_value() }, { "why", answer ? "" : reason.detail } });
    if (!answer) {
        const bool ended = m_move->sourceEnded;
        m_move.reset();
        if (ended) {
            endUnmoved("the replica broke off and the run was not moved");
        }
        return;
    }
    m_move->memoryFrom = std::move(answer->memoryFrom);
    m_move->answeredAt = std::chrono::steady_clock::now();
    if (!answer->copied) {
        m_move->target = m_attempt.replica; // it kept the memory, and goes on for as long as it is there
        m_move->callCounted = false;
    }
    continueMoved();
}

void Exchange::endUnmoved(std::string_view why)
{
    releaseAttempt(false);
    if (m_phase == Phase::Answering) {
        breakStream(why);
    } else {
        fail(502, ResultCode::BackendStreamBroken, why);
    }
}

/** Goes on once the source has closed the stream, so that no event is lost or comes twice. */
void Exchange::continueMoved()
{
    const auto& target = *m_move->target;
    if (!m_move->sourceEnded || m_move->call || isPaused(target, std::chrono::steady_clock::now())) {
        return; // looked at again by reviewMove
    }
    if (!m_move->callCounted && !m_forwarder.limits().mayCall(target.identity)) {
        if (!m_forwarder.limits().find(target.identity)->holdsShare) {
            m_move.reset();
            endUnmoved("the replica that keeps the memory of the run takes no more requests from this host");
        }
        return;
    }
    if (m_forwarder.crashes().heldFor(m_request.caller.prompt)) {
        m_move.reset();
        endUnmoved("a part of the prompt is suspected of crashing replicas");
        return;
    }
    const auto move = std::move(*m_move);
    m_move.reset();
    if (move.target != m_attempt.replica) {
        m_moveTriedAt.reset(); // the target may have to leave as well
    }
    releaseAttempt(false);
    m_events.dropPart();
    m_memoryFrom = move.memoryFrom;
    m_callCounted = move.callCounted;
    m_forwarder.metrics().countRepeat(RepeatCause::StreamMoved);
    sendTo(move.target, {});
}

} // namespace siskinspread
