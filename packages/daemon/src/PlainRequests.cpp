#include "siskinspread/PlainRequests.h"

namespace siskinspread {

namespace {

    constexpr std::chrono::milliseconds leastAnswerTime { 5 };
    constexpr int statusFirstServerError = 500;

    /** What is known of a request that ends while an attempt may be in progress. */
    RunState runStateNow(const PlainRequest& request)
    {
        return request.backendServer.empty() ? request.runState : RunState::MayHaveRun;
    }

} // namespace

PlainRequests::PlainRequests(HostContext& context, Timers& timers, AdmissionDesk& admissions, RequestRegister& requests)
    : m_context(context)
    , m_timers(timers)
    , m_admissions(admissions)
    , m_register(requests)
{
}

void PlainRequests::accept(const IncomingRequest& incoming, std::shared_ptr<ServicePool> pool, std::string path, const std::string& customer, std::chrono::milliseconds timeLeft)
{
    auto request = std::make_unique<PlainRequest>();
    request->exchange = incoming.exchange;
    request->pool = std::move(pool);
    request->customer = customer;
    request->method = incoming.method;
    request->path = std::move(path);
    request->contentType = findHeader(incoming.headers, "Content-Type").value_or("");
    request->body = incoming.body;
    request->deadline = m_context.now + timeLeft;
    request->id = m_register.accept(customer, request->pool->service.name());
    PlainRequest& accepted = *request;
    m_byExchange.emplace(accepted.exchange, accepted.id);
    m_requests.emplace(accepted.id, std::move(request));
    m_timers.schedule(accepted.deadline, [this, id = accepted.id] {
        if (PlainRequest* late = find(id)) {
            giveUp(*late, { .code = ResultCode::DeadlineExpired, .runState = runStateNow(*late) });
        }
    });
    admit(accepted);
}

void PlainRequests::admit(const PlainRequest& request)
{
    const RequestId id = request.id;
    m_admissions.enter(id.sequence,
        { .pool = request.pool,
            .customer = request.customer,
            .deadline = request.deadline,
            .expectedDuration = leastAnswerTime,
            .admitted = [this, id] { dispatch(*find(id)); },
            .refused = [this, id](const AdmissionRefusal& refusal) { giveUp(*find(id), { .code = refusal.code, .runState = RunState::NotRun, .retryAfter = refusal.retryAfter }); } });
}

void PlainRequests::dispatch(PlainRequest& request)
{
    ServicePool& pool = *request.pool;
    LastReason reason;
    const auto choice = chooseBackendServer(pool.view, { .blocks = {}, .deadline = request.deadline, .excluded = request.excluded, .seed = nextSeed(m_context) }, pool.routing, m_context.now, reason);
    if (!choice) {
        giveUp(request, { .code = reason.code, .runState = request.runState, .detail = reason.detail });
        return;
    }
    BackendServerView& server = pool.view.servers[choice->index];
    recordDispatch(server, 0, m_context.now);
    if (!request.attempts) {
        depositRetryTokens(pool.retries, request.customer, m_context.now);
    }
    ++request.attempts;
    request.dispatchedAt = m_context.now;
    request.backendServer = server.description.name;
    m_register.recordAttempt(request.id, request.backendServer);
    StartTransfer transfer;
    transfer.method = request.method;
    transfer.url = "http://" + pool.addresses.at(request.backendServer) + request.path;
    transfer.headers = { { .name = header::requestId, .value = formatRequestId(request.id) } };
    if (!request.contentType.empty()) {
        transfer.headers.push_back({ .name = "Content-Type", .value = request.contentType });
    }
    transfer.body = request.body;
    transfer.totalTimeout = pool.progress.firstToken;
    transfer.freshConnection = request.attempts > 1; // a pooled one may have gone silent as well
    request.transfer = m_context.backendServers.start(std::move(transfer), [this, id = request.id](const ClientEvent& event) { onEnded(id, std::get<TransferEnded>(event)); });
}

void PlainRequests::onEnded(const RequestId& id, const TransferEnded& ended)
{
    PlainRequest* request = find(id);
    if (!request) {
        return;
    }
    request->transfer = 0;
    if (ended.end == TransferEnd::NothingSent) {
        endAttempt(*request, AttemptEnd::ConnectFailed);
    } else if (ended.end != TransferEnd::Complete) {
        const bool isSilent = m_context.now - request->dispatchedAt >= request->pool->progress.firstToken;
        endAttempt(*request, isSilent ? AttemptEnd::NoProgress : AttemptEnd::StreamBroken);
    } else if (findHeader(ended.headers, header::notRun)) {
        endAttempt(*request, AttemptEnd::RefusedNotRun);
    } else if (ended.status >= statusFirstServerError) {
        endAttempt(*request, AttemptEnd::ErrorStatus);
    } else {
        complete(*request, ended);
    }
}

void PlainRequests::closeAttempt(PlainRequest& request) const
{
    if (request.backendServer.empty()) {
        return;
    }
    if (BackendServerView* server = findBackendServer(request.pool->view, request.backendServer)) {
        recordFinish(*server, m_context.now);
    }
    request.backendServer.clear();
}

void PlainRequests::endAttempt(PlainRequest& request, AttemptEnd end)
{
    request.excluded.push_back(request.backendServer);
    closeAttempt(request);
    const EndedAttempt attempt {
        .end = end,
        .customer = request.customer,
        .repeatable = true,
        .attempts = request.attempts,
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
    const auto* retry = std::get_if<RetryElsewhere>(&plan);
    m_timers.schedule(m_context.now + (retry ? retry->after : std::chrono::milliseconds { 0 }), [this, id = request.id] {
        PlainRequest* waiting = find(id);
        if (waiting && waiting->backendServer.empty()) {
            dispatch(*waiting);
        }
    });
}

void PlainRequests::complete(PlainRequest& request, const TransferEnded& ended)
{
    RespondWhole response { .exchange = request.exchange, .status = ended.status, .headers = { { .name = header::requestId, .value = formatRequestId(request.id) } }, .body = ended.body };
    if (const auto type = findHeader(ended.headers, "Content-Type")) {
        response.headers.push_back({ .name = "Content-Type", .value = std::string { *type } });
    }
    m_context.callers.send(std::move(response));
    m_register.finish(request.id, ResultCode::Ok, RunState::Ran);
    erase(request.id);
}

void PlainRequests::giveUp(PlainRequest& request, const Refusal& refusal)
{
    sendRefusal(m_context, m_context.callers, request.exchange, formatRequestId(request.id), refusal);
    m_register.finish(request.id, refusal.code, refusal.runState);
    erase(request.id);
}

void PlainRequests::callerClosed(ExchangeId exchange)
{
    const auto entry = m_byExchange.find(exchange);
    if (entry == m_byExchange.end()) {
        return;
    }
    const RequestId id = entry->second;
    m_register.finish(id, ResultCode::CallerGone, runStateNow(*find(id)));
    erase(id);
}

void PlainRequests::erase(const RequestId& id)
{
    const auto entry = m_requests.find(id);
    const std::unique_ptr<PlainRequest> request = std::move(entry->second);
    m_requests.erase(entry);
    m_byExchange.erase(request->exchange);
    m_context.backendServers.cancel(request->transfer);
    closeAttempt(*request);
    m_admissions.leave(id.sequence);
}

PlainRequest* PlainRequests::find(const RequestId& id)
{
    const auto entry = m_requests.find(id);
    return entry == m_requests.end() ? nullptr : entry->second.get();
}

} // namespace siskinspread
