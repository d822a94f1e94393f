#include "siskinspread/OwnerDesk.h"

#include "siskinspread/CallerResponse.h"
#include "siskinspread/CandidateServers.h"

#include <algorithm>

namespace siskinspread {

namespace {

    constexpr int statusFirstServerError = 500;
    // A call that ends later than this is held to be lost; its outcome is then unknown.
    constexpr std::chrono::milliseconds longestCall { 60'000 };

    constexpr size_t spareCandidates = 1;

    ResultCode resultOf(int status)
    {
        return status < statusFirstServerError ? ResultCode::Ok : ResultCode::BackendError;
    }

} // namespace

OwnerDesk::OwnerDesk(HostContext& context, ServicePools& pools, RequestRegister& requests, LogWriter& log)
    : m_context(context)
    , m_pools(pools)
    , m_register(requests)
    , m_log(log)
{
    m_state.self = context.incarnation;
}

RequestId OwnerDesk::submit(const OwnedRequest& request, Done done)
{
    RequestId id = m_register.issueId(true);
    m_pending.emplace(id, Pending { .request = request, .done = std::move(done), .excluded = {}, .backendServer = {} });
    raise(RequestArrived {
        .request = id,
        .refusalId = m_register.refusalId(),
        .key = request.key,
        .digest = digestOf(request.method, request.service + request.path, request.body),
        .service = request.service,
        .entryHost = request.entryHost,
        .candidates = candidatesOf(request),
        .deadline = m_context.now + request.timeLeft,
    });
    return id;
}

/** More than the attempts that are allowed, for a server that leaves while the intent is being recorded. */
std::vector<std::string> OwnerDesk::candidatesOf(const OwnedRequest& request)
{
    const ServicePool* pool = m_pools.find(request.service);
    if (!pool) {
        return {};
    }
    return chooseCandidates(pool->view, { .blocks = {}, .deadline = m_context.now + request.timeLeft, .seed = nextSeed(m_context) }, pool->routing, pool->attempts.maximumAttempts + spareCandidates, m_context.now);
}

void OwnerDesk::takeSlice(const SliceTaken& event)
{
    raise(event);
}

void OwnerDesk::releaseSlice(uint32_t slice)
{
    raise(SliceReleased { .slice = slice });
}

void OwnerDesk::logEnded()
{
    raise(OwnLogEnded {});
}

void OwnerDesk::tick()
{
    raise(AtMostOnceTick {});
}

void OwnerDesk::expireAll()
{
    raise(AtMostOnceTick {}, MonotonicTime::max());
}

void OwnerDesk::raise(const AtMostOnceEvent& event)
{
    raise(event, m_context.now);
}

void OwnerDesk::raise(const AtMostOnceEvent& event, MonotonicTime now)
{
    std::vector<AtMostOnceAction> actions;
    step(m_state, m_options, event, { .monotonic = now, .wall = m_context.wall }, actions);
    for (const AtMostOnceAction& action : actions) {
        std::visit([this](const auto& a) { run(a); }, action);
    }
}

void OwnerDesk::run(const RecordIntent& action)
{
    const RequestId id = action.entry.request;
    m_log.append(action.entry, [this, id](bool durable, ResultCode code) {
        if (durable) {
            raise(IntentDurable { .request = id });
        } else {
            raise(IntentRefused { .request = id, .reason = code });
        }
    });
}

void OwnerDesk::run(const RecordOutcome& action)
{
    const RequestId id = action.entry.account.request;
    m_log.append(action.entry, [this, id](bool durable, ResultCode) {
        if (durable) {
            raise(OutcomeDurable { .request = id });
        } else {
            raise(OutcomeRefused { .request = id });
        }
    });
}

void OwnerDesk::run(const RecordAccount& action)
{
    m_log.append(action.entry);
}

void OwnerDesk::run(const DispatchRequest& action)
{
    const auto entry = m_pending.find(action.request);
    if (entry == m_pending.end()) {
        return;
    }
    Pending& pending = entry->second;
    ServicePool* pool = m_pools.find(pending.request.service);
    const auto choice = pool ? firstUsable(pool->view, action.candidates, pending.excluded, m_context.now) : std::nullopt;
    if (!choice) {
        raise(AttemptNotRun { .request = action.request, .attempt = action.attempt, .backendServer = {}, .reason = ResultCode::NoBackendServer, .retryAllowed = false });
        return;
    }
    BackendServerView& server = pool->view.servers[*choice];
    recordDispatch(server, 0, m_context.now);
    if (action.attempt == 1) {
        depositRetryTokens(pool->retries, pending.request.key.customer, m_context.now);
    }
    pending.backendServer = server.description.name;
    StartTransfer transfer;
    transfer.method = pending.request.method;
    transfer.url = "http://" + pool->addresses.at(pending.backendServer) + pending.request.path;
    transfer.headers = {
        { .name = "Content-Type", .value = "application/json" },
        { .name = header::requestId, .value = formatRequestId(action.request) },
        { .name = header::idempotencyKey, .value = pending.request.key.text },
    };
    transfer.body = pending.request.body;
    transfer.freshConnection = true;
    transfer.totalTimeout = std::min(longestCall, std::max(std::chrono::milliseconds { 1 }, std::chrono::duration_cast<std::chrono::milliseconds>(action.deadline - m_context.now)));
    m_context.backendServers.start(std::move(transfer), [this, id = action.request, attempt = action.attempt](const ClientEvent& event) {
        onAttemptEnded(id, attempt, std::get<TransferEnded>(event));
    });
}

void OwnerDesk::onAttemptEnded(const RequestId& id, uint32_t attempt, const TransferEnded& ended)
{
    const auto entry = m_pending.find(id);
    std::string backendServer;
    if (entry != m_pending.end()) {
        backendServer = entry->second.backendServer;
        ServicePool* pool = m_pools.find(entry->second.request.service);
        if (BackendServerView* server = pool ? findBackendServer(pool->view, backendServer) : nullptr) {
            recordFinish(*server, m_context.now);
        }
    }
    if (ended.end == TransferEnd::NothingSent) {
        attemptNotRun(id, attempt, backendServer, ResultCode::BackendConnectFailed);
    } else if (ended.end != TransferEnd::Complete) {
        raise(AttemptUnknown { .request = id, .attempt = attempt, .backendServer = backendServer });
    } else if (findHeader(ended.headers, header::notRun)) {
        attemptNotRun(id, attempt, backendServer, ResultCode::BackendRefused);
    } else {
        raise(AttemptAnswered { .request = id, .attempt = attempt, .backendServer = backendServer, .result = resultOf(ended.status), .httpStatus = ended.status, .response = ended.body });
    }
}

void OwnerDesk::attemptNotRun(const RequestId& id, uint32_t attempt, const std::string& backendServer, ResultCode code)
{
    bool retryAllowed = false;
    const auto entry = m_pending.find(id);
    if (entry != m_pending.end()) {
        Pending& pending = entry->second;
        pending.excluded.push_back(backendServer);
        ServicePool* pool = m_pools.find(pending.request.service);
        retryAllowed = pool && attempt < pool->attempts.maximumAttempts && withdrawRetryToken(pool->retries, pending.request.key.customer, m_context.now);
    }
    if (retryAllowed) {
        m_context.metrics.countRetry(code);
    }
    raise(AttemptNotRun { .request = id, .attempt = attempt, .backendServer = backendServer, .reason = code, .retryAllowed = retryAllowed });
}

void OwnerDesk::run(const AnswerRequest& action)
{
    const auto entry = m_pending.find(action.request);
    if (entry == m_pending.end()) {
        return;
    }
    const Done done = std::move(entry->second.done);
    m_context.metrics.countRequest(entry->second.request.service, action.result);
    m_pending.erase(entry);
    done(action);
}

} // namespace siskinspread
