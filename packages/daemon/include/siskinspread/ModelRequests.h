#pragma once

#include "siskinspread/AdmissionDesk.h"
#include "siskinspread/CallerResponse.h"
#include "siskinspread/EventStream.h"
#include "siskinspread/HandedOverRequest.h"
#include "siskinspread/HostContext.h"
#include "siskinspread/RequestRegister.h"
#include "siskinspread/ServicePools.h"
#include "siskinspread/StreamHandover.h"
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
    ResponseSink* sink { nullptr }; /**< Of the caller that is attached; null while there is none. */
    ExchangeId exchange { 0 }; /**< Within `sink`. */
    std::optional<RequestId> handedOverFrom; /**< Its id at the host that handed it over. */
    size_t handedOverBytes { 0 }; /**< What it counts against the bound on requests taken over. */
    bool handingOver { false }; /**< It is on its way to another host and makes no more attempts. */
    std::shared_ptr<ServicePool> pool;
    std::string customer;
    nlohmann::json body; /**< As the caller sent it. */
    bool streamed { false }; /**< The caller wants server-sent events. */
    std::vector<PrefixBlock> blocks;
    uint32_t promptTokens { 0 };
    MonotonicTime deadline {};

    uint32_t term { 0 }; /**< Grows when the attempts made for one caller are over. */
    uint32_t attempts { 0 };
    uint32_t attemptsBefore { 0 }; /**< Of those, attempts for earlier callers. */
    std::vector<std::string> excluded; /**< Backend servers already tried. */
    std::string backendServer; /**< Of the attempt in progress; empty between attempts. */
    TransferId transfer { 0 };
    int status { 0 };
    bool refusedNotRun { false }; /**< The backend server said that it did not run the request. */
    EventStreamParser parser;
    StreamProgress progress;
    MonotonicTime dispatchedAt {};
    MonotonicTime sampleBegan {}; /**< Time of the token from which the time between tokens is being measured. */
    uint32_t sampleTokens { 0 }; /**< Tokens since then. */
    RunState runState { RunState::NotRun }; /**< What ended attempts left known. */

    bool responseStarted { false };
    uint32_t tokensSent { 0 }; /**< Tokens of the answer that the caller has, over all attempts. */
    uint32_t mostSent { 0 }; /**< The most tokens that any caller of this request was sent. */
    uint32_t continuedFrom { 0 }; /**< Tokens that the caller had when this attempt began. */
    uint32_t positionInAttempt { 0 }; /**< Next token of this attempt where the engine gives no index. */
    std::string text; /**< The answer so far, where it is not streamed. */
    std::string finishReason;
    nlohmann::json usage;
};

/** @return a request without an id, with what its body says; `streamed` and the prompt's blocks. Precondition: isChatRequest. */
std::unique_ptr<ModelRequest> makeModelRequest(nlohmann::json body, std::shared_ptr<ServicePool>);

/** @return what is known of a request that ends while an attempt may be in progress. Thread safety: reentrant. */
RunState runStateNow(const ModelRequest&);

/**
 * Serves assistant models: admission, choice of the backend server, streaming, retries and continuation on another
 * server. Thread safety: decide thread only.
 */
class ModelRequests {
public:
    struct Parts {
        Timers& timers;
        ServicePools& pools;
        AdmissionDesk& admissions;
        RequestRegister& requests;
    };

    ModelRequests(HostContext&, Parts);

    /** Takes a request of a known customer. Precondition: the host accepts requests. */
    void accept(const IncomingRequest&, const std::string& customer, std::chrono::milliseconds timeLeft);

    /** The caller has closed its connection. A request that was handed over waits for another one until its deadline. */
    void callerClosed(const ResponseSink&, ExchangeId);

    /**
     * Takes a request that another host hands over; it waits for its caller to attach. A second offer of the same
     * request gets the same id.
     * @param bytes of the offer; all requests taken over together are bounded by them.
     * @return its id here, or nothing with the reason.
     */
    std::optional<RequestId> takeOver(const HandedOverRequest&, size_t bytes, LastReason&);

    /**
     * Attaches a caller when the decision is AttachAfter; the answer goes on at `sink`. An earlier caller that is
     * attached still is told that a later one goes on.
     */
    AttachDecision attach(const RequestId&, const AttachCall&, ResponseSink& sink, ExchangeId);

    /** Ends all attempts. @return the requests, each of which is then finished by handedOver or handoverFailed. */
    std::vector<RequestId> beginHandover();

    /** @return what another host needs to go on, or nothing when the request has ended meanwhile. */
    std::optional<HandedOverRequest> handoverOf(const RequestId&) const;

    /** Tells the caller to attach with the new id. Precondition: the register knows of the hand-over. */
    void handedOver(const RequestId&, const RequestId& newId);

    /** Tells the caller that no host took the request. */
    void handoverFailed(const RequestId&);

    size_t openCount() const { return m_requests.size(); }

private:
    using Requests = std::map<RequestId, std::unique_ptr<ModelRequest>>;

    void admit(const ModelRequest&);
    void dispatch(ModelRequest&);
    StartTransfer transferFor(const ModelRequest&) const;
    void onEvent(const RequestId&, const ClientEvent&);
    void onHeaders(ModelRequest&, const TransferHeaders&);
    void onData(ModelRequest&, const TransferData&);
    void onChunk(ModelRequest&, const std::string& data);
    void onToken(ModelRequest&, nlohmann::json& chunk);
    void measureToken(ModelRequest&) const;
    void onEnded(ModelRequest&, const TransferEnded&);
    void endAttempt(ModelRequest&, AttemptEnd);
    void closeAttempt(ModelRequest&) const;
    void watchProgress(const RequestId&, uint32_t attempt);
    void complete(ModelRequest&);
    void giveUp(ModelRequest&, const Refusal&);
    void tellCaller(ModelRequest&, const Refusal&);
    void open(std::unique_ptr<ModelRequest>);
    void release(ModelRequest&);
    void park(ModelRequest&);
    void dropCaller(ModelRequest&);
    void erase(const RequestId&);
    void startResponse(ModelRequest&);
    ModelRequest* find(const RequestId&);
    const ModelRequest* find(const RequestId&) const;

    HostContext& m_context;
    Parts m_parts;
    Requests m_requests;
    std::map<RequestId, RequestId> m_takenOver; /**< Ids here by their ids at the hosts that handed them over. */
    size_t m_handedOverBytes { 0 };
    std::map<std::pair<const ResponseSink*, ExchangeId>, RequestId> m_byExchange;
};

} // namespace siskinspread
