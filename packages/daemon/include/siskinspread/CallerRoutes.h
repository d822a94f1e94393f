#pragma once

#include "siskinspread/AccountLookups.h"
#include "siskinspread/CallerResponse.h"
#include "siskinspread/HostContext.h"
#include "siskinspread/KeyedRequests.h"
#include "siskinspread/ModelRequests.h"
#include "siskinspread/PlainRequests.h"
#include "siskinspread/RequestRegister.h"
#include "siskinspread/ServicePools.h"
#include "siskinspread/StreamAttach.h"
#include "siskinspread/Target.h"

#include <functional>
#include <string>
#include <string_view>

namespace siskinspread {

/**
 * Finds out what a caller's request asks for, checks who asks, and passes it on.
 * Thread safety: decide thread only.
 */
class CallerRoutes {
public:
    struct Parts {
        ServicePools& pools;
        RequestRegister& requests;
        ModelRequests& models;
        PlainRequests& plain;
        KeyedRequests& keyed;
        const SliceKeeper& slices;
        AccountLookups& accounts;
        StreamAttach& attach;
        const LogWriter& log;
    };

    CallerRoutes(HostContext&, Parts);

    void handle(const IncomingRequest&);

    /** From here on new requests are refused and readiness says so. */
    void beginDraining() { m_draining = true; }
    bool isDraining() const { return m_draining; }

private:
    bool handleHealth(const IncomingRequest&, const Target&);
    void handleAccount(const IncomingRequest&, const Target&, const std::string& customer);
    void handleWork(const IncomingRequest&, const Target&, const std::string& customer);
    void handlePlain(const IncomingRequest&, const std::string& customer, std::chrono::milliseconds timeLeft);
    bool refuseWork(ExchangeId);
    std::optional<std::chrono::milliseconds> timeLeft(const IncomingRequest&);
    void refuse(ExchangeId, const Refusal&);
    void sendText(ExchangeId, int status, const std::string& body, const char* contentType);

    HostContext& m_context;
    Parts m_parts;
    bool m_draining { false };
};

} // namespace siskinspread
