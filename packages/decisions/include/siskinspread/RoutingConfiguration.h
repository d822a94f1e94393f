#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace siskinspread {

/** A service that a route may choose, with its share of the route's requests. */
struct WeightedService {
    std::string service;
    uint32_t weight { 1 };
};

/** How requests for one host and path prefix are forwarded. */
struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix; /**< Begins and ends with a slash. */
    bool repeatable { false }; /**< May run more than once for one attempt of the caller. */
    bool streaming { false };
    bool resumable { false }; /**< A broken stream may be continued after the last event by another replica. */
    bool publicAccess { false }; /**< Needs no API key. */
    std::chrono::milliseconds timeout { 0 }; /**< Zero: none. */
    std::chrono::milliseconds latencyTarget { 0 }; /**< To the whole answer; of a stream, to the first event. */
    std::chrono::milliseconds eventGapTarget { 0 };
    uint32_t maxAttempts { 1 }; /**< Replicas to which one attempt of the caller may be sent. */
    uint32_t priority { 0 }; /**< 0 is the most urgent. */
    std::vector<WeightedService> services;
};

/** What the configuration says of the engines of a model service. */
struct EngineProfile {
    uint32_t slots { 0 };
    uint64_t memoryTokens { 0 };
    uint32_t tokensPerEvent { 1 };
    bool movesMemory { false }; /**< A running request can be carried on by another replica with the memory of the first. */
};

/** Bounds and prices within which replicas of a service may be ordered, for each failure domain. */
struct FleetProfile {
    uint32_t minReplicas { 0 };
    uint32_t maxReplicas { 0 };
    std::chrono::milliseconds bootTime { 0 };
    std::optional<double> reclaimablePrice; /**< As a share of the ordinary price; empty: none are offered. */
    std::unordered_map<std::string, double> domainPrices; /**< Cost of one replica for one second. */
};

/** A service as the configuration describes it. */
struct ServiceProfile {
    std::string name;
    std::string healthPath;
    uint32_t maxConnections { 0 };
    std::optional<EngineProfile> engine;
    std::optional<FleetProfile> fleet;
};

/** A customer with its API keys and its limit over all hosts. */
struct Customer {
    std::string name;
    std::vector<std::string> keys;
    std::optional<uint32_t> priority; /**< Goes before the priority of the route. */
    bool countsTokens { false }; /**< The limit is in tokens; otherwise in requests. */
    double plainTokens { 0 }; /**< Tokens of a request without an estimate. */
    double ratePerSecond { 0 }; /**< Zero: no limit. */
    double burst { 0 };
};

/** What a caller may send and how long it may take. */
struct CallerLimits {
    size_t maxHeaderBytes { 16384 };
    size_t maxBodyBytes { 4194304 };
    std::chrono::milliseconds headerTimeout { 3000 };
    std::chrono::milliseconds idleTimeout { 15000 };
};

/** An entry in the list of customers whose keys are unknown because it cannot be used. */
struct UnusableCustomer {
    size_t index { 0 }; /**< In the list as it was written. */
    std::string name; /**< Empty where the entry has none. */
    std::string reason;
};

/** One version of the configuration, complete. */
struct RoutingConfiguration {
    uint64_t version { 0 };
    std::vector<Route> routes;
    std::vector<ServiceProfile> services;
    /** Requests need a customer's key, except on public routes. Holds for an empty list of customers too: then every key is unknown. */
    bool requiresKeys { true };
    std::vector<Customer> customers; /**< Some may have no keys. */
    std::vector<UnusableCustomer> unusableCustomers;
    CallerLimits limits;
};

/** @return how many customers hold a key, so that their requests can be told from others. Thread safety: reentrant. */
size_t customersWithKeys(const RoutingConfiguration&);

/**
 * A configuration with the tables that requests are looked up in. Built once for a version and then read only.
 * Thread safety: const members are safe from any thread.
 */
class RoutingTable {
public:
    explicit RoutingTable(RoutingConfiguration configuration);

    const RoutingConfiguration& configuration() const { return m_configuration; }

    /** @param path without its query. @return the route of the host with the longest prefix of the path, or null. */
    const Route* findRoute(std::string_view host, std::string_view path) const;

    /** @return the customer that holds the key, or null. */
    const Customer* findCustomer(std::string_view key) const;

    /** @return the service of this name, or null. */
    const ServiceProfile* findService(std::string_view name) const;

    /** @return the shortest latency target of the routes that may choose the service; zero where none has one. */
    std::chrono::milliseconds shortestTarget(std::string_view service) const;

private:
    RoutingConfiguration m_configuration;
    std::unordered_map<std::string, std::vector<const Route*>> m_routes; /**< By host in lower case, longest prefix first. */
    std::unordered_map<std::string_view, const Customer*> m_customers;
    std::unordered_map<std::string_view, const ServiceProfile*> m_services;
    std::unordered_map<std::string_view, std::chrono::milliseconds> m_shortestTargets; /**< By service. */
};

/** @param draw uniform over all values. @return the service that the draw falls on; empty when the route names none. */
std::string_view chooseService(const Route&, uint64_t draw);

} // namespace siskinspread
