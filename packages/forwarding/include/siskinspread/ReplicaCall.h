#pragma once

#include "siskinspread/LastReason.h"
#include "siskinspread/ReplicaConnection.h"

#include <asio.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace siskinspread {

/** A whole answer of a replica to a call of this host's own. */
struct ReplicaCallAnswer {
    AnswerHead head;
    std::string body;
};

/**
 * A call of this host's own to a replica, not on behalf of a caller. Sent once, on a connection of its own.
 * Thread safety: loop thread only.
 */
class ReplicaCall final : public AnswerObserver, public std::enable_shared_from_this<ReplicaCall> {
public:
    /**
     * @param answer nothing, with a reason, when none came whole. Called once, not from start().
     * @param reason BackendConnectFailed (the call was not sent), BackendStreamBroken or BackendError (it may have had its effect).
     */
    using Ended = std::function<void(std::optional<ReplicaCallAnswer> answer, const LastReason& reason)>;
    ReplicaCall(asio::io_context&, NetworkAddress, Ended);

    /** @param bytes the request. */
    void start(std::string bytes, std::chrono::milliseconds timeout);
    /** Forgets the call; `ended` is not called any more. */
    void cancel();

    bool onAnswerHead(AnswerHead&&) override;
    void onAnswerBody(std::string_view) override;
    void onAnswerComplete() override;
    void onAnswerBroken(ReplicaFailure) override;

private:
    void end(std::optional<ReplicaCallAnswer>, const LastReason&);

    Ended m_ended;
    std::shared_ptr<ReplicaConnection> m_connection;
    asio::steady_timer m_timer;
    ReplicaCallAnswer m_answer;
};

} // namespace siskinspread
