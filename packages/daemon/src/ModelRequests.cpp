#include "siskinspread/ModelRequests.h"

#include "siskinspread/CallerResponse.h"
#include "siskinspread/ChatRequest.h"
#include "siskinspread/ModelAnswers.h"

namespace siskinspread {

namespace {

    constexpr size_t bytesPerToken = 4; // a common estimate for text; only ratios matter for routing
    constexpr size_t maxPrefixBlocks = 64;
    constexpr std::chrono::milliseconds leastAnswerTime { 50 };

} // namespace

RunState runStateNow(const ModelRequest& request)
{
    return request.backendServer.empty() ? request.runState : RunState::MayHaveRun;
}

std::unique_ptr<ModelRequest> makeModelRequest(nlohmann::json body, std::shared_ptr<ServicePool> pool)
{
    auto request = std::make_unique<ModelRequest>();
    const std::string prompt = promptText(body);
    request->pool = std::move(pool);
    request->streamed = body.value("stream", false);
    request->blocks = prefixBlocks(prompt, prefixBlockTokens * bytesPerToken, maxPrefixBlocks);
    request->promptTokens = static_cast<uint32_t>(prompt.size() / bytesPerToken + 1);
    request->body = std::move(body);
    return request;
}

ModelRequests::ModelRequests(HostContext& context, Parts parts)
    : m_context(context)
    , m_parts(parts)
{
}

void ModelRequests::accept(const IncomingRequest& incoming, const std::string& customer, std::chrono::milliseconds timeLeft)
{
    auto body = parseChatBody(incoming.body);
    if (!isChatRequest(body)) {
        sendRefusal(m_context, m_context.callers, incoming.exchange, m_parts.requests.refusalId(), { .code = ResultCode::MalformedRequest, .detail = chatRequestRule });
        return;
    }
    const std::string model = body["model"].get<std::string>();
    const auto service = m_parts.pools.services().find(model);
    if (service == m_parts.pools.services().end() || service->second->service.kind() != schema::MODEL) {
        sendRefusal(m_context, m_context.callers, incoming.exchange, m_parts.requests.refusalId(), { .code = ResultCode::UnknownService, .detail = "no model has the name " + model });
        return;
    }
    auto request = makeModelRequest(std::move(body), service->second);
    request->sink = &m_context.callers;
    request->exchange = incoming.exchange;
    request->customer = customer;
    request->deadline = m_context.now + timeLeft;
    request->id = m_parts.requests.accept(customer, model);
    ModelRequest& accepted = *request;
    m_byExchange.emplace(std::pair { accepted.sink, accepted.exchange }, accepted.id);
    open(std::move(request));
    admit(accepted);
}

void ModelRequests::open(std::unique_ptr<ModelRequest> request)
{
    const RequestId id = request->id;
    const MonotonicTime deadline = request->deadline;
    m_requests.emplace(id, std::move(request));
    m_parts.timers.schedule(deadline, [this, id] {
        ModelRequest* late = find(id);
        if (late && late->sink) {
            giveUp(*late, { .code = ResultCode::DeadlineExpired, .runState = runStateNow(*late) });
        } else if (late) {
            m_parts.requests.finish(id, ResultCode::CallerGone, late->runState);
            erase(id);
        }
    });
}

void ModelRequests::admit(const ModelRequest& request)
{
    const RequestId id = request.id;
    m_parts.admissions.enter(id.sequence,
        { .pool = request.pool,
            .customer = request.customer,
            .work = static_cast<double>(request.promptTokens),
            .deadline = request.deadline,
            .expectedDuration = leastAnswerTime,
            .admitted = [this, id] { dispatch(*find(id)); },
            .refused = [this, id](const AdmissionRefusal& refusal) {
                ModelRequest& refused = *find(id);
                giveUp(refused, { .code = refusal.code, .runState = refused.runState, .retryAfter = refusal.retryAfter }); } });
}

void ModelRequests::startResponse(ModelRequest& request)
{
    if (request.responseStarted) {
        return;
    }
    request.responseStarted = true;
    request.sink->send(streamHead(request.exchange, formatRequestId(request.id)));
}

void ModelRequests::complete(ModelRequest& request)
{
    const ModelAnswerEnd end { .requestId = formatRequestId(request.id), .model = request.pool->service.name(), .finishReason = request.finishReason, .usage = request.usage };
    if (request.streamed) {
        startResponse(request);
        request.sink->send(SendChunk { .exchange = request.exchange, .data = endEvents(end) });
        request.sink->send(EndStream { .exchange = request.exchange });
    } else {
        request.sink->send(wholeAnswer(request.exchange, end, request.text));
    }
    m_parts.requests.finish(request.id, ResultCode::Ok, RunState::Ran);
    erase(request.id);
}

void ModelRequests::tellCaller(ModelRequest& request, const Refusal& refusal)
{
    const std::string id = formatRequestId(request.id);
    if (!request.responseStarted) {
        sendRefusal(m_context, *request.sink, request.exchange, id, refusal);
        return;
    }
    m_context.metrics.countRefusal(refusal.code);
    request.sink->send(SendChunk { .exchange = request.exchange, .data = errorEvent(refusalJson(id, refusal)) });
    request.sink->send(EndStream { .exchange = request.exchange });
}

void ModelRequests::giveUp(ModelRequest& request, const Refusal& refusal)
{
    tellCaller(request, refusal);
    if (request.handedOverFrom && !request.handingOver && resultInfo(refusal.code).retryable) {
        park(request); // the caller comes back with the id
        return;
    }
    m_parts.requests.finish(request.id, refusal.code, refusal.runState);
    erase(request.id);
}

void ModelRequests::callerClosed(const ResponseSink& sink, ExchangeId exchange)
{
    const auto entry = m_byExchange.find({ &sink, exchange });
    if (entry == m_byExchange.end()) {
        return;
    }
    const RequestId id = entry->second;
    ModelRequest& request = *find(id);
    if (request.handedOverFrom) {
        park(request);
        return;
    }
    m_parts.requests.finish(id, ResultCode::CallerGone, runStateNow(request));
    erase(id);
}

void ModelRequests::dropCaller(ModelRequest& request)
{
    m_byExchange.erase({ request.sink, request.exchange });
    request.sink = nullptr;
    request.exchange = 0;
    request.responseStarted = false;
}

// Those that are admitted in its place may end at once; the request itself is in no queue any more.
void ModelRequests::release(ModelRequest& request)
{
    request.runState = runStateNow(request);
    ++request.term;
    m_context.backendServers.cancel(request.transfer);
    request.transfer = 0;
    closeAttempt(request);
    m_parts.admissions.leave(request.id.sequence);
}

// The request is destroyed last: those that are admitted in its place may come before this one in the map.
void ModelRequests::erase(const RequestId& id)
{
    const auto entry = m_requests.find(id);
    const std::unique_ptr<ModelRequest> request = std::move(entry->second);
    m_requests.erase(entry);
    if (request->handedOverFrom) {
        m_takenOver.erase(*request->handedOverFrom);
        m_handedOverBytes -= request->handedOverBytes;
    }
    dropCaller(*request);
    release(*request);
}

ModelRequest* ModelRequests::find(const RequestId& id)
{
    const auto entry = m_requests.find(id);
    return entry == m_requests.end() ? nullptr : entry->second.get();
}

const ModelRequest* ModelRequests::find(const RequestId& id) const
{
    const auto entry = m_requests.find(id);
    return entry == m_requests.end() ? nullptr : entry->second.get();
}

} // namespace siskinspread
