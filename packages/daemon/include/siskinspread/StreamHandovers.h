#pragma once

#include "siskinspread/HostContext.h"
#include "siskinspread/LogWriter.h"
#include "siskinspread/ModelRequests.h"
#include "siskinspread/PeerDirectory.h"
#include "siskinspread/RequestRegister.h"
#include "siskinspread/Timers.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace siskinspread {

/** Paths on the peer port. */
constexpr const char* handoverPath = "/streams/handover";
constexpr std::string_view attachPath = "/streams/attach/";

/**
 * Hands the model requests that a planned stop would cut off to other hosts, takes those of others, and lets the other
 * hosts attach callers to them. See docs/design/stream-handover.md. Thread safety: decide thread only.
 */
class StreamHandovers {
public:
    struct Parts {
        Timers& timers;
        ModelRequests& models;
        RequestRegister& requests;
        const PeerDirectory& peers;
        const LogWriter& log;
        std::function<bool()> isDraining;
    };

    StreamHandovers(HostContext&, Parts);

    /** Begins to hand over all open model requests, for at most this time. Only the first call has an effect. */
    void begin(std::chrono::milliseconds limit);

    /** @return whether requests are on their way; false after the limit at the latest. */
    bool isBusy() const { return !m_offers.empty(); }

    /** @return whether the request of a peer was one of these, which is then answered. */
    bool handlePeer(const IncomingRequest&);

private:
    /** A request on its way. */
    struct Offer {
        std::vector<std::string> hosts; /**< To be asked, in this order. */
        size_t next { 0 };
        bool repeated { false }; /**< The host before `next` was asked twice. */
        std::optional<RequestId> newId; /**< Given by the host that took it. */
    };

    std::vector<std::string> hosts();
    void sendWaiting();
    void send(const RequestId&);
    void waitForHosts(const RequestId&);
    void offerAgain(const RequestId&, TransferEnd);
    void onAnswer(const RequestId&, const TransferEnded&);
    void taken(const RequestId&, const RequestId& newId);
    void end(const RequestId&);
    void endAll();
    void takeOffer(const IncomingRequest&);
    void attach(const IncomingRequest&);

    HostContext& m_context;
    Parts m_parts;
    bool m_began { false };
    size_t m_inFlight { 0 };
    std::map<RequestId, Offer> m_offers;
    std::deque<RequestId> m_waiting;
};

} // namespace siskinspread
