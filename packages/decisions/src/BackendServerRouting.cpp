#include "RendezvousOrder.h"
#include "siskinspread/BackendServerStatus.h"

#include <algorithm>
#include <cmath>

namespace siskinspread {

namespace {

    std::chrono::milliseconds freshnessOf(const BackendServerStatusState& state, const ServerStatusOptions& options, const ServerState& server)
    {
        return server.spec.failureDomain == state.selfDomain ? options.freshness : options.remoteFreshness;
    }

    std::vector<const ServerState*> serversInPhase(const BackendServerStatusState& state, const std::string& pool, ServerPhase phase)
    {
        std::vector<const ServerState*> servers;
        for (const auto& [name, server] : state.servers) {
            if (server.spec.pool == pool && server.phase == phase) {
                servers.push_back(&server);
            }
        }
        return servers;
    }

    std::vector<std::string> namesOf(const std::vector<const ServerState*>& servers)
    {
        std::vector<std::string> names;
        names.reserve(servers.size());
        for (const ServerState* server : servers) {
            names.push_back(server->spec.name);
        }
        std::sort(names.begin(), names.end());
        return names;
    }

    std::vector<const ServerState*> joiningElsewhere(const BackendServerStatusState& state, const ServerStatusOptions& options, const std::string& pool, MonotonicTime now)
    {
        auto joining = serversInPhase(state, pool, ServerPhase::Joining);
        std::erase_if(joining, [&](const ServerState* server) {
            return server->spec.failureDomain == state.selfDomain || isJudgedUnreachable(state, options, *server, now);
        });
        return joining;
    }

} // namespace

std::vector<std::string> observersOf(const std::string& server, const std::vector<std::string>& hosts, uint32_t count)
{
    std::vector<std::string> order = rendezvousOrder(server, hosts);
    order.resize(std::min<size_t>(order.size(), count));
    return order;
}

bool isJudgedUnreachable(const BackendServerStatusState& state, const ServerStatusOptions& options, const ServerState& server, MonotonicTime now)
{
    const auto freshness = freshnessOf(state, options, server);
    uint32_t against = 0;
    uint32_t needed = 1;
    for (const auto& [observer, evidence] : server.evidence) {
        if (!evidence.reachable || now >= evidence.at + freshness) {
            continue;
        }
        if (*evidence.reachable) {
            return false;
        }
        ++against;
        needed = std::max(needed, evidence.observers);
    }
    const bool reachedLately = server.reachedAt && now < *server.reachedAt + options.freshness;
    return against >= needed && !reachedLately;
}

RoutableServers routableServers(const BackendServerStatusState& state, const ServerStatusOptions& options, const std::string& pool, MonotonicTime now)
{
    const auto live = serversInPhase(state, pool, ServerPhase::Live);
    if (live.empty()) {
        // A host that has just started has reached none yet; refusing everything would be no better than trying.
        return { .servers = namesOf(serversInPhase(state, pool, ServerPhase::Joining)) };
    }
    std::vector<const ServerState*> healthy;
    std::vector<const ServerState*> unreachable;
    for (const ServerState* server : live) {
        (isJudgedUnreachable(state, options, *server, now) ? unreachable : healthy).push_back(server);
    }
    // Other domains report changes and failures only: what they have not said of a server leaves it in use.
    const auto elsewhere = joiningElsewhere(state, options, pool, now);
    healthy.insert(healthy.end(), elsewhere.begin(), elsewhere.end());
    const auto kept = static_cast<size_t>(std::ceil(options.keptFraction * static_cast<double>(live.size() + elsewhere.size())));
    if (healthy.size() >= kept) {
        return { .servers = namesOf(healthy) };
    }
    std::sort(unreachable.begin(), unreachable.end(), [](const ServerState* a, const ServerState* b) {
        return a->reachedAt != b->reachedAt ? a->reachedAt > b->reachedAt : a->spec.name < b->spec.name;
    });
    healthy.insert(healthy.end(), unreachable.begin(), unreachable.begin() + static_cast<std::ptrdiff_t>(kept - healthy.size()));
    return { .servers = namesOf(healthy), .keptUnreachable = true };
}

std::vector<std::string> reachedFromHere(const BackendServerStatusState& state, const ServerStatusOptions& options, const std::vector<std::string>& servers,
    MonotonicTime now)
{
    std::vector<std::string> reached;
    for (const std::string& name : servers) {
        const ServerState& server = state.servers.at(name);
        const bool isAvoided = server.ownFailures >= options.failuresToAvoid && now < server.ownFailureAt + options.avoidTime;
        if (!isAvoided) {
            reached.push_back(name);
        }
    }
    return reached.empty() ? servers : reached;
}

std::vector<std::string> routableOnAnyReport(const BackendServerStatusState& state, const ServerStatusOptions& options, const std::string& pool,
    MonotonicTime now)
{
    auto live = serversInPhase(state, pool, ServerPhase::Live);
    std::erase_if(live, [&](const ServerState* server) {
        return std::any_of(server->evidence.begin(), server->evidence.end(),
            [&](const auto& item) { return item.second.reachable == false && now < item.second.at + options.freshness; });
    });
    return namesOf(live);
}

} // namespace siskinspread
