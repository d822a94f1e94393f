#pragma once

#include "siskinspread/BackendNewsSender.h"
#include "siskinspread/BackendServerStatus.h"
#include "siskinspread/CloudApi.h"
#include "siskinspread/HeartbeatChannel.h"
#include "siskinspread/HostContext.h"
#include "siskinspread/MembershipAdapter.h"
#include "siskinspread/ServicePools.h"
#include "siskinspread/Timers.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace siskinspread {

/**
 * Joins the decision about backend servers to their load reports, to the other hosts and to the pools' views.
 *
 * News goes to other hosts in heartbeats. A host that has just got its first configuration uses joining servers too until
 * it has had time to hear of all. From then on a joining server of its own domain is used only while the pool has no
 * live one, and one of another domain unless that domain says that it is not reached.
 * Thread safety: decide thread only.
 */
class BackendStatusAdapter {
public:
    struct Parts {
        Timers& timers;
        TransferStarter& probes; /**< To the backend servers, without BackendTraffic. */
        DatagramSender& heartbeats;
        ServicePools& pools;
        const MembershipAdapter& membership;
    };

    BackendStatusAdapter(HostContext&, Parts);

    /** Begins to probe and to share. */
    void start();

    /** Takes the configuration that the pools have just put in force. */
    void configured(const schema::Configuration&);

    /** Takes news from another host that came in a datagram of this size. */
    void hear(const schema::BackendNewsMessage&, size_t bytes);

    /** A backend server at this "ADDRESS:PORT" answered a request of this host with these headers. */
    void answered(const std::string& address, const HttpHeaders&);

    /** A request of this host to this "ADDRESS:PORT" ended without any byte of an answer. */
    void unanswered(const std::string& address);

    /**
     * Takes a sign that a run of a backend server leaves, such as the cloud's notice; it gets no new work from then on and
     * the other hosts are told. Unknown servers are ignored.
     * @param instance the run; empty for the one that runs now, which may not be known before the first probe.
     */
    void leaveSign(const std::string& server, const ServerInstance& instance = {});

    /** Takes the platform's list; hosts on it that are no backend servers are ignored. */
    void hostListRead(const std::vector<ListedHost>&);

    /** @return the runs that nobody reaches and that had no leave sign. */
    std::vector<ServerEnded> unreachableRuns() const;

    /** Takes the cloud's word that the host of a run has ended. It has no effect when someone has reached the server since. */
    void hostEnded(const ServerEnded&);

    /** @return "joining", "live", "unreachable", "leaving" or "gone". */
    std::string_view stateName(const std::string& server) const;

    /** Tells of servers that are to get no new work for a while; empty: none. */
    std::function<bool(const std::string& server)> isHeldBack;

private:
    void tick();
    void updateObservers();
    void take(const BackendServerEvent&);
    void act(const ProbeServer&);
    void act(const ShareObservations&);
    void act(const GossipObservations&);
    void act(const ShareLeave&);
    void act(const ServerPhaseChanged&);
    void onProbed(const std::string& server, MonotonicTime askedAt, const TransferEnded&);
    void applyLoad(const std::string& server, const BackendLoadReport&);
    void signEarlyLeave(const std::string& server);
    void refreshViews();
    void show(BackendServerView&) const;
    bool mayBeLiveElsewhere(const ServerState&) const;
    uint32_t entryHostCount() const;
    std::vector<ObservedServer> withLoads(const std::vector<ServerObservation>&) const;
    std::vector<std::string> domainHosts() const;
    std::vector<std::string> otherHosts() const;
    template <typename Action>
    void forEachView(const std::string& server, Action action);

    HostContext& m_context;
    Parts m_parts;
    BackendNewsSender m_news;
    const ServerStatusOptions m_options;
    BackendServerStatusState m_state;
    std::map<std::string, std::string> m_addresses; /**< By server. */
    std::map<std::string, std::string> m_serversByAddress;
    std::map<std::string, BackendLoadReport> m_loads; /**< Latest by server, from whomever. */
    std::set<std::string> m_earlyLeaves; /**< Servers that leave and whose present run is not known yet. */
    std::set<std::string> m_usable; /**< Servers that may get new work, at the last refresh of the views. */
    std::set<std::string> m_avoided; /**< Servers that only this host lately failed to reach, at the same time. */
    std::set<std::string> m_unreachable; /**< Live and joining servers that nobody reaches, at the same time. */
    std::optional<MonotonicTime> m_settledAt; /**< When this host has had time to hear of all servers. */
    MonotonicTime m_nextObserversAt {};
};

} // namespace siskinspread
