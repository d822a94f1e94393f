// The part of Exchange that passes on the body of an answer.
#include "siskinspread/Exchange.h"

#include "siskinspread/Forwarder.h"

#include <utility>

namespace siskinspread {

namespace {

    constexpr size_t maxUnwrittenBytes = 256U << 10U;
    constexpr size_t maxEventBytes = 256U << 10U; // an event holds a few tokens
    constexpr int firstFailureStatus = 300;

} // namespace

void Exchange::onAnswerBody(std::string_view bytes)
{
    if (isDone()) {
        return;
    }
    if (m_phase == Phase::Answering || m_answer.status < firstFailureStatus) {
        noteBodyBegun();
    }
    if (m_phase != Phase::Answering) {
        m_body.append(bytes);
        if (m_body.size() > maxWholeBytes) {
            onLargeBody();
        }
        return;
    }
    noteDomainBytes(m_forwarder.reachOf(m_attempt.replica->entry.failureDomain), std::chrono::steady_clock::now());
    if (!m_passesEvents) {
        passOn(bytes);
        return;
    }
    passOn(m_events.feed(bytes));
    if (m_events.partBytes() <= maxEventBytes) {
        return;
    }
    if (m_request.route->resumable || isMovable()) {
        breakOffReplica();
    } else {
        passOn(m_events.takePart()); // nothing can go on behind a part, so that no more of it has to be kept back
    }
}

void Exchange::onLargeBody()
{
    if (m_attempt.notExecuted) {
        auto connection = m_attempt.connection;
        connection->close();
        onNotExecuted();
    } else if (m_answer.status >= firstFailureStatus) {
        breakOffReplica();
    } else {
        m_streaming = true;
        beginStream(std::move(m_answer));
        passOn(std::exchange(m_body, {}));
    }
}

void Exchange::breakOffReplica()
{
    auto connection = m_attempt.connection;
    connection->close();
    onAnswerBroken(ReplicaFailure::Unreadable);
}

void Exchange::passOn(std::string_view bytes)
{
    auto& caller = *m_request.received.connection;
    caller.sendBody(bytes);
    if (caller.unwrittenBytes() > maxUnwrittenBytes && m_attempt.connection) {
        m_attempt.connection->pauseReading();
    }
}

void Exchange::deliverWhole()
{
    auto connection = m_request.received.connection;
    auto head = std::move(m_answer);
    const auto body = std::move(m_body);
    const bool headOnly = m_request.received.head.method == "HEAD";
    finish(head.status < 500 ? ResultCode::Ok : ResultCode::BackendError, head.status, "answer of the replica");
    if (!headOnly && head.framing != BodyFraming::None) {
        head.framing = BodyFraming::Length;
        head.length = body.size();
    }
    connection->beginAnswer(head, headOnly);
    connection->sendBody(body);
    connection->endAnswer();
}

} // namespace siskinspread
