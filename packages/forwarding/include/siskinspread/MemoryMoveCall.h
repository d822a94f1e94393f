#pragma once

#include "siskinspread/PlatformAdapter.h"
#include "siskinspread/ReplicaConnection.h"

#include <asio.hpp>

#include <functional>
#include <memory>

namespace siskinspread {

/**
 * One order to a replica to move the memory of a running request. Sent once, on a connection of its own.
 * Thread safety: loop thread only.
 */
class MemoryMoveCall final : public AnswerObserver, public std::enable_shared_from_this<MemoryMoveCall> {
public:
    /** @param ended the answer, or nothing with a reason; called once, not from start(). */
    using Ended = std::function<void(std::optional<MemoryMoveAnswer>, const LastReason&)>;
    MemoryMoveCall(asio::io_context&, const PlatformAdapter&, MemoryMove, Ended);

    void start(std::chrono::milliseconds timeout);
    /** Forgets the call; `ended` is not called any more. */
    void cancel();

    bool onAnswerHead(AnswerHead&&) override;
    void onAnswerBody(std::string_view) override;
    void onAnswerComplete() override;
    void onAnswerBroken(ReplicaFailure) override;

private:
    void end(std::optional<MemoryMoveAnswer>, const LastReason&);

    const PlatformAdapter& m_adapter;
    MemoryMove m_move;
    Ended m_ended;
    std::shared_ptr<ReplicaConnection> m_connection;
    asio::steady_timer m_timer;
    int m_status { 0 };
    std::string m_body;
};

} // namespace siskinspread
