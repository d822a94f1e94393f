#pragma once

#include "siskinspread/Time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace siskinspread {

enum class ServerPhase : uint8_t {
    Joining, /**< Known, but nobody has reached it yet. */
    Live,
    Leaving, /**< Gets no new work; never goes back to Live. */
    Gone,
};

struct ServerSpec {
    std::string name;
    std::string pool;
    std::string failureDomain;
    bool operator==(const ServerSpec&) const = default;
};

/**
 * One run of a backend server, for example the cloud's id of its host with its own start id. Signs about another run
 * than the present one neither remove nor revive the present one.
 */
using ServerInstance = std::string;

/** What an observer says of a server; sent at each change and every shareInterval. */
struct ServerObservation {
    std::string observer; /**< Incarnation of the observing host. */
    uint64_t sequence { 0 }; /**< Grows with each observation of this observer. */
    std::string server;
    ServerInstance instance;
    bool reachable { false };
    bool leaving { false }; /**< The observer knows that this instance leaves. */
    uint32_t load { 0 }; /**< Requests in the server, as it reported. */
    uint32_t observers { 2 }; /**< How many hosts of its domain the observer knows to probe the server. */
};

/** Replaces the servers of the configuration. */
struct ServersConfigured {
    std::vector<ServerSpec> servers;
};
struct ObserversChanged {
    std::vector<std::string> hosts; /**< The live ones of the own failure domain, the own one included. */
    std::vector<std::string> otherHosts {}; /**< Of the other failure domains. */
};

struct ListedServer {
    std::string server;
    ServerInstance instance; /**< Empty when the list names no run. */
    bool leaving { false };
    std::optional<MonotonicTime> leavingSince {}; /**< Needed without an instance: of a later run nothing is said. */
};
/** The platform's list, which lags: being on it revives nothing, and missing from it removes only what nobody reaches. */
struct HostListRead {
    std::vector<ListedServer> servers;
};
/** A sign that an instance leaves: the cloud's notice, the server's own refusal, or what a peer passed on. */
struct LeaveSign {
    std::string server;
    ServerInstance instance;
};
/** The cloud says that the host of this instance has ended. */
struct ServerEnded {
    std::string server;
    ServerInstance instance;
};
/** Answer to ProbeServer, which always gets one: a silent server is one that was not reached. */
struct ServerProbed {
    std::string server;
    ServerInstance instance; /**< Empty when it was not reached. */
    bool reachable { false };
    uint32_t load { 0 };
};
/** Another host's observation. */
struct ObservationHeard {
    ServerObservation observation;
    bool fromOtherDomain { false }; /**< This host is a relay and passes it on to its domain. */
};
/** A request of this host reached the server, whatever the answer. */
struct TrafficReached {
    std::string server;
};
/** A request of this host to the server ended without any byte of an answer. */
struct TrafficFailed {
    std::string server;
};
/** Time passed; to be sent several times a second. */
struct ServersTick { };

using BackendServerEvent = std::variant<ServersConfigured, ObserversChanged, HostListRead, LeaveSign, ServerEnded, ServerProbed, ObservationHeard,
    TrafficReached, TrafficFailed, ServersTick>;

struct ProbeServer {
    std::string server;
};
/** Send `observations` to all hosts of the own domain and `forOtherDomains`, changes only, to the relays of the others. */
struct ShareObservations {
    std::vector<ServerObservation> observations;
    std::vector<ServerObservation> forOtherDomains;
};
/** Send what this host knows, whoever observed it, to one host that may have missed it. */
struct GossipObservations {
    std::string host; /**< As in ObserversChanged. */
    std::vector<ServerObservation> observations;
};
/**
 * Send to these hosts at once; every host does so once for each instance, so that the news spreads like an epidemic, and
 * again to an observer whose report shows that it has not heard.
 */
struct ShareLeave {
    std::vector<std::string> hosts;
    std::string server;
    ServerInstance instance;
};
struct ServerPhaseChanged {
    std::string server;
    ServerPhase phase { ServerPhase::Joining };
};

using ServerAction = std::variant<ProbeServer, ShareObservations, GossipObservations, ShareLeave, ServerPhaseChanged>;

struct ServerStatusOptions {
    std::chrono::milliseconds probeInterval { 1'000 };
    std::chrono::milliseconds shareInterval { 2'000 };
    std::chrono::milliseconds freshness { 5'000 }; /**< Older observations prove nothing; above two shareIntervals. */
    std::chrono::milliseconds remoteFreshness { 60'000 }; /**< The same for servers of other domains, which gossip refreshes. */
    std::chrono::milliseconds urgentTime { 60'000 }; /**< After a change of a server in which gossip puts it first. */
    size_t maxUrgentServers { 100 }; /**< In one gossip: leaving, unreachable and changed ones. */
    size_t backgroundServers { 20 }; /**< A gossip with fewer urgent servers is filled up to so many with the others in turn. */
    uint32_t leaveFanout { 3 }; /**< Hosts to which each host passes a leave on. */
    uint32_t failuresToReport { 2 }; /**< Probes in a row without an answer before an observer reports it. */
    uint32_t observersOfServer { 2 };
    double keptFraction { 0.5 }; /**< Of a pool's servers without leave sign that stays in use whatever observers say. */
    std::chrono::milliseconds clockTolerance { 5'000 }; /**< Between the clocks of the cloud and of this host. */
    uint32_t failuresToAvoid { 2 }; /**< Requests of this host in a row without an answer before it avoids a server. */
    std::chrono::milliseconds avoidTime { 10'000 }; /**< After the latest of them; then it tries again. */
    size_t rememberedInstances { 8 }; /**< Instances of a server that left. */
};

struct Evidence {
    uint64_t sequence { 0 };
    std::optional<bool> reachable; /**< Empty when it was about an earlier instance. */
    MonotonicTime at;
    uint32_t observers { 2 };
    ServerInstance instance;
};

struct ServerState {
    ServerSpec spec;
    ServerPhase phase { ServerPhase::Joining };
    ServerInstance instance;
    std::optional<MonotonicTime> instanceSeenAt; /**< When the run first showed itself here. */
    std::vector<ServerInstance> left; /**< Instances that had a leave sign, latest last. */
    bool listed { true }; /**< By the platform's list as last read. */
    uint32_t load { 0 };
    std::map<std::string, Evidence> evidence; /**< By observer, about the present instance. */
    std::optional<MonotonicTime> reachedAt; /**< Last time that anyone said so, or own traffic. */
    std::optional<MonotonicTime> changedAt; /**< Of its phase, its run or who reaches it. */

    uint32_t ownFailures { 0 }; /**< Requests of this host in a row without an answer. */
    MonotonicTime ownFailureAt;

    bool observedHere { false };
    bool probeOpen { false };
    uint32_t failures { 0 };
    std::optional<bool> reported;
    MonotonicTime nextProbeAt;
};

/** One host's view of all backend servers. `self` and `selfDomain` are set at start, the rest is kept by step. */
struct BackendServerStatusState {
    std::string self; /**< Text of this host's incarnation id. */
    std::string selfDomain;
    std::vector<std::string> observers;
    std::vector<std::string> otherHosts;
    std::map<std::string, ServerState> servers;
    uint64_t sequence { 0 };
    uint64_t gossipRound { 0 };
    MonotonicTime nextShareAt;
};

/**
 * Follows each backend server from joining to gone. Two hosts of a server's failure domain probe it and share what they
 * see; whichever leave sign comes first takes an instance out for good. Changes go to the other domains at once; what is
 * lost on the way, or was said before a host started, comes by anti-entropy (A. Demers et al.: Epidemic algorithms for
 * replicated database maintenance, PODC 1987): each shareInterval every host gossips to one of its domain and one of another.
 * Thread safety: safe while no other thread uses `state`.
 */
void step(BackendServerStatusState& state, const ServerStatusOptions& options, const BackendServerEvent& event, MonotonicTime now,
    std::vector<ServerAction>& actions);

/**
 * @return the hosts that probe a server, by rendezvous hash, so that a host that comes or goes moves few servers.
 * Thread safety: reentrant.
 */
std::vector<std::string> observersOf(const std::string& server, const std::vector<std::string>& hosts, uint32_t count);

/**
 * @return what this host gossips to another one: of the servers of other domains to a host of its own, and of those of its
 * own domain and all that leave to a host of another. Leaving, unreachable and lately changed servers come first.
 * Thread safety: const.
 */
std::vector<ServerObservation> gossipOf(const BackendServerStatusState& state, const ServerStatusOptions& options, bool toOtherDomain, MonotonicTime now);

/**
 * @return whether all observers of the server lately said that they do not reach it and nobody said otherwise. Never on
 * the word of one host while there are others in the domain. Thread safety: const.
 */
bool isJudgedUnreachable(const BackendServerStatusState& state, const ServerStatusOptions& options, const ServerState& server, MonotonicTime now);

/** The servers of a pool that may get new work. */
struct RoutableServers {
    std::vector<std::string> servers; /**< Ordered by name. */
    bool keptUnreachable { false }; /**< Some were judged unreachable, but too many at once to believe it. */
};

/** @return which servers may get new work. Thread safety: const. */
RoutableServers routableServers(const BackendServerStatusState& state, const ServerStatusOptions& options, const std::string& pool, MonotonicTime now);

/**
 * @return those of the servers that this host has not failed to reach lately, or all of them when it failed to reach each. It
 * is this host's own choice only: others that reach a server go on to use it. Thread safety: const.
 */
std::vector<std::string> reachedFromHere(const BackendServerStatusState& state, const ServerStatusOptions& options, const std::vector<std::string>& servers,
    MonotonicTime now);

/** The unsafe reference for tests: drops a server on any single report. Thread safety: const. */
std::vector<std::string> routableOnAnyReport(const BackendServerStatusState& state, const ServerStatusOptions& options, const std::string& pool,
    MonotonicTime now);

} // namespace siskinspread
