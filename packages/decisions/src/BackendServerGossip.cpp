#include "RendezvousOrder.h"
#include "siskinspread/BackendServerStatus.h"

#include <algorithm>

namespace siskinspread {

namespace {

    using Servers = std::vector<const ServerState*>;

    bool isUrgent(const BackendServerStatusState& state, const ServerStatusOptions& options, const ServerState& server, MonotonicTime now)
    {
        const bool changedLately = server.changedAt && now < *server.changedAt + options.urgentTime;
        return changedLately || server.phase == ServerPhase::Leaving || isJudgedUnreachable(state, options, server, now);
    }

    /** The servers of a domain are reported to its hosts directly, and to other domains by its own hosts. */
    bool isFor(const BackendServerStatusState& state, const ServerState& server, bool toOtherDomain)
    {
        const bool isNear = server.spec.failureDomain == state.selfDomain;
        return toOtherDomain ? isNear || server.phase == ServerPhase::Leaving : !isNear;
    }

    /** @return at most `count` of the servers, others in each round. */
    Servers inTurn(const BackendServerStatusState& state, const Servers& servers, size_t count)
    {
        if (servers.size() <= count) {
            return servers;
        }
        Servers chosen;
        const uint64_t first = rendezvousWeight("gossip", state.self) % servers.size() + state.gossipRound * count;
        for (uint64_t i = first; i < first + count; ++i) {
            chosen.push_back(servers[i % servers.size()]);
        }
        return chosen;
    }

    ServerObservation observationOf(const ServerState& server, const std::string& observer, const Evidence& evidence)
    {
        const bool leaving = std::find(server.left.begin(), server.left.end(), evidence.instance) != server.left.end();
        return { .observer = observer,
            .sequence = evidence.sequence,
            .server = server.spec.name,
            .instance = evidence.instance,
            .reachable = evidence.reachable.value_or(false),
            .leaving = leaving,
            .load = server.load,
            .observers = evidence.observers };
    }

    /** One observer's word that it reaches a server is enough; that nobody does, all observers have to say. */
    void addObservations(const BackendServerStatusState& state, const ServerStatusOptions& options, const ServerState& server, MonotonicTime now,
        std::vector<ServerObservation>& observations)
    {
        const bool needsAll = isJudgedUnreachable(state, options, server, now);
        const std::pair<const std::string, Evidence>* latest = nullptr;
        for (const auto& item : server.evidence) {
            if (!item.second.reachable || now >= item.second.at + options.remoteFreshness) {
                continue;
            }
            if (needsAll) {
                observations.push_back(observationOf(server, item.first, item.second));
            } else if (!latest || item.second.at > latest->second.at) {
                latest = &item;
            }
        }
        if (latest) {
            observations.push_back(observationOf(server, latest->first, latest->second));
        }
    }

} // namespace

std::vector<ServerObservation> gossipOf(const BackendServerStatusState& state, const ServerStatusOptions& options, bool toOtherDomain, MonotonicTime now)
{
    Servers urgent;
    Servers others;
    for (const auto& [name, server] : state.servers) {
        if (isFor(state, server, toOtherDomain)) {
            (isUrgent(state, options, server, now) ? urgent : others).push_back(&server);
        }
    }
    Servers chosen = inTurn(state, urgent, options.maxUrgentServers);
    const Servers background = inTurn(state, others, options.backgroundServers - std::min(options.backgroundServers, chosen.size()));
    chosen.insert(chosen.end(), background.begin(), background.end());
    std::vector<ServerObservation> observations;
    for (const ServerState* server : chosen) {
        addObservations(state, options, *server, now, observations);
    }
    return observations;
}

} // namespace siskinspread
