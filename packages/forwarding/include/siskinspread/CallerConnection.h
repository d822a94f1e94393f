#pragma once

#include "siskinspread/ConnectionShedding.h"
#include "siskinspread/HttpStreamParser.h"
#include "siskinspread/MemoryBudget.h"
#include "siskinspread/RoutingConfiguration.h"
#include "siskinspread/Time.h"

#include <asio.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace siskinspread {

class CallerConnection;

/** A request that has arrived whole. */
struct ReceivedRequest {
    std::shared_ptr<CallerConnection> connection;
    RequestHead head;
    std::shared_ptr<const std::string> body; /**< Shared with the connections that send it; never null. */
    HeldBytes memory; /**< Of the body. */
    MonotonicTime startedAt; /**< Arrival of its first byte. */
};

/** What callers' connections need from their owner. */
struct CallerConnectionHooks {
    std::function<void(ReceivedRequest&&)> onRequest;
    std::function<CallerLimits()> limits;
    std::function<bool()> closing; /**< Answers tell the caller to close the connection. */
    std::function<void(int status, std::string_view why)> onRefusal; /**< Bytes that are no request were refused. */
    std::shared_ptr<MemoryBudget> memory {}; /**< Null: no limit. */
    std::function<void()> onMemoryWanted {}; /**< The budget is exhausted, or a large body waits for a reservation. */
};

/**
 * A connection of a caller: one request at a time, answered before the next is looked at. Reads on while a request is in
 * progress, so that a caller that leaves is noticed.
 * Thread safety: the thread of the socket's context only.
 */
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
    CallerConnection(asio::ip::tcp::socket, std::shared_ptr<const CallerConnectionHooks>);

    void start(MonotonicTime now);

    /** Called once when the connection ends while a request is in progress; cleared when its answer ends. */
    void watchLeaving(std::function<void()> onLeft) { m_onLeft = std::move(onLeft); }

    /** Sends a whole answer. Precondition: a request is in progress and no answer has begun. */
    void respond(int status, std::string_view phrase, const HttpHeaders& headers, std::string_view body, bool close = false);

    /**
     * Begins an answer that is passed on; a body without a length is sent in chunks, or ends with the connection where the caller
     * speaks HTTP/1.0. Precondition: as respond.
     */
    void beginAnswer(const AnswerHead&, bool headOnly);
    void sendBody(std::string_view bytes);
    /** Ends an answer that is complete. */
    void endAnswer();
    /** Closes the connection so that an answer that has begun is seen to be incomplete. */
    void abort();

    /** Closes the connection if no request is in progress. */
    void closeIfIdle();

    /** Ends connections that have been silent for too long. To be called every quarter of a second or so. */
    void checkTimes(MonotonicTime now);

    /** What is to be known before a connection is closed for others. */
    SheddingCandidate sheddingCandidate() const;
    /** Refuses what the caller sends, or closes the connection where nothing can be answered. */
    void shed();
    /** Reserves memory for a large body that waits for it and reads on. @return whether it waits no more. */
    bool tryReserve();
    /** @return address and port of the caller, for logs. */
    std::string callerAddress() const;

    bool isOpen() const { return m_open; }
    bool hasRequest() const { return m_busy; }
    size_t unwrittenBytes() const { return m_out.size(); }
    /** Called when what was unwritten has been taken; used to resume reading from a replica. */
    void notifyDrained(std::function<void()> onDrained) { m_onDrained = std::move(onDrained); }

private:
    void read();
    void onRead(size_t size);
    void parsePending();
    void onRequestComplete();
    void refuse(int status, std::string_view phrase, std::string_view why);
    void write(std::string_view bytes);
    void continueWrite();
    void finishAnswer();
    void lingerClose();
    void close();
    /** @return whether the body may be read on. */
    bool admitBody();
    void accountForMemory();
    void refuseForMemory();

    asio::ip::tcp::socket m_socket;
    std::shared_ptr<const CallerConnectionHooks> m_hooks;
    HttpStreamParser m_parser;
    std::array<char, 8192> m_buffer {};
    std::string m_pending; /**< Received and not yet parsed: what follows a request in progress. */
    std::string m_out;
    RequestHead m_head;
    std::string m_body;
    HeldBytes m_memory;
    CallerLimits m_limits;
    std::function<void()> m_onLeft;
    std::function<void()> m_onDrained;
    MonotonicTime m_lastActivity {};
    MonotonicTime m_requestStart {};
    bool m_open { true };
    bool m_reading { false };
    bool m_busy { false };
    bool m_headSeen { false };
    bool m_bodyTooLarge { false };
    bool m_chunked { false };
    bool m_readsChunks { true }; /**< Of the request in progress. */
    bool m_closeAfter { false };
    bool m_lingering { false };
    bool m_writing { false };
    bool m_hadRequest { false };
    bool m_waitsForMemory { false };
    MonotonicTime m_waitsSince {};
    MonotonicTime m_lingersSince {};
};

} // namespace siskinspread
