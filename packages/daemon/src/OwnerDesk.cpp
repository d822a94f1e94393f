#include "siskinspread/OwnerDesk.h"

#include "siskinspread/CallerResponse.h"
#include "siskinspread/CandidateServers.h"

#include <algorithm>

namespace siskinspread {

namespace {

    constexpr int statusFirstServerError = 500;
    // A call that ends later than this is held to be lost; its outcome is then unknown.
    constexpr std::chrono::milliseconds longestCall { 60'000 };
    constexpr std::chrono::milliseconds leastAnswerTime { 5 };

    constexpr size_t spareCandidates = 1;

    ResultCode resultOf(int status)
    {
        return status < statusFirstServerError ? ResultCode::Ok : ResultCode::BackendError;
    }

} // namespace

OwnerDesk::OwnerDesk(HostContext& context, Parts parts)
    : m_context(context)
    , m_parts(parts)
{
    m_state.self = context.incarnation;
}

RequestId OwnerDesk::submit(const OwnedRequest& request, Done done)
{
    RequestId id = m_parts.requests.issueId(true);
    m_pending.emplace(id, Pending { .request = request, .done = std::move(done), .excluded = {}, .retryAfter = {} });
    const RequestArrived arrived {
        .request = id,
        .refusalId = m_parts.requests.refusalId(),
        .key = request.key,
        .digest = digestOf(request.method, request.service + request.path, request.body),
        .service = request.service,
        .entryHost = request.entryHost,
        .candidates = candidatesOf(request.service, m_context.now + request.timeLeft),
        .deadline = m_context.now + request.timeLeft,
        .notAdmitted = {},
    };
    const auto pool = m_parts.pools.find(request.service);
    if (pool && wouldDispatch(m_state, m_options, arrived, { .monotonic = m_context.now, .wall = m_context.wall })) {
        admit(arrived, pool);
    } else {
        raise(arrived);
    }
    return id;
}

// More than the attempts that are allowed, for a server that leaves while the intent is being recorded.
std::vector<std::string> OwnerDesk::candidatesOf(const std::string& service, MonotonicTime deadline)
{
    const auto pool = m_parts.pools.find(service);
    if (!pool) {
        return {};
    }
    return chooseCandidates(pool->view, { .blocks = {}, .deadline = deadline, .seed = nextSeed(m_context) }, pool->routing, pool->attempts.maximumAttempts + spareCandidates, m_context.now);
}

// Before the intent is recorded, so that what is refused has not run. The key is looked at again once there is a place.
void OwnerDesk::admit(const RequestArrived& arrived, const std::shared_ptr<ServicePool>& pool)
{
    const RequestId id = arrived.request;
    m_waiting.emplace(id, arrived);
    m_parts.admissions.enter(id.sequence,
        { .pool = pool,
            .customer = arrived.key.customer,
            .deadline = arrived.deadline,
            .expectedDuration = leastAnswerTime,
            .admitted = [this, id] { accept(id); },
            .refused = [this, id](const AdmissionRefusal& refusal) { refuseWaiting(id, refusal.code, refusal.retryAfter); } });
}

// The backend servers of its arrival may have gone while it waited.
void OwnerDesk::accept(const RequestId& id)
{
    RequestArrived arrived = m_waiting.extract(id).mapped();
    arrived.candidates = candidatesOf(arrived.service, arrived.deadline);
    raise(arrived);
}

void OwnerDesk::refuseWaiting(const RequestId& id, ResultCode code, std::optional<std::chrono::milliseconds> retryAfter)
{
    RequestArrived arrived = m_waiting.extract(id).mapped();
    arrived.notAdmitted = code;
    m_pending.at(id).retryAfter = retryAfter;
    raise(arrived);
}

// An attempt may go on after its caller was answered, and keeps its place meanwhile.
void OwnerDesk::leaveWhenIdle(const RequestId& id)
{
    if (!m_pending.contains(id) && !m_attempts.contains(id)) {
        m_parts.admissions.leave(id.sequence);
    }
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
    while (!m_waiting.empty()) {
        const RequestId id = m_waiting.begin()->first;
        m_parts.admissions.leave(id.sequence);
        refuseWaiting(id, ResultCode::Draining, std::nullopt);
    }
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
    m_parts.log.append(action.entry, [this, id](bool durable, ResultCode code) {
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
    m_parts.log.append(action.entry, [this, id](bool durable, ResultCode) {
        if (durable) {
            raise(OutcomeDurable { .request = id });
        } else {
            raise(OutcomeRefused { .request = id });
        }
    });
}

void OwnerDesk::run(const RecordAccount& action)
{
    m_parts.log.append(action.entry);
}

void OwnerDesk::run(const DispatchRequest& action)
{
    const auto entry = m_pending.find(action.request);
    if (entry == m_pending.end()) {
        return;
    }
    Pending& pending = entry->second;
    const auto pool = m_parts.pools.find(pending.request.service);
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
    const std::string& backendServer = server.description.name;
    m_attempts.insert_or_assign(action.request, Attempt { .pool = pool, .backendServer = backendServer });
    StartTransfer transfer;
    transfer.method = pending.request.method;
    transfer.url = "http://" + pool->addresses.at(backendServer) + pending.request.path;
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

void OwnerDesk::onAttemptEnded(const RequestId& id, uint32_t attempt, const TransferEnded& transfer)
{
    const Attempt ended = m_attempts.extract(id).mapped();
    const std::string& backendServer = ended.backendServer;
    if (BackendServerView* server = findBackendServer(ended.pool->view, backendServer)) {
        recordFinish(*server, m_context.now);
    }
    if (transfer.end == TransferEnd::NothingSent) {
        attemptNotRun(id, attempt, backendServer, ResultCode::BackendConnectFailed);
    } else if (transfer.end != TransferEnd::Complete) {
        raise(AttemptUnknown { .request = id, .attempt = attempt, .backendServer = backendServer });
    } else if (findHeader(transfer.headers, header::notRun)) {
        attemptNotRun(id, attempt, backendServer, ResultCode::BackendRefused);
    } else {
        raise(AttemptAnswered { .request = id, .attempt = attempt, .backendServer = backendServer, .result = resultOf(transfer.status), .httpStatus = transfer.status, .response = transfer.body });
    }
    leaveWhenIdle(id);
}

void OwnerDesk::attemptNotRun(const RequestId& id, uint32_t attempt, const std::string& backendServer, ResultCode code)
{
    bool retryAllowed = false;
    const auto entry = m_pending.find(id);
    if (entry != m_pending.end()) {
        Pending& pending = entry->second;
        pending.excluded.push_back(backendServer);
        const auto pool = m_parts.pools.find(pending.request.service);
        const std::string& customer = pending.request.key.customer;
        const bool mayTry = pool && attempt < pool->attempts.maximumAttempts;
        retryAllowed = mayTry && withdrawRetryToken(pool->retries, customer, m_context.now);
        if (mayTry && !retryAllowed) {
            code = ResultCode::RetryBudgetSpent;
            pending.retryAfter = std::max(m_options.retryAfter, timeToRetryToken(pool->retries, customer, m_context.now));
        }
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
    AnswerRequest answer = action;
    if (action.retryAfter && entry->second.retryAfter) {
        answer.retryAfter = entry->second.retryAfter;
    }
    m_context.metrics.countRequest(entry->second.request.service, action.result);
    m_pending.erase(entry);
    done(answer);
    leaveWhenIdle(action.request);
}

} // namespace siskinspread
