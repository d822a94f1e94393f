#pragma once

#include "siskinspread/BoundedRing.h"
#include "siskinspread/HostContext.h"

#include <deque>
#include <functional>
#include <variant>

namespace siskinspread {

/** The connection of an unfinished exchange has closed. */
struct ExchangeClosed {
    ExchangeId exchange { 0 };
};

using ServerEvent = std::variant<IncomingRequest, ExchangeClosed>;

/**
 * Joins an HttpServer to the decide thread: events come in through a ring, responses go out through the server's.
 *
 * A request that finds the ring full is answered RingFull on the server's thread. A closing that finds it full waits
 * in a queue bounded by the open exchanges. Thread safety: start, stop, send and next on the decide thread.
 */
class ServerChannel final : public ResponseSink {
public:
    /** Called on the server's thread when the ring is full; returns the response. */
    using RingFullResponse = std::function<RespondWhole(ExchangeId)>;

    /** Called on the server's thread for what never became a request; returns the response. */
    using RefusalResponse = std::function<RespondWhole(ServerRefusal)>;

    ServerChannel(HttpServerOptions, size_t ringCapacity, std::function<void()> wakeDecide, RingFullResponse, RefusalResponse = {});

    std::optional<uint16_t> start(LastReason& reason) { return m_server.start(reason); }
    void stop() { m_server.stop(); }

    void send(ServerCommand&&) override;

    /** Sends what waits for room. Raise once a turn. */
    void flush();

    /** @return whether responses still wait for room. */
    bool hasWaiting() const { return !m_waiting.empty(); }

    /** @return the next event, or null. */
    std::unique_ptr<ServerEvent> next() { return m_events.tryPop(); }

private:
    void onRequest(IncomingRequest&&);
    void onClosed(ExchangeId);
    void pushClosed();

    BoundedRing<ServerEvent> m_events;
    const RingFullResponse m_ringFullResponse;
    std::deque<std::unique_ptr<ServerEvent>> m_closed; /**< Used on the server's thread only. */
    std::deque<ServerCommand> m_waiting;
    HttpServer m_server;
};

} // namespace siskinspread
