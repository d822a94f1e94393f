#include "siskinspread/MemoryMoveCall.h"

namespace siskinspread {

namespace {

    constexpr size_t maxAnswerBytes = 4096; // a handle and a number

} // namespace

MemoryMoveCall::MemoryMoveCall(asio::io_context& context, const PlatformAdapter& adapter, MemoryMove move, Ended ended)
    : m_adapter(adapter)
    , m_move(std::move(move))
    , m_ended(std::move(ended))
    , m_connection(std::make_shared<ReplicaConnection>(context, NetworkAddress { m_move.sourceAddress, m_move.sourcePort }))
    , m_timer(context)
{
}

void MemoryMoveCall::start(std::chrono::milliseconds timeout)
{
    std::string bytes;
    m_adapter.encodeMemoryMove(m_move, bytes);
    m_timer.expires_after(timeout);
    m_timer.async_wait([weak = weak_from_this()](const asio::error_code& cancelled) {
        if (auto self = weak.lock(); self && !cancelled) {
            self->end(std::nullopt, { .code = ResultCode::BackendError, .detail = "no answer in time" });
        }
    });
    m_connection->send(std::move(bytes), true, timeout, shared_from_this());
}

void MemoryMoveCall::cancel()
{
    m_ended = nullptr;
    m_timer.cancel();
    m_connection->close();
}

bool MemoryMoveCall::onAnswerHead(AnswerHead&& head)
{
    m_status = head.status;
    return true;
}

void MemoryMoveCall::onAnswerBody(std::string_view bytes)
{
    m_body.append(bytes.substr(0, maxAnswerBytes - std::min(maxAnswerBytes, m_body.size())));
}

void MemoryMoveCall::onAnswerComplete()
{
    LastReason reason;
    auto answer = m_adapter.decodeMemoryMove(m_move, m_status, m_body, reason);
    end(std::move(answer), reason);
}

void MemoryMoveCall::onAnswerBroken(ReplicaFailure)
{
    end(std::nullopt, { .code = ResultCode::BackendStreamBroken, .detail = "the connection broke off" });
}

void MemoryMoveCall::end(std::optional<MemoryMoveAnswer> answer, const LastReason& reason)
{
    auto self = shared_from_this();
    auto ended = std::move(m_ended);
    cancel();
    if (ended) {
        ended(std::move(answer), reason);
    }
}

} // namespace siskinspread
