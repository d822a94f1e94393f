#include "siskinspread/CallerRoutes.h"

#include "siskinspread/RequestSize.h"

#include <algorithm>
#include <charconv>

namespace siskinspread {

namespace {

    constexpr std::string_view chatPath = "/v1/chat/completions";
    constexpr std::string_view accountsPath = "/accounts";
    constexpr std::string_view accountPrefix = "/accounts/";
    constexpr std::string_view bearer = "Bearer ";
    constexpr std::chrono::milliseconds defaultDeadline { 600'000 };
    constexpr std::chrono::milliseconds longestDeadline { 24 * 3600 * 1000 }; // beyond it adding to a time could overflow
    constexpr int statusOk = 200;
    constexpr int statusUnavailable = 503;

    std::optional<std::string_view> customerKey(const IncomingRequest& request)
    {
        const auto authorization = findHeader(request.headers, "Authorization");
        if (!authorization || !authorization->starts_with(bearer)) {
            return std::nullopt;
        }
        return authorization->substr(bearer.size());
    }

    /** The first segment of a target names the service; the rest, with its query, is the path there. */
    struct ServiceTarget {
        std::string_view name;
        std::string path;
    };

    ServiceTarget splitService(std::string_view target)
    {
        target.remove_prefix(std::min<size_t>(target.size(), 1));
        const size_t end = target.find('/');
        if (end == std::string_view::npos) {
            return { .name = target, .path = "/" };
        }
        return { .name = target.substr(0, end), .path = std::string { target.substr(end) } };
    }

    bool isNonRepeatable(const schema::Service& service, std::string_view method, std::string_view path)
    {
        const auto& calls = service.non_repeatable_calls();
        return std::any_of(calls.begin(), calls.end(), [&](const auto& call) { return call.method() == method && path.starts_with(call.path_prefix()); });
    }

} // namespace

CallerRoutes::CallerRoutes(HostContext& context, Parts parts)
    : m_context(context)
    , m_parts(parts)
{
}

void CallerRoutes::handle(const IncomingRequest& request)
{
    const Target target = splitTarget(request.target);
    if (handleHealth(request, target)) {
        return;
    }
    if (const auto refusal = checkRequestSize(m_context.settings.limits(), request)) {
        refuse(request.exchange, *refusal);
        return;
    }
    if (!m_parts.pools.hasConfiguration()) {
        refuse(request.exchange, { .code = ResultCode::NoConfiguration });
        return;
    }
    const auto key = customerKey(request);
    const auto customer = key ? m_parts.pools.customerOfKey(*key) : std::nullopt;
    if (!customer) {
        refuse(request.exchange, { .code = ResultCode::UnknownCustomer });
        return;
    }
    if (target.path == accountsPath || target.path.starts_with(accountPrefix)) {
        handleAccount(request, target, *customer);
        return;
    }
    handleWork(request, target, *customer);
}

bool CallerRoutes::handleHealth(const IncomingRequest& request, const Target& target)
{
    if (target.path == "/healthz") {
        sendText(request.exchange, statusOk, "ok\n", "text/plain");
        return true;
    }
    if (target.path == "/readyz") {
        const bool ready = !m_draining && m_parts.pools.hasConfiguration() && !m_parts.log.hasEnded();
        sendText(request.exchange, ready ? statusOk : statusUnavailable, ready ? "ready\n" : "not ready\n", "text/plain");
        return true;
    }
    if (target.path == "/metrics") {
        sendText(request.exchange, statusOk, m_context.metrics.metricsText(), "text/plain; version=0.0.4");
        return true;
    }
    return false;
}

void CallerRoutes::handleAccount(const IncomingRequest& request, const Target& target, const std::string& customer)
{
    AccountQuery query;
    if (target.path.size() > accountPrefix.size()) {
        LastReason reason;
        const auto id = parseAccountId(target.path.substr(accountPrefix.size()), reason);
        if (!id) {
            refuse(request.exchange, { .code = reason.code, .detail = reason.detail });
            return;
        }
        query.request = *id;
    } else if (const auto key = queryParameter(target.query, "key")) {
        query.key = IdempotencyKey { .customer = customer, .text = *key };
    } else {
        refuse(request.exchange, { .code = ResultCode::MalformedRequest, .detail = "use /accounts/REQUEST-ID or /accounts?key=KEY" });
        return;
    }
    const auto candidates = query.key ? m_parts.slices.ownersOfKey(*query.key) : std::vector<IncarnationId> {};
    m_parts.accounts.start(query, candidates, [this, exchange = request.exchange, customer](const AccountAnswer& answer) {
        const bool isTheirs = answer.account.customer.empty() || answer.account.customer == customer;
        if (answer.standing == AccountStanding::NotFound || !isTheirs) {
            refuse(exchange, { .code = ResultCode::UnknownRequest, .detail = isTheirs ? answer.advice : "" });
            return;
        }
        sendText(exchange, statusOk, accountJson(answer), "application/json");
    });
}

void CallerRoutes::handleWork(const IncomingRequest& request, const Target& target, const std::string& customer)
{
    if (refuseWork(request.exchange)) {
        return;
    }
    if (target.path.starts_with(streamsPath) && request.method == "GET") {
        m_parts.attach.accept(request, target.path.substr(streamsPath.size()), customer);
        return;
    }
    const auto left = timeLeft(request);
    if (!left) {
        return;
    }
    if (target.path == chatPath && request.method == "POST") {
        m_parts.models.accept(request, customer, *left);
        return;
    }
    handlePlain(request, customer, *left);
}

void CallerRoutes::handlePlain(const IncomingRequest& request, const std::string& customer, std::chrono::milliseconds left)
{
    const auto [name, path] = splitService(request.target);
    const auto service = m_parts.pools.services().find(name);
    if (service == m_parts.pools.services().end() || service->second->service.kind() != schema::PLAIN) {
        refuse(request.exchange, { .code = path == "/" ? ResultCode::UnknownPath : ResultCode::UnknownService });
        return;
    }
    if (service->second->service.non_repeatable_calls_size() && !isCanonicalPath(splitTarget(path).path)) {
        refuse(request.exchange, { .code = ResultCode::MalformedRequest, .detail = "the path has another spelling; send the shortest one, without empty or dot segments and without escapes that are not needed" });
        return;
    }
    if (!isNonRepeatable(service->second->service, request.method, path)) {
        m_parts.plain.accept(request, service->second, path, customer, left);
        return;
    }
    m_parts.keyed.accept(request,
        { .key = { .customer = customer, .text = std::string { findHeader(request.headers, header::idempotencyKey).value_or("") } },
            .service = std::string { name },
            .method = request.method,
            .path = path,
            .body = request.body,
            .entryHost = m_context.settings.host().name(),
            .timeLeft = left });
}

bool CallerRoutes::refuseWork(ExchangeId exchange)
{
    if (m_draining) {
        refuse(exchange, { .code = ResultCode::Draining });
        return true;
    }
    if (m_parts.log.hasEnded()) {
        refuse(exchange, { .code = ResultCode::LogClosed });
        return true;
    }
    if (!m_parts.log.hasRoom() || m_parts.requests.openCount() >= m_context.settings.limits().max_open_requests()) {
        refuse(exchange, { .code = ResultCode::RingFull, .detail = "too many requests are open or waiting for their record" });
        return true;
    }
    return false;
}

std::optional<std::chrono::milliseconds> CallerRoutes::timeLeft(const IncomingRequest& request)
{
    const auto text = findHeader(request.headers, header::deadline);
    if (!text) {
        return defaultDeadline;
    }
    int64_t left = 0;
    const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), left);
    if (error != std::errc {} || end != text->data() + text->size()) {
        refuse(request.exchange, { .code = ResultCode::MalformedRequest, .detail = std::string { header::deadline } + " is a number of milliseconds" });
        return std::nullopt;
    }
    if (left <= 0) {
        refuse(request.exchange, { .code = ResultCode::DeadlineExpired });
        return std::nullopt;
    }
    return std::min(std::chrono::milliseconds { left }, longestDeadline);
}

void CallerRoutes::refuse(ExchangeId exchange, const Refusal& refusal)
{
    sendRefusal(m_context, m_context.callers, exchange, m_parts.requests.refusalId(), refusal);
}

void CallerRoutes::sendText(ExchangeId exchange, int status, const std::string& body, const char* contentType)
{
    m_context.callers.send(RespondWhole { .exchange = exchange, .status = status, .headers = { { .name = "Content-Type", .value = contentType } }, .body = body });
}

} // namespace siskinspread
