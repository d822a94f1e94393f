#pragma once

#include "siskinspread/AdmissionDesk.h"
#include "siskinspread/CallerResponse.h"
#include "siskinspread/HostContext.h"
#include "siskinspread/RequestRegister.h"
#include "siskinspread/ServicePools.h"
#include "siskinspread/Timers.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace siskinspread {

/** A call to a plain service that may be repeated. */
struct PlainRequest {
    RequestId id;
    ExchangeId exchange { 0 };
    std::shared_ptr<ServicePool> pool;
    std::string customer;
    std::string method;
    std::string path; /**< Below the service's own prefix, with its query. */
    std::string contentType;
    std::string body;
    MonotonicTime deadline {};
    uint32_t attempts { 0 };
    MonotonicTime dispatchedAt {};
    std::vector<std::string> excluded;
    std::string backendServer; /**< Of the attempt in progress; empty between attempts. */
    TransferId transfer { 0 };
    RunState runState { RunState::NotRun };
};

/**
 * Passes calls that may be repeated on to plain services. An answer is passed back whole or not at all.
 * Thread safety: decide thread only.
 */
class PlainRequests {
public:
    PlainRequests(HostContext&, Timers&, AdmissionDesk&, RequestRegister&);

    /** @param path below the service's own prefix, with its query. */
    void accept(const IncomingRequest&, std::shared_ptr<ServicePool>, std::string path, const std::string& customer, std::chrono::milliseconds timeLeft);

    /** The caller has closed its connection. */
    void callerClosed(ExchangeId);

private:
    PlainRequest* find(const RequestId&);
    void admit(const PlainRequest&);
    void dispatch(PlainRequest&);
    void onEnded(const RequestId&, const TransferEnded&);
    void endAttempt(PlainRequest&, AttemptEnd);
    void closeAttempt(PlainRequest&) const;
    void complete(PlainRequest&, const TransferEnded&);
    void giveUp(PlainRequest&, const Refusal&);
    void erase(const RequestId&);

    HostContext& m_context;
    Timers& m_timers;
    AdmissionDesk& m_admissions;
    RequestRegister& m_register;
    std::map<RequestId, std::unique_ptr<PlainRequest>> m_requests;
    std::map<ExchangeId, RequestId> m_byExchange;
};

} // namespace siskinspread
