#include "siskinspread/ReplicaCall.h"

namespace siskinspread {

namespace {

    constexpr size_t maxAnswerBytes = 64U << 10U; // a report lists what runs at a replica
    constexpr std::chrono::milliseconds connectTimeout { 400 };

} // namespace

ReplicaCall::ReplicaCall(asio::io_context& context, NetworkAddress address, Ended ended)
    : m_ended(std::move(ended))
    , m_connection(std::make_shared<ReplicaConnection>(context, std::move(address)))
    , m_timer(context)
{
}

void ReplicaCall::start(std::string bytes, std::chrono::milliseconds timeout)
{
    m_timer.expires_after(timeout);
    m_timer.async_wait([weak = weak_from_this()](const asio::error_code& cancelled) {
        if (auto self = weak.lock(); self && !cancelled) {
            self->end(std::nullopt, { .code = ResultCode::BackendError, .detail = "no answer in time" });
        }
    });
    m_connection->send(std::move(bytes), nullptr, true, std::min(timeout, connectTimeout), shared_from_this());
}

void ReplicaCall::cancel()
{
    m_ended = nullptr;
    m_timer.cancel();
    m_connection->close();
}

bool ReplicaCall::onAnswerHead(AnswerHead&& head)
{
    m_answer.head = std::move(head);
    return true;
}

void ReplicaCall::onAnswerBody(std::string_view bytes)
{
    m_answer.body.append(bytes.substr(0, maxAnswerBytes - std::min(maxAnswerBytes, m_answer.body.size())));
}

void ReplicaCall::onAnswerComplete()
{
    end(std::move(m_answer), {});
}

void ReplicaCall::onAnswerBroken(ReplicaFailure failure)
{
    const bool sent = failure != ReplicaFailure::ConnectFailed && failure != ReplicaFailure::ConnectTimedOut;
    end(std::nullopt, { .code = sent ? ResultCode::BackendStreamBroken : ResultCode::BackendConnectFailed, .detail = std::string { failureName(failure) } });
}

void ReplicaCall::end(std::optional<ReplicaCallAnswer> answer, const LastReason& reason)
{
    auto self = shared_from_this();
    auto ended = std::move(m_ended);
    cancel();
    if (ended) {
        ended(std::move(answer), reason);
    }
}

} // namespace siskinspread
