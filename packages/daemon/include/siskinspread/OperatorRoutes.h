#pragma once

#include "siskinspread/AccountLookups.h"
#include "siskinspread/BackendStatusAdapter.h"
#include "siskinspread/DutyView.h"
#include "siskinspread/HostContext.h"
#include "siskinspread/RequestRegister.h"
#include "siskinspread/ServicePools.h"
#include "siskinspread/SystemView.h"

#include <functional>
#include <string>

namespace siskinspread {

/**
 * Answers operators and support engineers on the peer port, which callers do not reach: accounts of any customer, and
 * what this host knows of the system. Thread safety: decide thread only.
 */
class OperatorRoutes {
public:
    struct Parts {
        ServicePools& pools;
        RequestRegister& requests;
        AccountLookups& accounts;
        std::function<std::vector<IncarnationId>(const IdempotencyKey&)> ownersOfKey; /**< Newest first. */
        const SystemView& system;
        const DutyView& duties;
        const BackendStatusAdapter& backendServers;
    };

    OperatorRoutes(HostContext&, Parts);

    /** @return whether the request was one of an operator's. */
    bool handle(const IncomingRequest&);

private:
    void handleAccount(const IncomingRequest&);
    void lookUp(const IncomingRequest&, const AccountQuery&, std::vector<IncarnationId> candidates);
    std::string statusJson(const std::vector<EntryHostView>&, const std::vector<HeldDuty>&) const;
    void send(ExchangeId, int status, const char* contentType, std::string body);

    HostContext& m_context;
    Parts m_parts;
};

} // namespace siskinspread
