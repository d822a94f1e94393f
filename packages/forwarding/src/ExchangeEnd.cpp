// The part of Exchange that gives the final answer.
#include "siskinspread/Exchange.h"

#include "siskinspread/Forwarder.h"

namespace siskinspread {

namespace {

    using std::chrono::milliseconds;

    milliseconds sinceMs(MonotonicTime from, MonotonicTime to)
    {
        return std::chrono::duration_cast<milliseconds>(to - from);
    }

} // namespace

void Exchange::abandon()
{
    m_phase = Phase::Done;
    m_timer.cancel();
    forgetMove();
    releaseAttempt(false);
}

void Exchange::onCallerLeft()
{
    if (isDone()) {
        return;
    }
    releaseAttempt(false);
    finish(ResultCode::CallerGone, 0, "the caller closed the connection");
}

void Exchange::onTimeout()
{
    if (isDone()) {
        return;
    }
    if (m_phase == Phase::Waiting) {
        refuse(ResultCode::DeadlineExpired, milliseconds { 0 }, "the deadline passed while the request waited");
        return;
    }
    if (m_run == RunState::NotRun) {
        m_run = RunState::MayHaveRun;
    }
    if (m_attempt.replica && !m_attempt.firstByteAt) {
        m_forwarder.rollouts().noteAnswer(*m_attempt.replica, m_request.route->name, std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - m_attempt.sentAt));
    }
    releaseAttempt(false);
    if (m_phase == Phase::Answering) {
        breakStream("the deadline passed");
        return;
    }
    fail(504, ResultCode::DeadlineExpired, "no answer before the deadline; the request may have run");
}

void Exchange::endForStop()
{
    if (isDone()) {
        return;
    }
    if (m_phase == Phase::Waiting) {
        refuse(ResultCode::Draining, drainingDelay, "the host stops");
        return;
    }
    if (m_run == RunState::NotRun) {
        m_run = RunState::MayHaveRun;
    }
    releaseAttempt(false);
    if (m_phase == Phase::Answering) {
        breakStream("the host stops");
        return;
    }
    fail(504, ResultCode::Draining, "the host stops and the replica has not answered; the request may have run");
}

void Exchange::refuse(ResultCode code, milliseconds retryAfter, std::string_view why)
{
    if (m_run != RunState::NotRun) {
        fail(502, code, why); // an earlier attempt may have run: only a failure that promises nothing is true
        return;
    }
    m_forwarder.refund(m_request);
    auto connection = m_request.received.connection;
    finish(code, 503, why);
    HttpHeaders headers;
    if (retryAfter.count() > 0) {
        headers.push_back({ "Retry-After", std::to_string(static_cast<double>(retryAfter.count()) / 1000.0) });
    }
    connection->respond(503, resultInfo(code).name, headers, std::string { why } + "\n");
}

void Exchange::fail(int status, ResultCode code, std::string_view why)
{
    auto connection = m_request.received.connection;
    finish(code, status, why);
    connection->respond(status, resultInfo(code).name, {}, std::string { why } + "\n");
}

void Exchange::breakStream(std::string_view why)
{
    auto connection = m_request.received.connection;
    finish(ResultCode::BackendStreamBroken, 0, why);
    connection->abort();
}

void Exchange::finish(ResultCode code, int status, std::string_view why)
{
    m_phase = Phase::Done;
    m_timer.cancel();
    forgetMove();
    m_request.received.connection->watchLeaving(nullptr);
    const auto now = std::chrono::steady_clock::now();
    m_forwarder.metrics().countAnswer(status, code);
    m_forwarder.metrics().observeWhole(std::chrono::duration_cast<std::chrono::microseconds>(now - m_request.received.startedAt));
    m_forwarder.log().info("request ended", { { "attempt", m_request.caller.attemptId }, { "status", status }, { "result", resultInfo(code).name }, { "run", runStateName(m_run) }, { "why", why }, { "tries", m_attempts }, { "route", m_request.route->name }, { "took_ms", sinceMs(m_request.received.startedAt, now) }, { "first_byte_ms", m_firstByteAt ? sinceMs(m_request.received.startedAt, *m_firstByteAt) : milliseconds { -1 } } });
    m_forwarder.remove(shared_from_this());
}

} // namespace siskinspread
