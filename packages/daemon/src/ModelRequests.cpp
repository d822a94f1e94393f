#include "siskinspread/ModelRequests.h"

#include "siskinspread/CallerResponse.h"
#include "siskinspread/ChatRequest.h"
#include "siskinspread/ModelAnswers.h"

namespace siskinspread {

namespace {

    constexpr size_t bytesPerToken = 4; // a common estimate for text; only ratios matter for routing
    constexpr size_t maxPrefixBlocks = 64;
    constexpr std::chrono::milliseconds leastAnswerTime { 50 };

    /** What is known of a request that ends while an attempt may be in progress. */
    RunState runStateNow(const ModelRequest& request)
    {
        return request.backendServer.empty() ? request.runState : RunState::MayHaveRun;
    }

} // namespace

ModelRequests::ModelRequests(HostContext& context, Timers& timers, ServicePools& pools, RequestRegister& requests)
    : m_context(context)
    , m_timers(timers)
    , m_pools(pools)
    , m_register(requests)
{
}

void ModelRequests::accept(const IncomingRequest& incoming, const std::string& customer, std::chrono::milliseconds timeLeft)
{
    auto body = parseChatBody(incoming.body);
    if (!isChatRequest(body)) {
        sendRefusal(m_context, m_context.callers, incoming.exchange, m_register.refusalId(), { .code = ResultCode::MalformedRequest, .detail = chatRequestRule });
        return;
    }
    const std::string model = body["model"].get<std::string>();
    const auto service = m_pools.services().find(model);
    if (service == m_pools.services().end() || service->second->service.kind() != schema::MODEL) {
        sendRefusal(m_context, m_context.callers, incoming.exchange, m_register.refusalId(), { .code = ResultCode::UnknownService, .detail = "no model has the name " + model });
        return;
    }
    auto request = std::make_unique<ModelRequest>();
    request->exchange = incoming.exchange;
    request->pool = service->second;
    request->customer = customer;
    request->streamed = body.value("stream", false);
    const std::string prompt = promptText(body);
    request->blocks = prefixBlocks(prompt, prefixBlockTokens * bytesPerToken, maxPrefixBlocks);
    request->promptTokens = static_cast<uint32_t>(prompt.size() / bytesPerToken + 1);
    request->deadline = m_context.now + timeLeft;
    request->body = std::move(body);
    request->id = m_register.accept(customer, model);
    ModelRequest& accepted = *request;
    m_byExchange.emplace(accepted.exchange, accepted.id);
    m_requests.emplace(accepted.id, std::move(request));
    m_timers.schedule(accepted.deadline, [this, id = accepted.id] {
        if (ModelRequest* late = find(id)) {
            giveUp(*late, { .code = ResultCode::DeadlineExpired, .runState = runStateNow(*late) });
        }
    });
    admit(accepted);
}

void ModelRequests::admit(ModelRequest& request)
{
    ServicePool& pool = *request.pool;
    const schema::CustomerLimit limit = customerLimit(pool.service, request.customer);
    const auto decision = admitRequest(pool.admission, pool.admissionOptions,
        { .sequence = request.id.sequence, .customer = request.customer, .weight = limit.weight(), .customerLimit = limit.max_in_flight(), .work = static_cast<double>(request.promptTokens), .deadline = request.deadline, .expectedDuration = leastAnswerTime },
        m_context.now);
    if (decision.displaced) {
        refuseWaiting(*decision.displaced);
    }
    switch (decision.outcome) {
    case AdmissionOutcome::Admitted:
        request.admitted = true;
        dispatch(request);
        return;
    case AdmissionOutcome::Waiting:
        return;
    case AdmissionOutcome::Refused:
        refuseWaiting(*decision.refusal);
        return;
    }
}

void ModelRequests::refuseWaiting(const AdmissionRefusal& refusal)
{
    if (ModelRequest* request = find({ .incarnation = m_context.incarnation, .sequence = refusal.sequence })) {
        giveUp(*request, { .code = refusal.code, .runState = RunState::NotRun, .retryAfter = refusal.retryAfter });
    }
}

void ModelRequests::applyChanges(ServicePool&, const AdmissionChanges& changes)
{
    for (const AdmissionRefusal& refusal : changes.refused) {
        refuseWaiting(refusal);
    }
    for (const uint64_t sequence : changes.admitted) {
        if (ModelRequest* request = find({ .incarnation = m_context.incarnation, .sequence = sequence })) {
            request->admitted = true;
            dispatch(*request);
        }
    }
}

void ModelRequests::startResponse(ModelRequest& request)
{
    if (request.responseStarted) {
        return;
    }
    request.responseStarted = true;
    m_context.callers.send(streamHead(request.exchange, formatRequestId(request.id)));
}

void ModelRequests::complete(ModelRequest& request)
{
    const ModelAnswerEnd end { .requestId = formatRequestId(request.id), .model = request.pool->service.name(), .finishReason = request.finishReason, .usage = request.usage };
    if (request.streamed) {
        startResponse(request);
        m_context.callers.send(SendChunk { .exchange = request.exchange, .data = endEvents(end) });
        m_context.callers.send(EndStream { .exchange = request.exchange });
    } else {
        m_context.callers.send(wholeAnswer(request.exchange, end, request.text));
    }
    m_register.finish(request.id, ResultCode::Ok, RunState::Ran);
    erase(request.id);
}

void ModelRequests::giveUp(ModelRequest& request, const Refusal& refusal)
{
    const std::string id = formatRequestId(request.id);
    if (request.responseStarted) {
        m_context.metrics.countRefusal(refusal.code);
        m_context.callers.send(SendChunk { .exchange = request.exchange, .data = errorEvent(refusalJson(id, refusal)) });
        m_context.callers.send(EndStream { .exchange = request.exchange });
    } else {
        sendRefusal(m_context, m_context.callers, request.exchange, id, refusal);
    }
    m_register.finish(request.id, refusal.code, refusal.runState);
    erase(request.id);
}

void ModelRequests::callerClosed(ExchangeId exchange)
{
    const auto entry = m_byExchange.find(exchange);
    if (entry == m_byExchange.end()) {
        return;
    }
    const RequestId id = entry->second;
    const ModelRequest* request = find(id);
    m_register.finish(id, ResultCode::CallerGone, runStateNow(*request));
    erase(id);
}

// The request is destroyed last: those that are admitted in its place may come before this one in the map.
void ModelRequests::erase(const RequestId& id)
{
    const auto entry = m_requests.find(id);
    const std::unique_ptr<ModelRequest> request = std::move(entry->second);
    m_requests.erase(entry);
    m_byExchange.erase(request->exchange);
    m_context.backendServers.cancel(request->transfer);
    closeAttempt(*request);
    ServicePool& pool = *request->pool;
    if (!request->admitted) {
        cancelWaiting(pool.admission, id.sequence);
        return;
    }
    AdmissionChanges changes;
    finishRequest(pool.admission, pool.admissionOptions, request->customer, m_context.now, changes);
    applyChanges(pool, changes);
}

ModelRequest* ModelRequests::find(const RequestId& id)
{
    const auto entry = m_requests.find(id);
    return entry == m_requests.end() ? nullptr : entry->second.get();
}

} // namespace siskinspread
