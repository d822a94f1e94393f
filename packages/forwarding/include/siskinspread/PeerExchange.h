#pragma once

#include "siskinspread/ExchangePace.h"
#include "siskinspread/FleetPlan.h"
#include "siskinspread/Forwarder.h"
#include "siskinspread/ForwardingSettings.h"
#include "siskinspread/HostLog.h"
#include "siskinspread/PeerLoads.h"
#include "siskinspread/StoreNews.h"

#include "forwarding.pb.h"

#include <asio.hpp>

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace siskinspread {

/** What another host has said of itself. */
struct PeerHost {
    asio::ip::udp::endpoint endpoint;
    std::string failureDomain;
    uint64_t incarnation { 0 };
    uint64_t sequence { 0 };
    std::optional<MonotonicTime> listedAt; /**< By the store; it may not have been heard yet. */
    std::optional<MonotonicTime> heardAt;
    std::optional<MonotonicTime> nextAt; /**< When the next message to it is due. */
    std::optional<MonotonicTime> nextNewsAt; /**< When the next one is due that holds only news of the store. */
    KnownRevisions known; /**< Of the store, as it has told. */
    std::optional<MonotonicTime> joinedAt; /**< First message of its incarnation. */
    std::optional<MonotonicTime> wholeSentAt; /**< Last message that held the spending of all customers. */
    std::optional<MonotonicTime> limitsSentAt; /**< Last message that held all limits of replicas that this host was shown, and all reports of crashes. */
    std::optional<MonotonicTime> usageAt; /**< Last message that held its usage. */
    bool spendingKnown { false }; /**< It has told the spending of all customers. */
    bool wantsUsage { false };
    bool stopping { false };
    std::map<std::string, schema::ServiceDemandMessage> services; /**< By name. */
    std::optional<uint64_t> askedProofAt; /**< Its clock, to be sent back with the age of this host's proof. */
    uint64_t askedVersion { 0 };
};

/**
 * Tells the other hosts the state of this one in datagrams and takes in theirs: loads at replicas, demand of customers, counts
 * of usage, and the age of the proof that the configuration is current.
 * Thread safety: loop thread only.
 */
class PeerExchange {
public:
    PeerExchange(asio::io_context&, const ForwardingSettings&, Forwarder&, HostLog&, uint64_t incarnation);

    /** Binds the port. @param reason InvalidSettings when it cannot be bound. */
    bool start(LastReason& reason);

    /** A host that the store lists. One whose address or port is none that datagrams can be sent to is left out. */
    void addPeer(const std::string& host, const std::string& address, uint64_t port);

    /** Sends what is due; to be called every 50 ms or so. */
    void tick(MonotonicTime now);

    /** Whether this host gathers the usage of all hosts; they send it only then. */
    void setGathersUsage(bool gathers) { m_gathersUsage = gathers; }

    /** What goes to and comes from hosts of the same failure domain in addition. */
    struct DomainNews {
        std::function<bool()> isFollowed; /**< Hosts of the domain wait for the news of this one. */
        std::function<void(schema::HostStateMessage&, const KnownRevisions& known)> tell;
        std::function<void(schema::HostStateMessage&)> tellKnown;
        std::function<void(const schema::HostStateMessage&)> apply;
    };
    void setDomainNews(DomainNews news) { m_domainNews = std::move(news); }

    /** Says that this host stops; peers then stop to reckon with it. */
    void announceStop();

    /** @return what all hosts together ask of the replicas of a service. */
    FleetDemand demandOf(const std::string& service) const;
    /** @return whether every host that may be serving has told its usage within this time. */
    bool allUsageHeardSince(std::chrono::nanoseconds within) const;
    /** @return names of hosts heard lately, this one included. */
    std::vector<std::string> liveHosts() const;
    /** @return those of them that are in the same failure domain. */
    std::vector<std::string> liveDomainHosts() const;

    /** Counts of a window by host; of ended incarnations too. */
    using WindowOfHosts = std::map<std::string, WindowCounts>;
    const std::map<int64_t, WindowOfHosts>& usage() const { return m_usage; }
    void forgetUsageBefore(int64_t window);

private:
    void receive();
    void onState(const schema::HostStateMessage&, const asio::ip::udp::endpoint& sender);
    void applyLoads(const schema::HostStateMessage&);
    void applySpending(PeerHost&, const schema::HostStateMessage&, MonotonicTime now);
    void applyProof(const schema::HostStateMessage&);
    void applyUsage(const schema::HostStateMessage&);
    void applyLimits(const schema::HostStateMessage&);
    void applyCrashes(const schema::HostStateMessage&);
    void forgetStopped(const std::string& failureDomain, MonotonicTime now);
    schema::HostStateMessage ownState() const;
    void tellUsage(schema::HostStateMessage&) const;
    void tellSpending(schema::HostStateMessage&, bool whole, MonotonicTime now) const;
    void noteOwnSpending(MonotonicTime now);
    void tellLimits(schema::HostStateMessage&, bool whole) const;
    void tellCrashes(schema::HostStateMessage&, bool whole) const;
    /** Divides replicas' limits among the hosts that may be calling replicas. */
    void reviewLimits(MonotonicTime now);
    /** @return the state as this peer needs it. */
    schema::HostStateMessage stateFor(PeerHost&, const schema::HostStateMessage& state, MonotonicTime now);
    /** Tells a follower of the same failure domain what is new in the store, more often than the whole state. */
    void tellNews(const std::string& host, PeerHost&, MonotonicTime now);
    void tellProof(PeerHost&, schema::HostStateMessage&) const;
    void reviewDomains();
    void tellQuotasWhoWasHeard(MonotonicTime now);
    void sendTo(PeerHost&, const schema::HostStateMessage&);
    std::chrono::milliseconds turnFor(const PeerHost&, MonotonicTime now) const;
    void review(MonotonicTime now);
    bool mayServe(const PeerHost&, MonotonicTime now) const;

    const ForwardingSettings& m_settings;
    Forwarder& m_forwarder;
    HostLog& m_log;
    asio::ip::udp::socket m_socket;
    std::array<char, 65536> m_buffer {};
    asio::ip::udp::endpoint m_sender;
    std::map<std::string, PeerHost> m_peers;
    PeerLoads m_loads;
    struct OwnSpending {
        double spent { 0 };
        MonotonicTime changedAt {};
    };
    std::unordered_map<std::string, OwnSpending> m_ownSpending; /**< By customer. */
    ExchangePace m_pace;
    DomainNews m_domainNews;
    std::map<int64_t, WindowOfHosts> m_usage;
    uint64_t m_incarnation { 0 };
    uint64_t m_sequence { 0 };
    std::optional<MonotonicTime> m_reviewedAt;
    std::optional<MonotonicTime> m_domainsReviewedAt;
    bool m_gathersUsage { false };
    bool m_stopping { false };
};

} // namespace siskinspread
