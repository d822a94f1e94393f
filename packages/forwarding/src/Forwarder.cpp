#include "siskinspread/Forwarder.h"

#include <algorithm>
#include <cmath>

namespace siskinspread {

namespace {

    using std::chrono::milliseconds;

    // Keys are accepted until this long before the bound: covers the way to a replica and a late timer.
    constexpr milliseconds revocationMargin { 600 };
    // A request that nobody's deadline bounds is given up after this.
    constexpr milliseconds longestRequest { 60000 };
    // Callers who find no configuration come back when the store has usually been read.
    constexpr milliseconds noConfigurationDelay { 500 };
    constexpr milliseconds quotaRefreshInterval { 500 }; // well below the 3 s in which the smallest bursts refill
    constexpr double demandMemorySeconds = 3.0; // time constant of the smoothed demand: below a replica's start

    /** The path of a target without its query. */
    std::string_view pathOf(std::string_view target)
    {
        return target.substr(0, target.find('?'));
    }

    HttpHeaders refusalHeaders(milliseconds retryAfter)
    {
        HttpHeaders headers;
        if (retryAfter.count() > 0) {
            const auto text = std::to_string(retryAfter.count() / 1000) + "." + std::to_string(1000 + retryAfter.count() % 1000).substr(1);
            headers.push_back({ "Retry-After", text });
        }
        return headers;
    }

} // namespace

Forwarder::Forwarder(asio::io_context& context, const ForwardingSettings& settings, const PlatformAdapter& adapter, HostLog& log, ForwardingMetrics& metrics, TrueTime& time)
    : m_context(context)
    , m_settings(settings)
    , m_adapter(adapter)
    , m_log(log)
    , m_metrics(metrics)
    , m_time(time)
    , m_limits(settings.host)
    , m_crashes(settings.host)
    , m_rollouts(settings, log, metrics)
    , m_usage { .length = settings.bounds.reportWindow }
{
}

Forwarder::~Forwarder()
{
    for (const auto& [number, call] : m_stateCalls) {
        call->cancel();
    }
    m_waiting.clear();
    for (const auto& exchange : m_open) {
        exchange->abandon();
    }
}

void Forwarder::endOpen()
{
    const auto open = m_open; // each leaves the set as it ends
    for (const auto& exchange : open) {
        exchange->endForStop();
    }
}

void Forwarder::setTable(std::shared_ptr<const RoutingTable> table)
{
    m_table = std::move(table);
    const auto& configuration = m_table->configuration();
    m_metrics.setConfigurationVersion(configuration.version);
    m_metrics.setCustomers(configuration.requiresKeys, customersWithKeys(configuration), configuration.unusableCustomers.size());
}

void Forwarder::setPeerSilence(milliseconds silence)
{
    m_quotaOptions.silentAfter = silence;
    m_limits.setSettlingTime(silence);
}

void Forwarder::setProvenAt(BootTime at)
{
    m_provenAt = std::max(m_provenAt.value_or(at), at);
}

bool Forwarder::keysAreCurrent() const
{
    return m_provenAt && BootClock::now() - *m_provenAt < m_settings.bounds.revocationInForce - revocationMargin;
}

void Forwarder::accept(ReceivedRequest&& received)
{
    auto admitted = admit(std::move(received));
    if (!admitted) {
        return;
    }
    auto exchange = std::make_shared<Exchange>(*this, std::move(*admitted));
    m_open.insert(exchange);
    exchange->start();
    if (!dispatch(exchange)) {
        enqueue(exchange);
    }
}

std::optional<AdmittedRequest> Forwarder::admit(ReceivedRequest&& received)
{
    LastReason reason;
    auto caller = m_adapter.decodeRequest(received.head, reason);
    if (!caller) {
        refuse(received, {}, reason.code, 400, milliseconds { 0 }, reason.detail);
        return std::nullopt;
    }
    AdmittedRequest request { .received = std::move(received), .caller = std::move(*caller), .table = m_table };
    const auto& id = request.caller.attemptId;
    if (m_draining) {
        refuse(request.received, id, ResultCode::Draining, 503, drainingDelay, "the host stops");
        return std::nullopt;
    }
    if (!m_table || !keysAreCurrent()) {
        refuse(request.received, id, ResultCode::NoConfiguration, 503, noConfigurationDelay, m_table ? "the configuration may be out of date" : "no configuration yet");
        return std::nullopt;
    }
    const auto host = findHeader(request.received.head.headers, "Host").value_or("");
    request.route = m_table->findRoute(host, pathOf(request.received.head.target));
    if (request.route != nullptr && request.route->streaming && m_refusesStreams) {
        refuse(request.received, id, ResultCode::Draining, 503, drainingDelay, "the host stops, and the stream could outlast it");
        return std::nullopt;
    }
    if (request.route == nullptr) {
        refuse(request.received, id, ResultCode::UnknownService, 404, milliseconds { 0 }, "no route for host and path");
        return std::nullopt;
    }
    bool refused = false;
    request.customer = identify(request, refused);
    if (refused) {
        return std::nullopt;
    }
    request.service = m_table->findService(chooseService(*request.route, m_random()));
    if (request.service == nullptr) {
        refuse(request.received, id, ResultCode::UnknownService, 503, noConfigurationDelay, "the route names a service that the configuration lacks");
        return std::nullopt;
    }
    if (auto wait = overQuota(request)) {
        refuse(request.received, id, ResultCode::CustomerLimit, 429, *wait, "over the customer's limit");
        return std::nullopt;
    }
    const auto started = request.received.startedAt;
    auto left = request.caller.timeLeft.value_or(longestRequest);
    if (request.route->timeout.count() > 0) {
        left = std::min(left, request.route->timeout);
    }
    request.endsAt = started + left;
    request.targetAt = started + (request.route->latencyTarget.count() > 0 ? request.route->latencyTarget : left);
    request.sequence = ++m_sequence;
    if (std::chrono::steady_clock::now() >= request.endsAt) {
        refund(request);
        refuse(request.received, id, ResultCode::DeadlineExpired, 503, milliseconds { 0 }, "the deadline had passed on arrival");
        return std::nullopt;
    }
    noteAsked(request.service->name);
    noteSize(request);
    auto& budget = m_retries[request.service->name];
    depositRetryTokens(budget, request.customer != nullptr ? request.customer->name : std::string {}, std::chrono::steady_clock::now());
    return request;
}

const Customer* Forwarder::identify(AdmittedRequest& request, bool& refused)
{
    if (!m_table->configuration().requiresKeys || request.route->publicAccess) {
        return nullptr;
    }
    const auto* customer = request.caller.apiKey ? m_table->findCustomer(*request.caller.apiKey) : nullptr;
    if (customer == nullptr) {
        refused = true;
        refuse(request.received, request.caller.attemptId, ResultCode::UnknownCustomer, 401, milliseconds { 0 }, request.caller.apiKey ? "unknown API key" : "no API key");
    }
    return customer;
}

QuotaLimit Forwarder::limitOf(const Customer& customer) const
{
    const auto& bounds = m_settings.bounds;
    return limitWithTolerance({ .ratePerSecond = customer.ratePerSecond, .burst = customer.burst }, { .slack = bounds.quotaSlack, .overshoot = bounds.quotaOvershoot, .window = bounds.quotaWindow });
}

/** So that a customer's level follows what other hosts spend also before its first request at this one. */
void Forwarder::refreshQuotas(MonotonicTime now)
{
    if (!m_table || now - m_quotasRefreshedAt < quotaRefreshInterval) {
        return;
    }
    m_quotasRefreshedAt = now;
    for (const auto& customer : m_table->configuration().customers) {
        if (customer.ratePerSecond > 0) {
            refreshQuota(m_quotas[customer.name], limitOf(customer), m_quotaOptions, now);
        }
    }
}

std::optional<milliseconds> Forwarder::overQuota(AdmittedRequest& request)
{
    if (request.customer == nullptr) {
        return std::nullopt;
    }
    const auto& customer = *request.customer;
    request.quotaCost = 1.0;
    if (customer.countsTokens) {
        request.quotaCost = request.caller.outputTokens ? request.caller.promptTokens + *request.caller.outputTokens : customer.plainTokens;
    }
    const auto limit = limitOf(customer);
    auto& quota = m_quotas[customer.name];
    refreshQuota(quota, limit, m_quotaOptions, std::chrono::steady_clock::now());
    auto wait = spendQuota(quota, limit, request.quotaCost);
    if (wait) {
        m_log.info("customer over its limit", { { "attempt", request.caller.attemptId }, { "customer", customer.name }, { "cost", request.quotaCost }, { "left", quota.level }, { "rate_per_s", limit.ratePerSecond }, { "burst", limit.burst }, { "peers_known", quota.peers.size() } });
    }
    return wait;
}

void Forwarder::refund(const AdmittedRequest& request)
{
    if (request.customer != nullptr) {
        refundQuota(m_quotas[request.customer->name], request.quotaCost);
    }
}

void Forwarder::countRun(const AdmittedRequest& request)
{
    if (request.customer != nullptr) {
        countUsage(m_usage, request.customer->name, m_time.now());
    }
}

void Forwarder::noteUnread(const std::string& service, uint32_t tokens)
{
    auto& demand = m_demands[service];
    demand = demandFor(service);
    demand.promptTokensPerSecond += tokens / demandMemorySeconds;
}

void Forwarder::noteAsked(const std::string& service)
{
    auto& demand = m_demands[service];
    demand = demandFor(service);
    demand.requestsPerSecond += 1 / demandMemorySeconds;
}

ServiceDemand Forwarder::demandFor(const std::string& service) const
{
    const auto now = std::chrono::steady_clock::now();
    ServiceDemand demand { .updatedAt = now };
    if (const auto found = m_demands.find(service); found != m_demands.end() && found->second.updatedAt) {
        const double kept = std::exp(-std::chrono::duration<double>(now - *found->second.updatedAt).count() / demandMemorySeconds);
        demand.promptTokensPerSecond = found->second.promptTokensPerSecond * kept;
        demand.requestsPerSecond = found->second.requestsPerSecond * kept;
    }
    return demand;
}

uint32_t Forwarder::waitingFor(std::string_view service) const
{
    return static_cast<uint32_t>(std::count_if(m_waiting.begin(), m_waiting.end(), [&](const auto& exchange) { return exchange->request().service->name == service; }));
}

void Forwarder::remove(const std::shared_ptr<Exchange>& exchange)
{
    m_open.erase(exchange);
    m_waiting.remove(exchange);
}

bool Forwarder::claimRetry(const std::string& service)
{
    auto& budget = m_retries[service];
    // Half of the allowance, so that what other hosts cannot know of each other still fits; the slack is dealt evenly.
    const double window = std::chrono::duration<double>(m_settings.bounds.retryWindow).count();
    const double slack = m_settings.bounds.retrySlack / 2 / static_cast<double>(m_hosts);
    budget.poolOptions = { .ratio = m_settings.bounds.retryRatio * 0.8, .capacity = std::max(2.0, slack), .reserve = slack, .reservePerSecond = slack / window / 2 };
    budget.customerOptions = { .ratio = 1.0, .capacity = 100, .reserve = 100, .reservePerSecond = 10 };
    return withdrawRetryToken(budget, {}, std::chrono::steady_clock::now());
}

void Forwarder::reviewReach(MonotonicTime now)
{
    for (const auto& [domain, reach] : m_reach) {
        const bool doubted = domain != m_settings.failureDomain && isReachDoubted(reach, m_reachOptions, now);
        if (doubted == m_doubted.contains(domain)) {
            continue;
        }
        auto age = [&](const std::optional<MonotonicTime>& at) { return at ? std::chrono::duration_cast<milliseconds>(now - *at) : milliseconds { -1 }; };
        m_log.warning(doubted ? "failure domain doubted" : "failure domain reached", { { "domain", domain }, { "hosts_heard_ms", age(reach.peerHeardAt) }, { "replicas_heard_ms", age(reach.bytesAt) }, { "timeouts", reach.timeouts } });
        if (doubted) {
            m_doubted.insert(domain);
        } else {
            m_doubted.erase(domain);
        }
    }
}

void Forwarder::reviewCrashes()
{
    for (const auto& change : m_crashes.review()) {
        if (change.suspected) {
            m_log.warning("prompt part suspected", { { "part", partName(change.part) }, { "crashes", change.crashes }, { "held_for_ms", std::chrono::duration_cast<milliseconds>(change.heldUntil - BootClock::now()) } });
        } else {
            m_log.info("prompt part no longer suspected", { { "part", partName(change.part) } });
        }
    }
}

void Forwarder::tick(MonotonicTime now)
{
    reviewReach(now);
    reviewCrashes();
    m_rollouts.review();
    refreshQuotas(now);
    smoothQueues(now);
    for (const auto& [instance, replica] : m_replicas.all()) {
        dropOldConnections(*replica, now);
    }
    dispatchWaiting();
    const auto open = m_open; // a review may end an exchange
    for (const auto& exchange : open) {
        exchange->reviewMove(now);
    }
    m_metrics.setReplicas(m_replicas.all().size());
    m_metrics.setReplicasLimited(m_limits.namedCount());
    m_metrics.setPartsSuspected(m_crashes.suspectCount());
    m_metrics.setLogLinesLeftOut(m_log.linesLeftOut());
}

void Forwarder::refuse(const ReceivedRequest& received, std::string_view attemptId, ResultCode code, int status, milliseconds retryAfter, std::string_view why)
{
    m_metrics.countAnswer(status, code);
    m_log.info("request refused", { { "attempt", attemptId }, { "status", status }, { "result", resultInfo(code).name }, { "run", "not_run" }, { "why", why }, { "retry_after_ms", retryAfter }, { "configuration", m_table ? m_table->configuration().version : 0 }, { "configuration_age_ms", m_provenAt ? std::chrono::duration_cast<milliseconds>(BootClock::now() - *m_provenAt) : milliseconds { -1 } }, { "target", received.head.target } });
    received.connection->respond(status, resultInfo(code).name, refusalHeaders(retryAfter), std::string { why } + "\n");
}

} // namespace siskinspread
