// The part of Exchange that carries a run on at another replica.
#include "siskinspread/Exchange.h"

#include "siskinspread/Forwarder.h"

namespace siskinspread {

namespace {

    using std::chrono::milliseconds;

    // Before a replica ends: the order, the copy and the news' own delay fit in, and most streams have ended by themselves until then.
    constexpr milliseconds moveLead { 900 };
    constexpr milliseconds moveTimeout { 800 };
    constexpr milliseconds closingTime { 150 }; // in which a source that has stopped a run closes its stream

} // namespace

bool Exchange::isMovable() const
{
    return m_request.route->streaming && m_request.service->engine && m_request.service->engine->movesMemory;
}

void Exchange::reviewMove(MonotonicTime now)
{
    if (m_move && !m_move->call && now - m_move->answeredAt > closingTime) {
        m_move->sourceEnded = true;
        continueMoved();
        return;
    }
    if (m_phase != Phase::Answering || m_moveTried || m_request.route->resumable || !isMovable()) {
        return;
    }
    auto& source = *m_attempt.replica;
    if (!source.gone && !source.entry.leaving) {
        return;
    }
    if (!source.leavesAt) {
        source.leavesAt = now + source.entry.leavesIn.value_or(m_forwarder.settings().bounds.drainInForce);
    }
    if (now + moveLead < *source.leavesAt) {
        return;
    }
    auto target = m_forwarder.moveTarget(*this);
    if (!target || !m_forwarder.claimRetry(m_request.service->name)) {
        return; // looked at again until the replica ends
    }
    m_moveTried = true;
    m_forwarder.log().info("run moves", { { "attempt", m_request.caller.attemptId }, { "from", source.entry.instance }, { "to", target->entry.instance }, { "leaves_in_ms", std::chrono::duration_cast<milliseconds>(*source.leavesAt - now) }, { "after_event", m_events.lastId().value_or(0) } });
    const MemoryMove move { .attemptId = m_request.caller.attemptId,
        .sourceAddress = source.entry.address,
        .sourcePort = source.entry.port,
        .targetAddress = target->entry.address,
        .targetPort = target->entry.port };
    auto call = std::make_shared<MemoryMoveCall>(m_forwarder.context(), m_forwarder.adapter(), move, [weak = weak_from_this()](std::optional<MemoryMoveAnswer> answer, const LastReason& reason) {
        if (auto self = weak.lock()) {
            self->onMoved(std::move(answer), reason);
        }
    });
    m_move = Move { .call = call, .target = std::move(target) };
    call->start(moveTimeout);
}

void Exchange::onMoved(std::optional<MemoryMoveAnswer> answer, const LastReason& reason)
{
    if (isDone() || !m_move) {
        return;
    }
    m_move->call.reset();
    m_forwarder.log().info("run moved", { { "attempt", m_request.caller.attemptId }, { "copied", answer && answer->copied }, { "stopped", answer.has_value() }, { "why", reason.detail } });
    if (!answer) {
        const bool ended = m_move->sourceEnded;
        m_move.reset();
        if (ended) {
            releaseAttempt(false);
            breakStream("the replica broke off and the run was not moved");
        }
        return;
    }
    m_move->memoryFrom = std::move(answer->memoryFrom);
    m_move->answeredAt = std::chrono::steady_clock::now();
    if (!answer->copied) {
        m_move->target = m_attempt.replica; // it kept the memory, and goes on for as long as it is there
    }
    continueMoved();
}

/** Goes on once the source has closed the stream, so that no event is lost or comes twice. */
void Exchange::continueMoved()
{
    if (!m_move->sourceEnded || m_move->call) {
        return;
    }
    const auto move = std::move(*m_move);
    m_move.reset();
    m_moveTried = move.target == m_attempt.replica; // another target may have to leave as well
    releaseAttempt(false);
    m_events.dropPart();
    m_memoryFrom = move.memoryFrom;
    m_forwarder.metrics().countRepeat(RepeatCause::StreamMoved);
    sendTo(move.target, {});
}

} // namespace siskinspread
