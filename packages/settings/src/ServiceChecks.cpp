#include "ServiceChecks.h"

#include <set>

namespace siskinspread {

namespace {

    // First segments of the paths that the entry hosts answer themselves; a service of that name could not be reached.
    const std::set<std::string> reservedNames { "accounts", "healthz", "metrics", "readyz", "v1" };

    void checkName(const schema::Service& service, const std::string& key, ProblemCollector& problems)
    {
        if (service.kind() == schema::PLAIN && reservedNames.contains(service.name())) {
            problems.add(key + ".name", "is \"" + service.name() + "\", a path of the entry host; allowed: any name but accounts, healthz, metrics, readyz and v1");
        }
    }

    void checkInstructions(const schema::Service& service, const std::string& key, ProblemCollector& problems)
    {
        if (service.kind() == schema::PLAIN && service.instruction_tokens() > 0) {
            problems.add(key + ".instruction_tokens", "is " + std::to_string(service.instruction_tokens()) + "; allowed: above 0 only where kind is \"model\"");
        }
    }

    void checkTimes(const schema::Service& service, const std::string& key, ProblemCollector& problems)
    {
        const std::string progress = std::to_string(service.progress_timeout_ms());
        if (service.progress_timeout_ms() < service.first_token_target_ms()) {
            problems.add(key + ".progress_timeout_ms", "is " + progress + "; allowed: at least first_token_target_ms, which is " + std::to_string(service.first_token_target_ms()));
        }
        if (service.progress_timeout_ms() <= service.between_tokens_target_ms()) {
            problems.add(key + ".progress_timeout_ms", "is " + progress + "; allowed: more than between_tokens_target_ms, which is " + std::to_string(service.between_tokens_target_ms()));
        }
    }

    void checkWeights(const schema::RoutingWeights& weights, const std::string& key, ProblemCollector& problems)
    {
        if (weights.latency_bound_cost() <= 0 && weights.recomputed_tokens() <= 0) {
            problems.add(key + ".weights", "are both zero; allowed: at least one above zero");
        }
    }

    void checkNonRepeatableCalls(const schema::Service& service, const std::string& key, ProblemCollector& problems)
    {
        std::set<std::pair<std::string, std::string>> calls;
        for (int index = 0; index < service.non_repeatable_calls_size(); ++index) {
            const schema::NonRepeatableCall& call = service.non_repeatable_calls(index);
            if (!calls.emplace(call.method(), call.path_prefix()).second) {
                problems.add(indexKey(key + ".non_repeatable_calls", static_cast<size_t>(index)), call.method() + " " + call.path_prefix() + " stands twice; allowed: each call once");
            }
        }
    }

    void checkLimits(const schema::Service& service, const std::string& key, ProblemCollector& problems)
    {
        std::set<std::string> customers;
        for (int index = 0; index < service.customer_limits_size(); ++index) {
            const std::string& customer = service.customer_limits(index).customer();
            if (!customer.empty() && !customers.insert(customer).second) {
                problems.add(indexKey(key + ".customer_limits", static_cast<size_t>(index)) + ".customer", "\"" + customer + "\" has two limits in this service; allowed: one");
            }
        }
    }

    void checkBackendServers(const schema::Service& service, const std::string& key, ProblemCollector& problems)
    {
        std::set<std::string> names;
        std::set<std::string> addresses;
        for (int index = 0; index < service.backend_servers_size(); ++index) {
            const schema::BackendServer& server = service.backend_servers(index);
            const std::string serverKey = indexKey(key + ".backend_servers", static_cast<size_t>(index));
            if (!server.name().empty() && !names.insert(server.name()).second) {
                problems.add(serverKey + ".name", "\"" + server.name() + "\" stands twice in this service; allowed: a name of its own");
            }
            if (!server.address().empty() && !addresses.insert(server.address()).second) {
                problems.add(serverKey + ".address", server.address() + " stands twice in this service; allowed: an address of its own");
            }
        }
    }

    void checkEngineLoads(const schema::Service& service, const std::string& key, ProblemCollector& problems)
    {
        if (!service.has_engine_loads()) {
            return;
        }
        if (service.kind() == schema::PLAIN) {
            problems.add(key + ".engine_loads", "stands in a plain service; allowed: in a service of kind \"model\" only");
        }
        std::set<std::string> adapters;
        for (int index = 0; index < service.engine_loads().adapters_size(); ++index) {
            const std::string& name = service.engine_loads().adapters(index).name();
            if (!name.empty() && !adapters.insert(name).second) {
                problems.add(indexKey(key + ".engine_loads.adapters", static_cast<size_t>(index)) + ".name", "\"" + name + "\" stands twice; allowed: each adapter once");
            }
        }
    }

} // namespace

void checkService(const schema::Service& service, const std::string& key, ProblemCollector& problems)
{
    checkName(service, key, problems);
    checkInstructions(service, key, problems);
    checkTimes(service, key, problems);
    checkWeights(service.weights(), key, problems);
    checkNonRepeatableCalls(service, key, problems);
    checkLimits(service, key, problems);
    checkBackendServers(service, key, problems);
    checkEngineLoads(service, key, problems);
}

} // namespace siskinspread
