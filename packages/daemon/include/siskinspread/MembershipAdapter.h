#pragma once

#include "siskinspread/ConfigurationFeedAdapter.h"
#include "siskinspread/HeartbeatChannel.h"
#include "siskinspread/Membership.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace siskinspread {

/** @return "live", "suspected", "dead" or "left". Thread safety: reentrant. */
const char* memberStatusName(MemberStatus);

/** The process that runs at a host, as far as this host knows. */
struct KnownIncarnation {
    std::string host;
    IncarnationId incarnation;
    std::string failureDomain;
    MemberStatus status { MemberStatus::Alive };
};

/**
 * Joins membership to the heartbeats and hands its members to the configuration feed; every heartbeat carries the
 * feed's advert. Lists of records that do not fit a datagram go by the JSON-RPC method "membership".
 * Thread safety: decide thread only.
 */
class MembershipAdapter {
public:
    MembershipAdapter(HostContext&, Timers&, PeerCalls&, DatagramSender&, ConfigurationFeedAdapter&);

    /** Begins to probe the peers of the settings. */
    void start();

    /** Takes a datagram that arrived. A malformed one is ignored. */
    void receive(const Datagram&);

    /** Tells the others that this host stops. */
    void leave();

    /** @return the processes that are alive or suspected, this one first. */
    std::vector<KnownIncarnation> liveIncarnations() const;

    /** @return the names of the live hosts of a failure domain, this one included where it is in it. */
    std::vector<std::string> liveHosts(const std::string& failureDomain) const;

    /** @return the names of the live hosts but this one. */
    std::vector<std::string> otherLiveHosts() const;

    /** @return all known processes, the dead and departed ones included, this one first. */
    std::vector<KnownIncarnation> knownIncarnations() const;

    /** @return all that this host knows of the others. */
    const MembershipState& state() const { return m_state; }
    const MembershipOptions& options() const { return m_options; }

    /** @return the host of each other failure domain that passes news on in it, as far as one is known. */
    std::vector<std::string> otherRelays() const;

    /** Called with news of backend servers that came in a heartbeat and the size of the datagram. */
    std::function<void(const schema::BackendNewsMessage&, size_t bytes)> onBackendNews;

private:
    void tick();
    void take(const MembershipEvent&);
    void takeMessage(const schema::HeartbeatMessage&);
    void send(const SendMembership&);
    void onChange(const MemberRecord&);
    void tellFeed();

    HostContext& m_context;
    Timers& m_timers;
    PeerCalls& m_calls;
    DatagramSender& m_heartbeats;
    ConfigurationFeedAdapter& m_feed;
    const MembershipOptions m_options;
    MembershipState m_state;
    std::map<std::string, std::string> m_hostsByAddress; /**< Names of the settings' peers by their heartbeat address. */
    MonotonicTime m_settledAt {};
    bool m_changed { true };
};

} // namespace siskinspread
