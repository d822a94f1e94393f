#include "siskinspread/BackendServerStatus.h"

#include <doctest/doctest.h>

#include <deque>
#include <functional>

namespace siskinspread {

namespace {

    using namespace std::chrono_literals;

    constexpr size_t hostsPerDomain = 3;

    bool isLostNowhere(const std::string&, const std::string&) { return false; }

    /** Hosts "a0" to "a2" and "b0" to "b2" of the domains "a" and "b"; all servers are in "a". The relays are "a0" and "b0". */
    class TwoDomains {
    public:
        explicit TwoDomains(size_t servers, ServerStatusOptions options = {})
            : m_options(options)
        {
            for (size_t i = 0; i < servers; ++i) {
                m_configured.servers.push_back({ .name = "s" + std::to_string(i), .pool = "p", .failureDomain = "a" });
            }
            for (const std::string domain : { "a", "b" }) {
                for (size_t i = 0; i < hostsPerDomain; ++i) {
                    start(domain + std::to_string(i));
                }
            }
        }

        void start(const std::string& name)
        {
            hosts[name] = {};
            hosts[name].self = name + "." + std::to_string(++m_starts);
            hosts[name].selfDomain = name.substr(0, 1);
            for (const auto& [host, state] : hosts) {
                dispatch(host, observersOfHost(host));
            }
            dispatch(name, m_configured);
        }

        void dispatch(const std::string& host, const BackendServerEvent& event)
        {
            std::vector<ServerAction> actions;
            step(hosts.at(host), m_options, event, now, actions);
            for (const ServerAction& action : actions) {
                perform(host, action);
            }
        }

        void run(std::chrono::milliseconds time)
        {
            for (const auto end = now + time; now < end; now += 250ms) {
                for (const auto& [host, state] : hosts) {
                    dispatch(host, ServersTick {});
                }
                while (!m_messages.empty()) {
                    const auto [to, event] = m_messages.front();
                    m_messages.pop_front();
                    dispatch(to, event);
                }
            }
        }

        void leave(const std::string& server) { dispatch("a0", LeaveSign { .server = server, .instance = instanceOf(server) }); }
        std::string instanceOf(const std::string& server) const { return m_instances.contains(server) ? m_instances.at(server) : "run1"; }
        void beginRun(const std::string& server, const std::string& instance) { m_instances[server] = instance; }

        size_t hostsThatSee(const std::string& server, ServerPhase phase) const
        {
            return static_cast<size_t>(std::count_if(hosts.begin(), hosts.end(), [&](const auto& h) { return h.second.servers.at(server).phase == phase; }));
        }

        std::map<std::string, BackendServerStatusState> hosts; /**< By name. */
        std::set<std::string> down; /**< Servers that nobody reaches. */
        std::string blindHost; /**< Reaches no server. */
        size_t passedOn { 0 }; /**< Observations that hosts of "b", which has no servers, sent to all of it. */
        std::function<bool(const std::string& from, const std::string& to)> isLost = isLostNowhere;
        size_t gossiped { 0 }; /**< Observations between hosts by gossip. */
        MonotonicTime now { 1h };

    private:
        ObserversChanged observersOfHost(const std::string& host) const
        {
            ObserversChanged changed;
            for (const auto& [name, state] : hosts) {
                const bool isNear = name.front() == host.front();
                isNear ? changed.hosts.push_back(state.self) : changed.otherHosts.push_back(name);
            }
            return changed;
        }

        void send(const std::string& from, const std::string& to, const BackendServerEvent& event)
        {
            const std::string host = to.substr(0, to.find('.'));
            if (host != from && !isLost(from, host)) {
                m_messages.emplace_back(host, event);
            }
        }

        void sendAll(const std::string& from, const std::string& to, const std::vector<ServerObservation>& observations)
        {
            for (const ServerObservation& observation : observations) {
                send(from, to, ObservationHeard { .observation = observation, .fromOtherDomain = from.front() != to.front() });
            }
        }

        void perform(const std::string& from, const ServerAction& action)
        {
            if (const auto* probe = std::get_if<ProbeServer>(&action)) {
                const bool reachable = !down.contains(probe->server) && from != blindHost;
                m_messages.emplace_back(from, ServerProbed { .server = probe->server, .instance = reachable ? instanceOf(probe->server) : "", .reachable = reachable });
            } else if (const auto* share = std::get_if<ShareObservations>(&action)) {
                passedOn += from.front() == 'b' ? share->observations.size() : 0;
                for (const std::string& to : hosts.at(from).observers) {
                    sendAll(from, to, share->observations);
                }
                sendAll(from, from.front() == 'a' ? "b0" : "a0", share->forOtherDomains);
            } else if (const auto* gossip = std::get_if<GossipObservations>(&action)) {
                gossiped += gossip->observations.size();
                sendAll(from, gossip->host, gossip->observations);
            } else if (const auto* leave = std::get_if<ShareLeave>(&action)) {
                for (const std::string& to : leave->hosts) {
                    send(from, to, LeaveSign { .server = leave->server, .instance = leave->instance });
                }
            }
        }

        const ServerStatusOptions m_options;
        ServersConfigured m_configured;
        std::map<std::string, std::string> m_instances;
        std::deque<std::pair<std::string, BackendServerEvent>> m_messages;
        int m_starts { 0 };
    };

    bool crossesDomains(const std::string& from, const std::string& to) { return from.front() != to.front(); }

    bool isAtRelay(const std::string& from, const std::string& to) { return from == "b0" || to == "b0"; }

    /** The unsafe reference: changes are told to another domain once. */
    ServerStatusOptions withoutGossip() { return { .maxUrgentServers = 0, .backgroundServers = 0 }; }

    constexpr size_t allHosts = 2 * hostsPerDomain;

} // namespace

TEST_CASE("a leave reaches all hosts within seconds when the first messages to the other domain are lost or its relay is dead")
{
    for (const bool relayIsDead : { false, true }) {
        for (const bool gossips : { false, true }) {
            CAPTURE(relayIsDead);
            TwoDomains fleet { 2, gossips ? ServerStatusOptions {} : withoutGossip() };
            fleet.run(5s);
            fleet.isLost = relayIsDead ? isAtRelay : crossesDomains;
            fleet.leave("s0");
            fleet.run(3s);
            if (!relayIsDead) {
                fleet.isLost = isLostNowhere;
            }
            fleet.run(5s);
            const size_t listening = relayIsDead ? allHosts - 1 : allHosts;
            CHECK(fleet.hostsThatSee("s0", ServerPhase::Leaving) == (gossips ? listening : hostsPerDomain));
            CHECK(fleet.hostsThatSee("s1", ServerPhase::Leaving) == 0);
        }
    }
}

TEST_CASE("a host of another domain that starts long after a leave, an end or a start hears of it within seconds")
{
    for (const bool gossips : { false, true }) {
        TwoDomains fleet { 3, gossips ? ServerStatusOptions {} : withoutGossip() };
        fleet.run(5s);
        fleet.leave("s0");
        fleet.down.insert("s1");
        fleet.run(300s);
        fleet.start("b2");
        fleet.run(10s);
        const BackendServerStatusState& late = fleet.hosts.at("b2");
        CHECK((late.servers.at("s0").phase == ServerPhase::Leaving) == gossips);
        CHECK(isJudgedUnreachable(late, {}, late.servers.at("s1"), fleet.now) == gossips);
        CHECK((late.servers.at("s2").phase == ServerPhase::Live) == gossips);
    }
}

TEST_CASE("a domain that was cut off while a server left and began again takes it for live after the cut")
{
    TwoDomains fleet { 40 };
    fleet.run(5s);
    fleet.leave("s7");
    fleet.run(10s);
    CHECK(fleet.hostsThatSee("s7", ServerPhase::Leaving) == allHosts);
    fleet.isLost = crossesDomains;
    fleet.run(10s);
    fleet.beginRun("s7", "run2");
    fleet.run(600s);
    CHECK(fleet.hostsThatSee("s7", ServerPhase::Leaving) == hostsPerDomain);
    fleet.isLost = isLostNowhere;
    fleet.run(60s);
    CHECK(fleet.hostsThatSee("s7", ServerPhase::Live) == allHosts);
}

TEST_CASE("a server that one observer does not reach is live everywhere, and its domain's word of it is not passed on over and over")
{
    TwoDomains fleet { 6 };
    fleet.run(90s);
    fleet.blindHost = "a1";
    fleet.run(30s);
    const size_t before = fleet.passedOn;
    fleet.run(60s);
    CHECK(fleet.passedOn == before);
    for (const auto& [name, state] : fleet.hosts) {
        CHECK(routableServers(state, {}, "p", fleet.now).servers.size() == 6);
    }
}

TEST_CASE("gossip stays within its bounds at rest and while a domain's worth of servers leaves")
{
    constexpr size_t servers = 250;
    const ServerStatusOptions options;
    TwoDomains fleet { servers };
    const auto gossipPerRound = [&] {
        const size_t before = fleet.gossiped;
        fleet.run(options.shareInterval);
        return fleet.gossiped - before;
    };
    fleet.run(5 * options.urgentTime);
    // Each host tells one of its domain of the others' servers and one of the other domain of its own; only "a" has servers.
    CHECK(gossipPerRound() == allHosts * options.backgroundServers);
    for (size_t i = 0; i < servers; ++i) {
        fleet.leave("s" + std::to_string(i));
    }
    fleet.run(20s);
    for (size_t i = 0; i < servers; ++i) {
        CHECK(fleet.hostsThatSee("s" + std::to_string(i), ServerPhase::Leaving) == allHosts);
    }
    CHECK(gossipPerRound() <= 2 * allHosts * options.maxUrgentServers);
}

} // namespace siskinspread
