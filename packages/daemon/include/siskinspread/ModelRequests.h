#pragma once

#include "siskinspread/CallerResponse.h"
#include "siskinspread/EventStream.h"
#include "siskinspread/HostContext.h"
#include "siskinspread/RequestRegister.h"
#include "siskinspread/ServicePools.h"
#include "siskinspread/Timers.h"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace siskinspread {

/** Tokens in one block of a prompt's prefix, as routing counts them. */
constexpr uint32_t prefixBlockTokens = 64;

/** A chat-completions request that this host is answering. */
struct ModelRequest {
    RequestId id;
    ExchangeId exchange { 0 };
    std::shared_ptr<ServicePool> pool;
    std::string customer;
    nlohmann::json body; /**< As the caller sent it. */
    bool streamed { false }; /**< The caller wants server-sent events. */
    std::vector<PrefixBlock> blocks;
    uint32_t promptTokens { 0 };
    MonotonicTime deadline {};

    bool admitted { false };
    uint32_t attempts { 0 };
    std::vector<std::string> excluded; /**< Backend servers already tried. */
    std::string backendServer; /**< Of the attempt in progress; empty between attempts. */
    TransferId transfer { 0 };
    int status { 0 };
    bool refusedNotRun { false }; /**< The backend server said that it did not run the request. */
    EventStreamParser parser;
    StreamProgress progress;
    MonotonicTime dispatchedAt {};
    RunState runState { RunState::NotRun }; /**< What ended attempts left known. */

    bool responseStarted { false };
    uint32_t tokensSent { 0 }; /**< Tokens of the answer that have been passed on, over all attempts. */
    uint32_t continuedFrom { 0 }; /**< Tokens that the caller had when this attempt began. */
    uint32_t positionInAttempt { 0 }; /**< Next token of this attempt where the engine gives no index. */
    std::string text; /**< The answer so far, where it is not streamed. */
    std::string finishReason;
    nlohmann::json usage;
};

/**
 * Serves assistant models: admission, choice of the backend server, streaming, retries and continuation on another
 * server. Thread safety: decide thread only.
 */
class ModelRequests {
public:
    ModelRequests(HostContext&, Timers&, ServicePools&, RequestRegister&);

    /** Takes a request of a known customer. Precondition: the host accepts requests. */
    void accept(const IncomingRequest&, const std::string& customer, std::chrono::milliseconds timeLeft);

    /** The caller has closed its connection. */
    void callerClosed(ExchangeId);

    size_t openCount() const { return m_requests.size(); }

private:
    using Requests = std::map<RequestId, std::unique_ptr<ModelRequest>>;

    void admit(ModelRequest&);
    void applyChanges(ServicePool&, const AdmissionChanges&);
    void refuseWaiting(const AdmissionRefusal&);
    void dispatch(ModelRequest&);
    StartTransfer transferFor(const ModelRequest&) const;
    void onEvent(const RequestId&, const ClientEvent&);
    void onHeaders(ModelRequest&, const TransferHeaders&);
    void onData(ModelRequest&, const TransferData&);
    void onChunk(ModelRequest&, const std::string& data);
    void onToken(ModelRequest&, nlohmann::json& chunk);
    void onEnded(ModelRequest&, const TransferEnded&);
    void endAttempt(ModelRequest&, AttemptEnd);
    void closeAttempt(ModelRequest&) const;
    void watchProgress(const RequestId&, uint32_t attempt);
    void complete(ModelRequest&);
    void giveUp(ModelRequest&, const Refusal&);
    void erase(const RequestId&);
    void startResponse(ModelRequest&);
    ModelRequest* find(const RequestId&);

    HostContext& m_context;
    Timers& m_timers;
    ServicePools& m_pools;
    RequestRegister& m_register;
    Requests m_requests;
    std::map<ExchangeId, RequestId> m_byExchange;
};

} // namespace siskinspread
