#include "siskinspread/ServicePools.h"

#include <openssl/sha.h>

#include <algorithm>
#include <cstdio>

namespace siskinspread {

namespace {

    // One hop between failure domains; the brief gives a little over a millisecond.
    constexpr std::chrono::microseconds delayBetweenFailureDomains { 1200 };
    // Requests that a pool may hold relative to its slots: a short queue keeps the batches full.
    constexpr double poolOvercommit = 1.5;
    constexpr uint32_t defaultMaxInFlight = 64;

} // namespace

std::string sha256Hex(std::string_view text)
{
    unsigned char digest[SHA256_DIGEST_LENGTH];
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest);
    std::string hex;
    for (const unsigned char byte : digest) {
        char digits[3];
        std::snprintf(digits, sizeof digits, "%02x", byte);
        hex += digits;
    }
    return hex;
}

schema::CustomerLimit customerLimit(const schema::Service& service, std::string_view customer)
{
    const auto& limits = service.customer_limits();
    const auto limit = std::find_if(limits.begin(), limits.end(), [customer](const auto& l) { return l.customer() == customer; });
    if (limit != limits.end()) {
        return *limit;
    }
    schema::CustomerLimit result;
    result.set_customer(std::string { customer });
    result.set_weight(1);
    result.set_max_in_flight(defaultMaxInFlight);
    return result;
}

ServicePools::ServicePools(HostContext& context)
    : m_context(context)
{
}

void ServicePools::apply(const schema::Configuration& configuration)
{
    m_revision = configuration.revision();
    std::map<std::string, std::shared_ptr<ServicePool>, std::less<>> services;
    for (const schema::Service& service : configuration.services()) {
        const auto known = m_services.find(service.name());
        auto pool = known == m_services.end() ? std::make_shared<ServicePool>() : known->second;
        configure(*pool, service);
        services.emplace(service.name(), std::move(pool));
    }
    m_services = std::move(services);
    m_customersByDigest.clear();
    for (const schema::Customer& customer : configuration.customers()) {
        m_customersByDigest.emplace(customer.key_sha256(), customer.name());
    }
    m_context.metrics.setConfigurationRevision(m_revision);
    refresh();
}

void ServicePools::configure(ServicePool& pool, const schema::Service& service)
{
    pool.service = service;
    pool.routing.weights = { .latencyBoundCost = service.weights().latency_bound_cost(), .recomputedTokens = service.weights().recomputed_tokens() };
    pool.routing.firstTokenTarget = std::chrono::milliseconds { service.first_token_target_ms() };
    pool.routing.instructionTokens = service.instruction_tokens();
    pool.attempts.maximumAttempts = service.max_attempts();
    pool.progress.firstToken = std::chrono::milliseconds { service.progress_timeout_ms() };
    pool.progress.betweenTokens = std::chrono::milliseconds { service.progress_timeout_ms() };
    pool.addresses.clear();
    for (const schema::BackendServer& server : service.backend_servers()) {
        const bool isNear = server.failure_domain() == m_context.settings.host().failure_domain();
        const size_t index = upsertBackendServer(pool.view,
            { .name = server.name(), .failureDomain = server.failure_domain(), .pricePerHour = server.price_per_hour(), .oneWayDelay = isNear ? std::chrono::microseconds { 0 } : delayBetweenFailureDomains });
        if (pool.view.servers[index].status == BackendStatus::Gone) {
            setBackendStatus(pool.view.servers[index], BackendStatus::Joining, m_context.now); // kept: it may return
        }
        pool.addresses.emplace(server.name(), server.address());
    }
    for (BackendServerView& server : pool.view.servers) {
        if (!pool.addresses.contains(server.description.name)) {
            setBackendStatus(server, BackendStatus::Gone, m_context.now);
        }
    }
    removeGoneServers(pool.view);
}

std::shared_ptr<ServicePool> ServicePools::find(std::string_view name) const
{
    const auto entry = m_services.find(name);
    return entry == m_services.end() ? nullptr : entry->second;
}

std::optional<std::string> ServicePools::customerOfKey(std::string_view key) const
{
    const auto entry = m_customersByDigest.find(sha256Hex(key));
    if (entry == m_customersByDigest.end()) {
        return std::nullopt;
    }
    return entry->second;
}

void ServicePools::refresh()
{
    for (const auto& [name, pool] : m_services) {
        refreshPoolView(pool->view, m_context.now);
        const double ownedShare = pool->service.non_repeatable_calls_size() ? m_ownedShare : 0;
        pool->admissionOptions.poolLimit = admissionLimit(poolSlots(pool->view, m_context.now), poolOvercommit, pool->view.entryHosts, ownedShare);
    }
}

} // namespace siskinspread
