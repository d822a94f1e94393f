#pragma once

#include "siskinspread/ForwardingSettings.h"
#include "siskinspread/HttpStreamParser.h"
#include "siskinspread/Time.h"

#include <asio.hpp>

#include <array>
#include <memory>
#include <string>
#include <string_view>

namespace siskinspread {

/** Why a request at a replica ended without a whole answer. */
enum class ReplicaFailure : uint8_t {
    ConnectFailed, /**< No byte was sent: the request did not arrive. */
    ConnectTimedOut, /**< As ConnectFailed: nothing answered. */
    Closed, /**< The replica closed the connection; the request may have run. */
    Reset, /**< As Closed, by a reset or an error of the network. */
    Unreadable, /**< What arrived is no answer; the request may have run. */
};

/** @return the name for logs, such as "connect_failed". Thread safety: reentrant. */
std::string_view failureName(ReplicaFailure);

/** Receives the answer to one request. A member may close the connection that calls it. */
class AnswerObserver {
public:
    virtual ~AnswerObserver() = default;
    /** @return false when the head belongs to another request: that answer is skipped. */
    virtual bool onAnswerHead(AnswerHead&&) = 0;
    virtual void onAnswerBody(std::string_view) = 0;
    virtual void onAnswerComplete() = 0;
    virtual void onAnswerBroken(ReplicaFailure) = 0;
};

/**
 * A connection to a replica: one request at a time, sent once. What breaks after bytes were sent is reported as such and
 * never sent again from here.
 * Thread safety: the thread of the context only.
 */
class ReplicaConnection : public std::enable_shared_from_this<ReplicaConnection> {
public:
    ReplicaConnection(asio::io_context&, NetworkAddress);

    /**
     * Sends a request, on a new connection after connecting. Precondition: isIdle or never used.
     * @param body follows `head`; shared, since it may be large and may have to be sent again. Null: none.
     */
    void send(std::string head, std::shared_ptr<const std::string> body, bool expectsBody, std::chrono::milliseconds connectTimeout, std::shared_ptr<AnswerObserver> observer);

    /** Closes the connection at once; no observer is called any more. */
    void close();

    /** Stops and resumes reading, for a caller that reads slowly. */
    void pauseReading() { m_paused = true; }
    void resumeReading();

    bool isOpen() const { return m_open; }
    bool isIdle() const { return m_open && !m_busy; }
    /** @return whether the answer allows another request on the connection. */
    bool isReusable() const { return m_open && !m_busy && m_reusable; }
    MonotonicTime idleSince() const { return m_idleSince; }

private:
    void connect(std::chrono::milliseconds timeout);
    bool isClosedByReplica();
    void writeRequest();
    size_t outBytes() const { return m_out.size() + (m_outBody ? m_outBody->size() : 0); }
    bool isWritten() const { return m_out.empty(); }
    void read();
    void parse(std::string_view bytes);
    /** @return whether so much has arrived without the answer going on that no more is read. */
    bool hasTooManyStrayBytes(size_t consumed);
    void onAnswerEnd();
    bool onHead(AnswerHead&& head);
    void onClosed(const asio::error_code& error);
    void breakOff(ReplicaFailure failure);

    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    NetworkAddress m_address;
    HttpStreamParser m_parser;
    std::array<char, 8192> m_buffer {};
    std::string m_out; /**< Head of the request. */
    std::shared_ptr<const std::string> m_outBody; /**< Null: none. */
    size_t m_written { 0 }; /**< Of both together. */
    std::shared_ptr<AnswerObserver> m_observer; /**< Of the request in progress. */
    MonotonicTime m_idleSince {};
    bool m_open { true };
    bool m_connected { false };
    bool m_busy { false };
    bool m_reading { false };
    bool m_paused { false };
    bool m_expectsBody { true };
    bool m_reusable { true };
    bool m_skipping { false }; /**< The answer that arrives belongs to an earlier request. */
    bool m_progressed { false }; /**< The bytes that are being parsed hold something of the answer that is waited for. */
    size_t m_strayBytes { 0 }; /**< Received since the request was sent or the answer last went on, of no use to it. */
};

} // namespace siskinspread
