#include "siskinspread/BackendServerStatus.h"

#include "BackendServerSharing.h"
#include "RendezvousOrder.h"

#include <algorithm>

namespace siskinspread {

namespace {

    struct Stepper {
        BackendServerStatusState& state;
        const ServerStatusOptions& options;
        MonotonicTime now;
        std::vector<ServerAction>& actions;

        ServerState* find(const std::string& name) const
        {
            const auto entry = state.servers.find(name);
            return entry == state.servers.end() ? nullptr : &entry->second;
        }

        // --- phases

        void setPhase(ServerState& server, ServerPhase phase) const
        {
            if (server.phase != phase) {
                server.phase = phase;
                server.changedAt = now;
                actions.emplace_back(ServerPhaseChanged { .server = server.spec.name, .phase = phase });
            }
        }

        static bool hasLeft(const ServerState& server, const ServerInstance& instance)
        {
            return std::find(server.left.begin(), server.left.end(), instance) != server.left.end();
        }

        /** @return whether this is news. */
        bool noteLeave(ServerState& server, const ServerInstance& instance) const
        {
            if (hasLeft(server, instance)) {
                return false;
            }
            server.left.push_back(instance);
            if (server.left.size() > options.rememberedInstances) {
                server.left.erase(server.left.begin());
            }
            if (server.instance.empty()) {
                showRun(server, instance); // the only run that this host has heard of
            }
            if (instance == server.instance && server.phase != ServerPhase::Gone) {
                setPhase(server, ServerPhase::Leaving);
            }
            return true;
        }

        void takeLeaveSign(const std::string& name, const ServerInstance& instance) const
        {
            ServerState* server = find(name);
            if (!server || !noteLeave(*server, instance)) {
                return;
            }
            std::vector<std::string> hosts = state.observers;
            std::erase(hosts, state.self);
            hosts = rendezvousOrder(state.self + "/" + instance, std::move(hosts));
            hosts.resize(std::min<size_t>(hosts.size(), options.leaveFanout));
            actions.emplace_back(ShareLeave { .hosts = std::move(hosts), .server = name, .instance = instance });
            if (server->observedHere) {
                shareChange(*server);
            }
        }

        void showRun(ServerState& server, const ServerInstance& instance) const
        {
            server.instance = instance;
            server.instanceSeenAt = now;
        }

        /** Another run of the server has shown itself: it starts anew. */
        void begin(ServerState& server, const ServerInstance& instance) const
        {
            showRun(server, instance);
            for (auto& [observer, evidence] : server.evidence) {
                evidence.reachable.reset();
            }
            server.reachedAt.reset();
            server.failures = 0;
            server.ownFailures = 0;
            server.reported.reset();
            setPhase(server, hasLeft(server, instance) ? ServerPhase::Leaving : ServerPhase::Joining);
        }

        void noteReached(ServerState& server, const ServerInstance& instance) const
        {
            const bool returns = server.phase == ServerPhase::Gone && !hasLeft(server, instance);
            const bool wasUnnamed = server.instance.empty() && server.phase == ServerPhase::Live && !hasLeft(server, instance);
            if (wasUnnamed) {
                showRun(server, instance); // the run that own traffic had reached before anyone knew its id
            } else if (instance != server.instance || returns) {
                begin(server, instance);
            }
            server.reachedAt = now;
            if (server.phase == ServerPhase::Joining) {
                setPhase(server, ServerPhase::Live);
            }
        }

        void removeIfGone(ServerState& server) const
        {
            const bool isUnlisted = server.phase == ServerPhase::Live && !server.listed;
            if ((server.phase != ServerPhase::Leaving && !isUnlisted) || !isJudgedUnreachable(state, options, server, now)) {
                return;
            }
            // A wrong list and wrong observations together may not empty a pool either.
            if (isUnlisted && routableServers(state, options, server.spec.pool, now).keptUnreachable) {
                return;
            }
            setPhase(server, ServerPhase::Gone);
        }

        // --- observing

        void shareChange(ServerState& server) const
        {
            server.changedAt = now;
            shareObservations(state, options, { &server }, true, actions);
        }

        void chooseObserved() const
        {
            for (auto& [name, server] : state.servers) {
                const auto chosen = observersOf(name, state.observers, options.observersOfServer);
                const bool isChosen = std::find(chosen.begin(), chosen.end(), state.self) != chosen.end();
                const bool observes = server.spec.failureDomain == state.selfDomain && isChosen;
                if (!observes) {
                    server.reported.reset();
                    server.failures = 0;
                }
                server.observedHere = observes;
            }
        }

        void noteOwnObservation(ServerState& server, bool reachable) const
        {
            const bool changed = server.reported != reachable;
            server.reported = reachable;
            server.evidence[state.self] = { .sequence = ++state.sequence, .reachable = reachable, .at = now, .observers = observerCount(state, options), .instance = server.instance };
            if (changed) {
                shareChange(server);
            }
        }

        // --- events

        void operator()(const ServersConfigured& configured) const
        {
            std::set<std::string> names;
            for (const ServerSpec& spec : configured.servers) {
                names.insert(spec.name);
                state.servers[spec.name].spec = spec;
            }
            std::erase_if(state.servers, [&](const auto& item) { return !names.contains(item.first); });
            chooseObserved();
        }

        void operator()(const ObserversChanged& changed) const
        {
            state.observers = changed.hosts;
            state.otherHosts = changed.otherHosts;
            chooseObserved();
        }

        void operator()(const HostListRead& list) const
        {
            for (auto& [name, server] : state.servers) {
                server.listed = false;
            }
            for (const ListedServer& listed : list.servers) {
                ServerState* server = find(listed.server);
                if (!server) {
                    continue;
                }
                server->listed = true;
                if (listed.leaving && (!listed.instance.empty() || isAboutPresentRun(*server, listed))) {
                    takeLeaveSign(listed.server, listed.instance.empty() ? server->instance : listed.instance);
                }
            }
        }

        /** The list may still tell of an earlier host of the name, so its word counts only against a run that is older than it. */
        bool isAboutPresentRun(const ServerState& server, const ListedServer& listed) const
        {
            return listed.leavingSince && server.instanceSeenAt && *server.instanceSeenAt + options.clockTolerance <= *listed.leavingSince;
        }

        void operator()(const LeaveSign& sign) const { takeLeaveSign(sign.server, sign.instance); }

        void operator()(const ServerEnded& ended) const
        {
            takeLeaveSign(ended.server, ended.instance);
            ServerState* server = find(ended.server);
            if (server && server->instance == ended.instance) {
                setPhase(*server, ServerPhase::Gone);
            }
        }

        void operator()(const ServerProbed& probed) const
        {
            ServerState* server = find(probed.server);
            if (!server) {
                return;
            }
            server->probeOpen = false;
            server->nextProbeAt = now + options.probeInterval;
            if (!server->observedHere) {
                return;
            }
            if (probed.reachable) {
                server->load = probed.load;
                noteReached(*server, probed.instance);
                server->failures = 0;
                noteOwnObservation(*server, true);
            } else if (++server->failures >= options.failuresToReport) {
                noteOwnObservation(*server, false);
            }
            removeIfGone(*server);
        }

        void operator()(const ObservationHeard& heard) const
        {
            const ServerObservation& observation = heard.observation;
            ServerState* server = find(observation.server);
            if (!server) {
                return;
            }
            const bool isForDomain = heard.fromOtherDomain && isNews(*server, observation);
            if (observation.leaving) {
                takeLeaveSign(observation.server, observation.instance);
            }
            if (observation.observer == state.self) {
                return;
            }
            const auto known = server->evidence.find(observation.observer);
            if (known != server->evidence.end() && observation.sequence <= known->second.sequence) {
                return; // overtaken by a later one
            }
            tellOfLeave(*server, observation);
            takeEvidence(*server, observation);
            if (isForDomain) {
                actions.emplace_back(ShareObservations { .observations = { observation }, .forOtherDomains = {} });
            }
            removeIfGone(*server);
        }

        /** A leave is not passed on with its observation: it spreads by ShareLeave, which costs a relay less. */
        bool isNews(const ServerState& server, const ServerObservation& observation) const
        {
            if (observation.leaving) {
                return false;
            }
            if (!observation.reachable) {
                const auto known = server.evidence.find(observation.observer);
                return known == server.evidence.end() || known->second.reachable != false;
            }
            const bool isNewRun = observation.instance != server.instance || server.phase == ServerPhase::Joining;
            return isNewRun || isJudgedUnreachable(state, options, server, now);
        }

        /** Mends the loss of a leave sign, also of one that this host got before it knew any other host. */
        void tellOfLeave(const ServerState& server, const ServerObservation& observation) const
        {
            if (observation.reachable && !observation.leaving && hasLeft(server, observation.instance)) {
                actions.emplace_back(ShareLeave { .hosts = { observation.observer }, .server = observation.server, .instance = observation.instance });
            }
        }

        void takeEvidence(ServerState& server, const ServerObservation& observation) const
        {
            if (observation.reachable) {
                noteReached(server, observation.instance);
                server.load = observation.load;
            }
            Evidence& evidence = server.evidence[observation.observer];
            if (evidence.reachable.value_or(true) != observation.reachable) {
                server.changedAt = now;
            }
            evidence.instance = observation.instance;
            evidence.sequence = observation.sequence;
            evidence.at = now;
            evidence.observers = observation.observers;
            evidence.reachable = observation.reachable; // a failure is about the address, whatever run was last seen there
        }

        void forgetOldEvidence(ServerState& server) const
        {
            std::erase_if(server.evidence, [this](const auto& item) { return now > item.second.at + 2 * options.remoteFreshness; });
        }

        void operator()(const TrafficReached& traffic) const
        {
            if (ServerState* server = find(traffic.server)) {
                server->reachedAt = now;
                server->ownFailures = 0;
                if (server->phase == ServerPhase::Joining) {
                    setPhase(*server, ServerPhase::Live);
                }
            }
        }

        void operator()(const TrafficFailed& traffic) const
        {
            if (ServerState* server = find(traffic.server)) {
                ++server->ownFailures;
                server->ownFailureAt = now;
            }
        }

        void operator()(const ServersTick&) const
        {
            for (auto& [name, server] : state.servers) {
                if (server.observedHere && !server.probeOpen && now >= server.nextProbeAt) {
                    server.probeOpen = true;
                    actions.emplace_back(ProbeServer { .server = name });
                }
                removeIfGone(server);
                forgetOldEvidence(server);
            }
            if (now >= state.nextShareAt) {
                state.nextShareAt = now + options.shareInterval;
                shareAll(state, options, actions);
                gossip(state, options, now, actions);
            }
        }
    };

} // namespace

void step(BackendServerStatusState& state, const ServerStatusOptions& options, const BackendServerEvent& event, MonotonicTime now,
    std::vector<ServerAction>& actions)
{
    std::visit(Stepper { state, options, now, actions }, event);
}

} // namespace siskinspread
