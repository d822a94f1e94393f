#include "BackendServerSharing.h"

#include "RendezvousOrder.h"

#include <algorithm>

namespace siskinspread {

namespace {

    ServerObservation observationOf(BackendServerStatusState& state, const ServerStatusOptions& options, const ServerState& server)
    {
        const bool hasLeft = std::find(server.left.begin(), server.left.end(), server.instance) != server.left.end();
        return { .observer = state.self,
            .sequence = ++state.sequence,
            .server = server.spec.name,
            .instance = server.instance,
            .reachable = server.reported.value_or(false),
            .leaving = hasLeft,
            .load = server.load,
            .observers = observerCount(state, options) };
    }

    void gossipToOne(const BackendServerStatusState& state, const ServerStatusOptions& options, MonotonicTime now, std::vector<std::string> hosts, bool isOtherDomain, std::vector<ServerAction>& actions)
    {
        hosts = rendezvousOrder(state.self + "/" + std::to_string(state.gossipRound), std::move(hosts));
        if (hosts.empty()) {
            return;
        }
        auto observations = gossipOf(state, options, isOtherDomain, now);
        if (!observations.empty()) {
            actions.emplace_back(GossipObservations { .host = hosts.front(), .observations = std::move(observations) });
        }
    }

} // namespace

uint32_t observerCount(const BackendServerStatusState& state, const ServerStatusOptions& options)
{
    return static_cast<uint32_t>(std::min<size_t>(options.observersOfServer, state.observers.size()));
}

void shareObservations(BackendServerStatusState& state, const ServerStatusOptions& options, const std::vector<const ServerState*>& servers, bool isChange, std::vector<ServerAction>& actions)
{
    ShareObservations message;
    for (const ServerState* server : servers) {
        if (server->reported) {
            message.observations.push_back(observationOf(state, options, *server));
        }
    }
    if (message.observations.empty()) {
        return;
    }
    if (isChange) {
        message.forOtherDomains = message.observations;
    }
    actions.emplace_back(std::move(message));
}

void shareAll(BackendServerStatusState& state, const ServerStatusOptions& options, std::vector<ServerAction>& actions)
{
    std::vector<const ServerState*> observed;
    for (const auto& [name, server] : state.servers) {
        if (server.observedHere) {
            observed.push_back(&server);
        }
    }
    shareObservations(state, options, observed, false, actions);
}

void gossip(BackendServerStatusState& state, const ServerStatusOptions& options, MonotonicTime now, std::vector<ServerAction>& actions)
{
    ++state.gossipRound;
    std::vector<std::string> near = state.observers;
    std::erase(near, state.self);
    gossipToOne(state, options, now, std::move(near), false, actions);
    gossipToOne(state, options, now, state.otherHosts, true, actions);
}

} // namespace siskinspread
