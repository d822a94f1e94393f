#pragma once

#include "siskinspread/BoundedRing.h"
#include "siskinspread/HttpClient.h"

#include <deque>
#include <functional>
#include <unordered_map>

namespace siskinspread {

/** Receives the events of one transfer on the decide thread; TransferEnded is the last. */
using TransferHandler = std::function<void(const ClientEvent&)>;

/** Starts transfers for the decide thread. The interface at which the mocks of the daemon's outgoing calls stand. */
class TransferStarter {
public:
    virtual ~TransferStarter() = default;

    /**
     * Starts a transfer; its id is chosen here. The handler is never called before start returns.
     * @return the id, for cancel.
     */
    virtual TransferId start(StartTransfer&&, TransferHandler) = 0;

    /** Cancels a transfer; no event of it follows. Unknown ids are ignored. */
    virtual void cancel(TransferId) = 0;
};

/**
 * Joins the decide thread to an HttpClient: commands go out, events come back through a ring to their handlers.
 *
 * Thread safety: start, cancel and dispatchEvents are called on the decide thread only.
 */
class TransferRouter final : public TransferStarter {
public:
    /**
     * @param ringCapacity of the ring of events.
     * @param wakeDecide called on the client's thread after each event.
     * @param userAgent sent with each transfer unless empty.
     * @param onRingFull called on the decide thread when the command ring refuses a transfer, which then ends NothingSent.
     */
    TransferRouter(size_t ringCapacity, std::function<void()> wakeDecide, std::function<void()> onRingFull, std::string userAgent = {});

    void startClient() { m_client.start(); }
    void stopClient() { m_client.stop(); }

    TransferId start(StartTransfer&&, TransferHandler) override;
    void cancel(TransferId) override;

    /** Hands the events that have arrived to their handlers. @return whether there was any. */
    bool dispatchEvents();

private:
    void handle(const ClientEvent&);

    BoundedRing<ClientEvent> m_events;
    HttpClient m_client;
    std::function<void()> m_onRingFull;
    const std::string m_userAgent;
    TransferId m_last { 0 };
    std::unordered_map<TransferId, TransferHandler> m_handlers;
    std::deque<TransferId> m_refused;
    std::deque<ClientCommand> m_waitingCancels;
};

} // namespace siskinspread
