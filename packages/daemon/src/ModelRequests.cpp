#include "siskinspread/ModelRequests.h"

#include "siskinspread/CallerResponse.h"

#include <algorithm>

namespace siskinspread {

namespace {

    constexpr size_t bytesPerToken = 4; // a common estimate for text; only ratios matter for routing
    constexpr uint32_t tokensPerBlock = 64;
    constexpr size_t maxPrefixBlocks = 64;
    constexpr std::chrono::milliseconds leastAnswerTime { 50 };
    constexpr int maxNesting = 64;
    constexpr int statusOk = 200;
    constexpr const char* tokenIndexField = "siskinspread_token_index";
    constexpr const char* continueField = "siskinspread_continue_from";

    std::string promptText(const nlohmann::json& body)
    {
        std::string prompt = body.value("model", "");
        for (const auto& message : body["messages"]) {
            prompt += '\n';
            prompt += message.dump();
        }
        return prompt;
    }

    /** @return the parsed body; discarded when it is not JSON or nested too deeply to be written again by recursion. */
    nlohmann::json parseBody(const std::string& text)
    {
        bool isTooDeep = false;
        const auto limitDepth = [&isTooDeep](int depth, nlohmann::json::parse_event_t, const nlohmann::json&) {
            isTooDeep |= depth > maxNesting;
            return depth <= maxNesting;
        };
        auto body = nlohmann::json::parse(text, limitDepth, false);
        return isTooDeep ? nlohmann::json(nlohmann::json::value_t::discarded) : body;
    }

    bool isMessage(const nlohmann::json& message)
    {
        if (!message.is_object() || !message.contains("role") || !message["role"].is_string()) {
            return false;
        }
        // Absent or null beside a tool call, and a list where a message has several parts.
        const auto content = message.find("content");
        return content == message.end() || content->is_null() || content->is_string() || content->is_array();
    }

    bool isChatRequest(const nlohmann::json& body)
    {
        return body.is_object() && body.contains("model") && body["model"].is_string() && body.contains("messages")
            && body["messages"].is_array() && !body["messages"].empty()
            && std::all_of(body["messages"].begin(), body["messages"].end(), isMessage)
            && (!body.contains("stream") || body["stream"].is_boolean())
            && (!body.contains("max_tokens") || body["max_tokens"].is_null() || body["max_tokens"].is_number_unsigned());
    }

    /** What is known of a request that ends while an attempt may be in progress. */
    RunState runStateNow(const ModelRequest& request)
    {
        return request.backendServer.empty() ? request.runState : RunState::MayHaveRun;
    }

    std::string dump(const nlohmann::json& value)
    {
        return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
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
    auto body = parseBody(incoming.body);
    if (!isChatRequest(body)) {
        sendRefusal(m_context, m_context.callers, incoming.exchange, m_register.refusalId(), { .code = ResultCode::MalformedRequest, .detail = "a chat-completions request has a model, a non-empty list of messages with role and content, a boolean stream and a max_tokens that counts" });
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
    request->blocks = prefixBlocks(prompt, tokensPerBlock * bytesPerToken, maxPrefixBlocks);
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

void ModelRequests::dispatch(ModelRequest& request)
{
    ServicePool& pool = *request.pool;
    LastReason reason;
    const auto choice = chooseBackendServer(pool.view,
        { .blocks = request.blocks, .tokensPerBlock = tokensPerBlock, .promptTokens = request.promptTokens, .deadline = request.deadline, .excluded = request.excluded, .seed = nextSeed(m_context) },
        pool.routing, m_context.now, reason);
    if (!choice) {
        giveUp(request, { .code = reason.code, .runState = request.runState, .detail = reason.detail });
        return;
    }
    BackendServerView& server = pool.view.servers[choice->index];
    recordDispatch(server, choice->missingTokens, m_context.now);
    recordPrefix(pool.view.popularity, request.blocks, request.promptTokens, m_context.now);
    if (!request.attempts) {
        depositRetryTokens(pool.retries, request.customer, m_context.now);
    }
    ++request.attempts;
    request.backendServer = server.description.name;
    request.parser = {};
    request.status = 0;
    request.refusedNotRun = false;
    request.continuedFrom = request.tokensSent;
    request.positionInAttempt = request.tokensSent;
    request.dispatchedAt = m_context.now;
    request.progress = beginProgress(m_context.now);
    m_register.recordAttempt(request.id, request.backendServer);
    const RequestId id = request.id;
    request.transfer = m_context.backendServers.start(transferFor(request), [this, id](const ClientEvent& event) { onEvent(id, event); });
    watchProgress(id, request.attempts);
}

StartTransfer ModelRequests::transferFor(const ModelRequest& request) const
{
    nlohmann::json body = request.body;
    body["stream"] = true;
    if (request.tokensSent) {
        body[continueField] = request.tokensSent;
    }
    StartTransfer transfer;
    transfer.method = "POST";
    transfer.url = "http://" + request.pool->addresses.at(request.backendServer) + "/v1/chat/completions";
    transfer.headers = {
        { .name = "Content-Type", .value = "application/json" },
        { .name = header::requestId, .value = formatRequestId(request.id) },
    };
    transfer.body = dump(body);
    transfer.streaming = true;
    return transfer;
}

void ModelRequests::watchProgress(const RequestId& id, uint32_t attempt)
{
    const ModelRequest* request = find(id);
    if (!request) {
        return;
    }
    m_timers.schedule(progressDeadline(request->progress, request->pool->progress), [this, id, attempt] {
        ModelRequest* watched = find(id);
        if (!watched || watched->attempts != attempt || watched->backendServer.empty()) {
            return;
        }
        if (isStalled(watched->progress, watched->pool->progress, m_context.now)) {
            m_context.backendServers.cancel(watched->transfer);
            endAttempt(*watched, AttemptEnd::NoProgress);
            return;
        }
        watchProgress(id, attempt);
    });
}

void ModelRequests::onEvent(const RequestId& id, const ClientEvent& event)
{
    ModelRequest* request = find(id);
    if (!request) {
        return;
    }
    if (const auto* headers = std::get_if<TransferHeaders>(&event)) {
        onHeaders(*request, *headers);
    } else if (const auto* data = std::get_if<TransferData>(&event)) {
        onData(*request, *data);
    } else {
        onEnded(*request, std::get<TransferEnded>(event));
    }
}

void ModelRequests::onHeaders(ModelRequest& request, const TransferHeaders& headers)
{
    request.status = headers.status;
    request.refusedNotRun = findHeader(headers.headers, header::notRun).has_value();
}

void ModelRequests::onData(ModelRequest& request, const TransferData& data)
{
    if (request.status != statusOk) {
        return;
    }
    request.parser.append(data.data);
    const RequestId id = request.id;
    while (auto event = request.parser.next()) {
        onChunk(request, *event);
        if (!find(id) || request.backendServer.empty()) {
            return; // finished, or the attempt ended with this event
        }
    }
    if (request.parser.isMalformed()) {
        m_context.backendServers.cancel(request.transfer);
        endAttempt(request, AttemptEnd::StreamBroken);
    }
}

void ModelRequests::onChunk(ModelRequest& request, const std::string& data)
{
    if (data == "[DONE]") {
        complete(request);
        return;
    }
    auto chunk = nlohmann::json::parse(data, nullptr, false);
    if (!chunk.is_object()) {
        return;
    }
    if (chunk.contains("usage") && chunk["usage"].is_object()) {
        request.usage = chunk["usage"];
    }
    if (!chunk.contains("choices") || !chunk["choices"].is_array() || chunk["choices"].empty()) {
        return;
    }
    const auto& choice = chunk["choices"][0];
    if (choice.contains("finish_reason") && choice["finish_reason"].is_string()) {
        request.finishReason = choice["finish_reason"].get<std::string>();
    }
    if (choice.contains("delta") && choice["delta"].contains("content") && choice["delta"]["content"].is_string()) {
        onToken(request, chunk);
    }
}

void ModelRequests::onToken(ModelRequest& request, nlohmann::json& chunk)
{
    const uint32_t index = chunk.value(tokenIndexField, request.positionInAttempt);
    request.positionInAttempt = index + 1;
    if (index < request.tokensSent) {
        return; // a repeated chunk
    }
    if (index > request.tokensSent) {
        m_context.backendServers.cancel(request.transfer);
        endAttempt(request, AttemptEnd::StreamBroken); // a chunk is missing: never a gap in the answer
        return;
    }
    if (request.tokensSent == request.continuedFrom) {
        if (BackendServerView* server = findBackendServer(request.pool->view, request.backendServer)) {
            recordFirstToken(*server, request.pool->view.options, std::chrono::duration_cast<std::chrono::microseconds>(m_context.now - request.dispatchedAt), m_context.now);
        }
    }
    ++request.tokensSent;
    recordProgress(request.progress, 1, m_context.now);
    m_context.metrics.countTokensDelivered(request.pool->service.name(), 1);
    if (!request.streamed) {
        request.text += chunk["choices"][0]["delta"]["content"].get<std::string>();
        return;
    }
    startResponse(request);
    chunk["id"] = formatRequestId(request.id);
    m_context.callers.send(SendChunk { .exchange = request.exchange, .data = "id: " + std::to_string(request.tokensSent) + "\ndata: " + dump(chunk) + "\n\n" });
}

void ModelRequests::startResponse(ModelRequest& request)
{
    if (request.responseStarted) {
        return;
    }
    request.responseStarted = true;
    m_context.callers.send(StartStream {
        .exchange = request.exchange,
        .status = statusOk,
        .headers = {
            { .name = "Content-Type", .value = "text/event-stream" },
            { .name = "Cache-Control", .value = "no-cache" },
            { .name = header::requestId, .value = formatRequestId(request.id) },
        },
    });
}

void ModelRequests::onEnded(ModelRequest& request, const TransferEnded& ended)
{
    request.transfer = 0;
    if (ended.end == TransferEnd::NothingSent) {
        endAttempt(request, AttemptEnd::ConnectFailed);
    } else if (request.refusedNotRun && request.status != statusOk) {
        endAttempt(request, AttemptEnd::RefusedNotRun);
    } else if (ended.end == TransferEnd::Complete && request.status != statusOk) {
        endAttempt(request, AttemptEnd::ErrorStatus);
    } else {
        endAttempt(request, AttemptEnd::StreamBroken); // the end mark [DONE] never came
    }
}

void ModelRequests::closeAttempt(ModelRequest& request) const
{
    if (request.backendServer.empty()) {
        return;
    }
    if (BackendServerView* server = findBackendServer(request.pool->view, request.backendServer)) {
        recordFinish(*server, m_context.now);
    }
    request.backendServer.clear();
}

void ModelRequests::endAttempt(ModelRequest& request, AttemptEnd end)
{
    request.excluded.push_back(request.backendServer);
    closeAttempt(request);
    const EndedAttempt attempt {
        .end = end,
        .customer = request.customer,
        .repeatable = true,
        .resumable = true,
        .attempts = request.attempts,
        .promptTokens = request.promptTokens,
        .tokensSent = request.tokensSent,
        .earlierRunState = request.runState,
        .deadline = request.deadline,
        .seed = nextSeed(m_context),
    };
    request.runState = runStateAfter(attempt);
    const AttemptPlan plan = planAfterAttempt(attempt, request.pool->attempts, request.pool->retries, m_context.now);
    if (const auto* answer = std::get_if<FinalAnswer>(&plan)) {
        giveUp(request, { .code = answer->code, .runState = answer->runState, .retryAfter = answer->retryAfter });
        return;
    }
    m_context.metrics.countRetry(attemptResult(end));
    std::chrono::milliseconds after { 0 };
    if (const auto* retry = std::get_if<RetryElsewhere>(&plan)) {
        after = retry->after;
    } else {
        const auto& continuation = std::get<ContinueElsewhere>(plan);
        after = continuation.after;
        m_context.metrics.countTokensRecomputed(request.pool->service.name(), continuation.recomputedTokens);
    }
    m_timers.schedule(m_context.now + after, [this, id = request.id] {
        ModelRequest* waiting = find(id);
        if (waiting && waiting->backendServer.empty()) {
            dispatch(*waiting);
        }
    });
}

void ModelRequests::complete(ModelRequest& request)
{
    if (request.streamed) {
        startResponse(request);
        nlohmann::json last { { "id", formatRequestId(request.id) }, { "object", "chat.completion.chunk" }, { "model", request.pool->service.name() } };
        last["choices"] = { { { "index", 0 }, { "delta", nlohmann::json::object() }, { "finish_reason", request.finishReason } } };
        last["usage"] = request.usage;
        m_context.callers.send(SendChunk { .exchange = request.exchange, .data = "data: " + dump(last) + "\n\ndata: [DONE]\n\n" });
        m_context.callers.send(EndStream { .exchange = request.exchange });
    } else {
        nlohmann::json answer { { "id", formatRequestId(request.id) }, { "object", "chat.completion" }, { "model", request.pool->service.name() } };
        answer["choices"] = { { { "index", 0 }, { "message", { { "role", "assistant" }, { "content", request.text } } }, { "finish_reason", request.finishReason } } };
        answer["usage"] = request.usage;
        m_context.callers.send(RespondWhole {
            .exchange = request.exchange,
            .status = statusOk,
            .headers = {
                { .name = "Content-Type", .value = "application/json" },
                { .name = header::requestId, .value = formatRequestId(request.id) },
            },
            .body = dump(answer),
        });
    }
    m_register.finish(request.id, ResultCode::Ok, RunState::Ran);
    erase(request.id);
}

void ModelRequests::giveUp(ModelRequest& request, const Refusal& refusal)
{
    const std::string id = formatRequestId(request.id);
    if (request.responseStarted) {
        m_context.metrics.countRefusal(refusal.code);
        m_context.callers.send(SendChunk { .exchange = request.exchange, .data = "event: error\ndata: " + refusalJson(id, refusal) + "\n\n" });
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
