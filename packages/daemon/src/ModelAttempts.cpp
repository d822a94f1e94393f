// The attempts of model requests at backend servers; the rest of ModelRequests is in ModelRequests.cpp.

#include "siskinspread/ModelRequests.h"

#include "siskinspread/ChatRequest.h"
#include "siskinspread/ModelAnswers.h"

#include <algorithm>
#include <limits>

namespace siskinspread {

namespace {

    constexpr int statusOk = 200;
    constexpr int statusFirstClientError = 400;
    constexpr int statusFirstServerError = 500;
    constexpr uint32_t tokensInSample = 8; // one token alone is at the mercy of the reading thread
    constexpr const char* tokenIndexField = "siskinspread_token_index";
    constexpr const char* continueField = "siskinspread_continue_from";

    /** @return the place of a chunk's token in the answer, `next` where the engine gives none, or nothing where it is no place. */
    std::optional<uint32_t> tokenIndex(const nlohmann::json& chunk, uint32_t next)
    {
        const auto index = chunk.find(tokenIndexField);
        if (index == chunk.end()) {
            return next;
        }
        if (!index->is_number_unsigned() || index->get<uint64_t>() >= std::numeric_limits<uint32_t>::max()) {
            return std::nullopt;
        }
        return index->get<uint32_t>();
    }

    /** Notes that the server is about to hold the prompt's blocks. */
    void noteCached(PoolView& view, const BackendServerView& server, std::span<const PrefixBlock> blocks, MonotonicTime now)
    {
        for (const PrefixBlock block : blocks) {
            recordCached(view.cachedPrefixes, block, server.nameHash, now);
        }
    }

    /** @return whether the status says that the request is at fault, and not the server's load or state. */
    bool isRejection(int status)
    {
        constexpr int requestTimeout = 408;
        constexpr int conflict = 409;
        constexpr int tooManyRequests = 429;
        const bool isTemporary = status == requestTimeout || status == conflict || status == tooManyRequests;
        return status >= statusFirstClientError && status < statusFirstServerError && !isTemporary;
    }

} // namespace

void ModelRequests::dispatch(ModelRequest& request)
{
    if (request.handingOver) {
        return;
    }
    ServicePool& pool = *request.pool;
    LastReason reason;
    const auto choice = chooseBackendServer(pool.view,
        { .blocks = request.blocks, .tokensPerBlock = prefixBlockTokens, .promptTokens = request.promptTokens, .deadline = request.deadline, .excluded = request.excluded, .seed = nextSeed(m_context) },
        pool.routing, m_context.now, reason);
    if (!choice) {
        giveUp(request, { .code = reason.code, .runState = request.runState, .detail = reason.detail });
        return;
    }
    BackendServerView& server = pool.view.servers[choice->index];
    recordDispatch(server, choice->missingTokens, m_context.now);
    noteCached(pool.view, server, request.blocks, m_context.now);
    if (!request.attempts) {
        recordPrefix(pool.view.popularity, request.blocks, request.promptTokens, m_context.now);
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
    m_parts.requests.recordAttempt(request.id, request.backendServer);
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
    transfer.body = jsonText(body);
    transfer.streaming = true;
    transfer.freshConnection = request.attempts > request.attemptsBefore + 1; // a pooled one may have gone silent as well
    return transfer;
}

void ModelRequests::watchProgress(const RequestId& id, uint32_t attempt)
{
    const ModelRequest* request = find(id);
    if (!request) {
        return;
    }
    m_parts.timers.schedule(progressDeadline(request->progress, request->pool->progress), [this, id, attempt] {
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
    auto chunk = parseChatBody(data);
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
    const auto index = tokenIndex(chunk, request.positionInAttempt);
    if (index && *index < request.tokensSent) {
        request.positionInAttempt = *index + 1;
        return; // a repeated chunk
    }
    if (!index || *index > request.tokensSent) {
        m_context.backendServers.cancel(request.transfer);
        endAttempt(request, AttemptEnd::StreamBroken); // a chunk is missing: never a gap in the answer
        return;
    }
    request.positionInAttempt = *index + 1;
    measureToken(request);
    ++request.tokensSent;
    request.mostSent = std::max(request.mostSent, request.tokensSent);
    recordProgress(request.progress, 1, m_context.now);
    m_context.metrics.countTokensDelivered(request.pool->service.name(), 1);
    if (!request.streamed) {
        request.text += chunk["choices"][0]["delta"]["content"].get<std::string>();
        return;
    }
    startResponse(request);
    chunk["id"] = formatRequestId(request.id);
    request.sink->send(SendChunk { .exchange = request.exchange, .data = tokenEvent(request.tokensSent, chunk) });
}

// Before the token is counted.
void ModelRequests::measureToken(ModelRequest& request) const
{
    using std::chrono::microseconds;
    BackendServerView* server = findBackendServer(request.pool->view, request.backendServer);
    if (!server) {
        return;
    }
    const PoolOptions& options = request.pool->view.options;
    if (request.tokensSent == request.continuedFrom) {
        recordFirstToken(*server, options, std::chrono::duration_cast<microseconds>(m_context.now - request.dispatchedAt), m_context.now);
        request.sampleBegan = m_context.now;
        request.sampleTokens = 0;
        return;
    }
    if (++request.sampleTokens == tokensInSample) {
        recordBetweenTokens(*server, options, std::chrono::duration_cast<microseconds>(m_context.now - request.sampleBegan) / tokensInSample, m_context.now);
        request.sampleBegan = m_context.now;
        request.sampleTokens = 0;
    }
}

void ModelRequests::onEnded(ModelRequest& request, const TransferEnded& ended)
{
    request.transfer = 0;
    if (ended.end == TransferEnd::NothingSent) {
        endAttempt(request, AttemptEnd::ConnectFailed);
    } else if (request.refusedNotRun && request.status != statusOk) {
        endAttempt(request, AttemptEnd::RefusedNotRun);
    } else if (ended.end == TransferEnd::Complete && request.status != statusOk) {
        endAttempt(request, isRejection(request.status) ? AttemptEnd::RequestRejected : AttemptEnd::ErrorStatus);
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
        .attempts = request.attempts - request.attemptsBefore,
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
    m_parts.timers.schedule(m_context.now + after, [this, id = request.id, term = request.term] {
        ModelRequest* waiting = find(id);
        if (waiting && waiting->term == term && waiting->backendServer.empty()) {
            dispatch(*waiting);
        }
    });
}

} // namespace siskinspread
