#pragma once

#include "siskinspread/CallerResponse.h"
#include "siskinspread/HostContext.h"
#include "siskinspread/OwnerDesk.h"
#include "siskinspread/PeerCalls.h"
#include "siskinspread/RequestRegister.h"
#include "siskinspread/SliceKeeper.h"

#include <map>
#include <string>

namespace siskinspread {

/** Path on the peer port at which an entry host passes a non-repeatable request to the owner of its key. */
constexpr const char* executePath = "/peer/execute";

/**
 * Takes requests that may not be repeated and brings each to the owner of its idempotency key: the desk of this host, or
 * another host. Thread safety: decide thread only.
 */
class KeyedRequests {
public:
    struct Parts {
        RequestRegister& requests;
        OwnerDesk& desk;
        SliceKeeper& slices;
    };

    KeyedRequests(HostContext&, Parts);

    /** Takes a caller's request whose service file says that it may not be repeated. */
    void accept(const IncomingRequest&, const OwnedRequest&);

    /** @return whether the request is one that another entry host passed on; it is then taken. */
    bool handlePeer(const IncomingRequest&);

    /** @return callers' requests that wait for the answer of another host, the owner of their key. */
    size_t relaysInProgress() const { return m_relays.size(); }

    /** Answers the callers of all relays in progress that their requests may have run; the owners go on. */
    void expireRelays();

private:
    void answerCaller(ExchangeId, const AnswerRequest&);
    void relay(ExchangeId, const schema::PeerSettings& owner, const OwnedRequest&);
    void onRelayEnded(ExchangeId, const TransferEnded&);
    void refuse(ExchangeId, const Refusal&);

    struct Relay {
        OwnedRequest request;
        TransferId transfer { 0 };
    };

    HostContext& m_context;
    Parts m_parts;
    std::map<ExchangeId, Relay> m_relays;
};

} // namespace siskinspread
