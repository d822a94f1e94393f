#include "siskinspread/RoutingConfiguration.h"

#include <algorithm>
#include <cctype>

namespace siskinspread {

namespace {

    /** Host names are compared without regard to case and without a port. */
    std::string hostKey(std::string_view host)
    {
        std::string key { host.substr(0, host.find(':')) };
        std::transform(key.begin(), key.end(), key.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
        return key;
    }

} // namespace

size_t customersWithKeys(const RoutingConfiguration& configuration)
{
    return static_cast<size_t>(std::count_if(configuration.customers.begin(), configuration.customers.end(), [](const Customer& customer) { return !customer.keys.empty(); }));
}

RoutingTable::RoutingTable(RoutingConfiguration configuration)
    : m_configuration(std::move(configuration))
{
    for (const auto& route : m_configuration.routes) {
        m_routes[hostKey(route.host)].push_back(&route);
    }
    for (auto& [host, routes] : m_routes) {
        std::stable_sort(routes.begin(), routes.end(), [](const Route* a, const Route* b) { return a->pathPrefix.size() > b->pathPrefix.size(); });
    }
    for (const auto& customer : m_configuration.customers) {
        for (const auto& key : customer.keys) {
            m_customers.emplace(key, &customer);
        }
    }
    for (const auto& service : m_configuration.services) {
        m_services.emplace(service.name, &service);
    }
    for (const auto& route : m_configuration.routes) {
        for (const auto& choice : route.services) {
            if (route.latencyTarget.count() > 0) {
                auto& shortest = m_shortestTargets.try_emplace(choice.service, route.latencyTarget).first->second;
                shortest = std::min(shortest, route.latencyTarget);
            }
        }
    }
}

std::chrono::milliseconds RoutingTable::shortestTarget(std::string_view service) const
{
    auto found = m_shortestTargets.find(service);
    return found == m_shortestTargets.end() ? std::chrono::milliseconds { 0 } : found->second;
}

const Route* RoutingTable::findRoute(std::string_view host, std::string_view path) const
{
    auto found = m_routes.find(hostKey(host));
    if (found == m_routes.end()) {
        return nullptr;
    }
    for (const auto* route : found->second) {
        if (path.starts_with(route->pathPrefix)) {
            return route;
        }
    }
    return nullptr;
}

const Customer* RoutingTable::findCustomer(std::string_view key) const
{
    auto found = m_customers.find(key);
    return found == m_customers.end() ? nullptr : found->second;
}

const ServiceProfile* RoutingTable::findService(std::string_view name) const
{
    auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : found->second;
}

std::string_view chooseService(const Route& route, uint64_t draw)
{
    uint64_t total = 0;
    for (const auto& choice : route.services) {
        total += choice.weight;
    }
    if (total == 0) {
        return route.services.empty() ? std::string_view {} : std::string_view { route.services.front().service };
    }
    uint64_t remaining = draw % total;
    for (const auto& choice : route.services) {
        if (remaining < choice.weight) {
            return choice.service;
        }
        remaining -= choice.weight;
    }
    return route.services.back().service;
}

} // namespace siskinspread
