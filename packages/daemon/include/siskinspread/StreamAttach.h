#pragma once

#include "siskinspread/AccountLookups.h"
#include "siskinspread/CallerResponse.h"
#include "siskinspread/HostContext.h"
#include "siskinspread/ModelRequests.h"
#include "siskinspread/RequestRegister.h"

#include <map>
#include <string>
#include <string_view>

namespace siskinspread {

/** Path of the callers' port under which a caller goes on with an answer: followed by the request's id. */
constexpr std::string_view streamsPath = "/v1/streams/";

/**
 * Answers callers that go on with an answer: finds the host that holds the request and passes its answer on.
 * Thread safety: decide thread only.
 */
class StreamAttach {
public:
    struct Parts {
        ModelRequests& models;
        RequestRegister& requests;
        AccountLookups& accounts;
    };

    StreamAttach(HostContext&, Parts);

    /** Takes GET /v1/streams/ID of a known customer. `idText` is what follows streamsPath. */
    void accept(const IncomingRequest&, std::string_view idText, const std::string& customer);

    /** The caller has closed its connection. */
    void callerClosed(ExchangeId);

    /** Tells all callers whose answer is passed on here to attach at another host. */
    void endAll();

    size_t openCount() const { return m_relays.size(); }

private:
    /** A caller, and the answer that is passed on to it. */
    struct Relay {
        RequestId request;
        AttachCall call;
        size_t handovers { 0 };
        bool hostAnswered { false };
        TransferId transfer { 0 };
        int status { 0 };
        HttpHeaders headers;
        bool isStream { false };
        std::string waiting; /**< Of a stream: the beginning of an event. Of any other answer: all that has arrived. */
    };

    void askHolder(ExchangeId);
    void askPeer(ExchangeId, Relay&);
    void onEvent(ExchangeId, const ClientEvent&);
    void onHeaders(ExchangeId, Relay&, const TransferHeaders&);
    void onData(ExchangeId, Relay&, const std::string&);
    void onEnded(ExchangeId, Relay&, const TransferEnded&);
    void lookUp(ExchangeId, bool hostAnswered);
    void onAccount(ExchangeId, const AccountAnswer&);
    void endBroken(ExchangeId, const Refusal&);
    void refuse(ExchangeId, const Refusal&);

    HostContext& m_context;
    Parts m_parts;
    std::map<ExchangeId, Relay> m_relays;
};

} // namespace siskinspread
