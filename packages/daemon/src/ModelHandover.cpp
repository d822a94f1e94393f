// How model requests move between hosts; the rest of ModelRequests is in ModelRequests.cpp.

#include "siskinspread/ModelRequests.h"

#include <algorithm>

namespace siskinspread {

namespace {

    // Other hosts of the deployment are already able to go on when the caller is told.
    constexpr std::chrono::milliseconds attachAfter { 200 };
    constexpr size_t maxHandedOverBytes = 64U << 20;

    HeldStream heldStream(const ModelRequest& request)
    {
        return { .customer = request.customer, .handedOver = request.handedOverFrom.has_value(), .streamed = request.streamed, .tokensSent = request.mostSent };
    }

} // namespace

std::optional<RequestId> ModelRequests::takeOver(const HandedOverRequest& offer, size_t bytes, LastReason& reason)
{
    if (const auto taken = m_takenOver.find(offer.from); taken != m_takenOver.end()) {
        return taken->second;
    }
    const std::string model = offer.body["model"].get<std::string>();
    const auto service = m_parts.pools.services().find(model);
    if (service == m_parts.pools.services().end() || service->second->service.kind() != schema::MODEL) {
        return fail(reason, ResultCode::UnknownService, "no model has the name " + model);
    }
    if (offer.timeLeft <= std::chrono::milliseconds { 0 }) {
        return fail(reason, ResultCode::DeadlineExpired, "no time is left");
    }
    if (m_handedOverBytes + bytes > maxHandedOverBytes) {
        return fail(reason, ResultCode::RingFull, "too much has been handed over to this host");
    }
    auto request = makeModelRequest(offer.body, service->second);
    request->text = offer.text;
    request->handedOverBytes = bytes;
    request->handedOverFrom = offer.from;
    request->customer = offer.customer;
    request->deadline = m_context.now + offer.timeLeft;
    request->runState = offer.runState;
    request->tokensSent = offer.tokensSent;
    request->mostSent = offer.tokensSent;
    request->id = m_parts.requests.accept(offer.customer, model);
    const RequestId id = request->id;
    m_takenOver.emplace(offer.from, id);
    m_handedOverBytes += bytes;
    open(std::move(request));
    return id;
}

AttachDecision ModelRequests::attach(const RequestId& id, const AttachCall& call, ResponseSink& sink, ExchangeId exchange)
{
    ModelRequest* request = find(id);
    AttachDecision decision = decideAttach(request ? std::optional { heldStream(*request) } : std::nullopt, call);
    const auto* after = std::get_if<AttachAfter>(&decision);
    if (!after) {
        return decision;
    }
    if (request->handingOver) {
        return AttachRefused { .code = ResultCode::Draining };
    }
    if (request->sink) {
        tellCaller(*request, { .code = ResultCode::StreamAttachedElsewhere, .runState = RunState::MayHaveRun });
        park(*request);
    }
    request->sink = &sink;
    request->exchange = exchange;
    request->tokensSent = after->tokens;
    m_byExchange.emplace(std::pair { request->sink, exchange }, id);
    m_context.metrics.countTokensRecomputed(request->pool->service.name(), request->promptTokens + request->tokensSent);
    admit(*request);
    return decision;
}

void ModelRequests::park(ModelRequest& request)
{
    dropCaller(request);
    request.attemptsBefore = request.attempts;
    request.excluded.clear();
    release(request);
}

std::vector<RequestId> ModelRequests::beginHandover()
{
    std::vector<RequestId> ids;
    for (const auto& [id, request] : m_requests) {
        request->handingOver = true; // first for all, so that none that is admitted in another's place makes an attempt
        ids.push_back(id);
    }
    for (const RequestId& id : ids) {
        if (ModelRequest* request = find(id)) {
            release(*request);
        }
    }
    return ids;
}

std::optional<HandedOverRequest> ModelRequests::handoverOf(const RequestId& id) const
{
    const ModelRequest* request = find(id);
    if (!request) {
        return std::nullopt;
    }
    return HandedOverRequest {
        .from = id,
        .customer = request->customer,
        .body = request->body,
        .tokensSent = request->mostSent,
        .text = request->text,
        .timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(request->deadline - m_context.now),
        .runState = request->runState,
    };
}

void ModelRequests::handedOver(const RequestId& id, const RequestId& newId)
{
    ModelRequest* request = find(id);
    if (!request) {
        return;
    }
    if (request->sink) {
        tellCaller(*request, { .code = ResultCode::HandedOver, .runState = request->runState, .retryAfter = attachAfter, .attachId = formatRequestId(newId) });
    }
    erase(id);
}

void ModelRequests::handoverFailed(const RequestId& id)
{
    ModelRequest* request = find(id);
    if (!request) {
        return;
    }
    const ResultCode code = request->runState == RunState::NotRun ? ResultCode::Draining : ResultCode::Interrupted;
    if (request->sink) {
        tellCaller(*request, { .code = code, .runState = request->runState, .detail = "no other host took the request; send it again" });
    }
    m_parts.requests.finish(id, code, request->runState);
    erase(id);
}

} // namespace siskinspread
