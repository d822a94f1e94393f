// The part of Exchange that carries a run on at another replica.
#include "siskinspread/Exchange.h"

#include "siskinspread/Forwarder.h"

#include <algorithm>

namespace siskinspread {

namespace {

    using std::chrono::milliseconds;

    // Before a replica ends: an order and its copy (tens of milliseconds), and a report that is some hundred milliseconds old, fit in.
    constexpr milliseconds moveLead { 900 };
    constexpr milliseconds tryAgainAfter { 200 }; // a run that had not begun yet, or found no room
    // A further order while one is open: replicas carry out many at once only slowly, and each draws on the retry budget.
    constexpr milliseconds orderAgainAfter { 2000 };
    constexpr milliseconds answerPatience { 150 }; // for a replica that is asked when it ends
    constexpr RunMoveOptions moveOptions {};

    StopOrderEnd endOf(const std::optional<MemoryMoveAnswer>& answer, const LastReason& reason)
    {
        if (answer) {
            return StopOrderEnd::Stopped;
        }
        const bool notCarriedOut = reason.code == ResultCode::BackendRejected || reason.code == ResultCode::BackendConnectFailed;
        return notCarriedOut ? StopOrderEnd::Refused : StopOrderEnd::Unknown;
    }

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
    if (m_move.stoppedAt || m_move.answerEnd) {
        stepMove();
        return;
    }
    const bool isRunning = m_phase == Phase::Sent || (m_phase == Phase::Answering && m_passesEvents);
    const bool tried = m_moveTriedAt && now - *m_moveTriedAt < (m_stopOrders.empty() ? tryAgainAfter : orderAgainAfter);
    if (!isRunning || tried || isPaused(*m_attempt.replica, now) || m_request.route->resumable || !isMovable() || !mustMove(now)) {
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
    const auto number = ++m_stopOrdersSent;
    auto call = std::make_shared<ReplicaCall>(m_forwarder.context(), NetworkAddress { source.address, source.port }, [weak = weak_from_this(), move, number](std::optional<ReplicaCallAnswer> answer, const LastReason& broken) {
        if (auto self = weak.lock()) {
            LastReason reason = broken;
            if (answer && self->m_attempt.replica) {
                self->m_forwarder.noteAnswer(self->m_attempt.replica, self->m_forwarder.adapter().decodeAnswer(answer->head));
            }
            self->onStopOrderEnded(number, answer ? self->m_forwarder.adapter().decodeMemoryMove(move, answer->head.status, answer->body, reason) : std::nullopt, reason);
        }
    });
    noteOrderSent(m_move);
    m_stopOrders.push_back({ .number = number, .call = call, .target = std::move(target), .sentAt = now });
    std::string bytes;
    m_forwarder.adapter().encodeMemoryMove(move, bytes);
    // An answer is of use for as long as the request lasts: only it tells whether the close of the stream is its end.
    call->start(std::move(bytes), std::max(milliseconds { 1 }, std::chrono::duration_cast<milliseconds>(m_request.endsAt - now)));
}

void Exchange::onStopOrderEnded(uint64_t number, std::optional<MemoryMoveAnswer> answer, const LastReason& reason)
{
    const auto order = std::find_if(m_stopOrders.begin(), m_stopOrders.end(), [&](const StopOrder& sent) { return sent.number == number; });
    if (isDone() || order == m_stopOrders.end()) {
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    const auto end = endOf(answer, reason);
    m_forwarder.metrics().countStopOrder(stopOrderEndName(end));
    m_forwarder.log().info("run moved", { { "attempt", m_request.caller.attemptId }, { "copied", answer && answer->copied }, { "stopped", answer.has_value() }, { "order", stopOrderEndName(end) }, { "after_ms", std::chrono::duration_cast<milliseconds>(now - order->sentAt) }, { "stream_ended", m_move.answerEnd.has_value() }, { "why", answer ? "" : reason.detail } });
    noteOrderEnded(m_move, end, now);
    auto target = std::move(order->target);
    m_stopOrders.erase(order);
    if (answer && !m_continuation) {
        // Where nothing was copied, the source has kept the memory, and goes on for as long as it is there.
        m_continuation = Continuation { .replica = answer->copied ? std::move(target) : m_attempt.replica, .memoryFrom = std::move(answer->memoryFrom), .callCounted = answer->copied };
    }
    stepMove();
}

void Exchange::endMovingAnswer(AnswerEnd end)
{
    m_run = m_run == RunState::Ran ? RunState::Ran : RunState::MayHaveRun;
    noteAnswerEnded(m_move, end, std::chrono::steady_clock::now());
    stepMove();
}

void Exchange::stepMove()
{
    switch (nextStep(m_move, moveOptions, std::chrono::steady_clock::now())) {
    case RunMoveStep::Wait:
        break;
    case RunMoveStep::Continue:
        continueMoved();
        break;
    case RunMoveStep::Complete:
        completeStream();
        break;
    case RunMoveStep::Fail:
        endUnmoved(m_move.answerEnd == AnswerEnd::Closed ? "the replica closed the stream and may have stopped the run" : "the replica broke off and the run was not moved");
        break;
    }
}

void Exchange::forgetMove()
{
    for (const auto& order : m_stopOrders) {
        order.call->cancel();
    }
    m_stopOrders.clear();
    m_move = {};
    m_continuation.reset();
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
    const auto& replica = *m_continuation->replica;
    if (m_phase == Phase::Answering && !m_passesEvents) {
        endUnmoved("the run was stopped, and only a stream of events can go on elsewhere");
        return;
    }
    if (isPaused(replica, std::chrono::steady_clock::now())) {
        return; // looked at again by reviewMove
    }
    if (!m_continuation->callCounted && !m_forwarder.limits().mayCall(replica.identity)) {
        if (!m_forwarder.limits().find(replica.identity)->holdsShare) {
            endUnmoved("the replica that keeps the memory of the run takes no more requests from this host");
        }
        return;
    }
    if (m_forwarder.crashes().heldFor(m_request.caller.prompt)) {
        endUnmoved("a part of the prompt is suspected of crashing replicas");
        return;
    }
    const auto continuation = std::move(*m_continuation);
    if (continuation.replica != m_attempt.replica) {
        m_moveTriedAt.reset(); // the target may have to leave as well
    }
    releaseAttempt(false);
    m_events.dropPart();
    m_memoryFrom = continuation.memoryFrom;
    m_callCounted = continuation.callCounted;
    m_forwarder.metrics().countRepeat(RepeatCause::StreamMoved);
    sendTo(continuation.replica, {});
}

} // namespace siskinspread
