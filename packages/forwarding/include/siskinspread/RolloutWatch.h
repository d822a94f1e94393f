#pragma once

#include "siskinspread/BootClock.h"
#include "siskinspread/ForwardingMetrics.h"
#include "siskinspread/ForwardingSettings.h"
#include "siskinspread/HostLog.h"
#include "siskinspread/PlatformAdapter.h"
#include "siskinspread/ReplicaDirectory.h"
#include "siskinspread/Rollout.h"

#include "forwarding.pb.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace siskinspread {

/** An order as this host knows it. */
struct RolloutRecord {
    RolloutOrder order;
    std::string document; /**< Name of its entry in the store. */
    uint64_t revision { 0 }; /**< Of the entry. */
    RolloutState state { RolloutState::Ordered };
    BootTime seenAt; /**< When the first host saw the order, as far as it is known. */
    uint64_t key { 0 }; /**< Hash of the order; the same on all hosts. */
    double share { 0 }; /**< Of its requests, that this host sends to the candidate while the order is open. */
    uint64_t fencingNumber { 0 }; /**< Of the host that has set the share. */
    MonotonicTime steppedAt {}; /**< When the share was last changed. */
    RolloutEvidence own;
    std::map<std::string, RolloutEvidence> ofPeers; /**< By host and incarnation; of ended incarnations too. */
    std::map<std::string, double> sharesOfPeers; /**< By host, as last told. */
    std::optional<RolloutFault> fault;
    CanaryCredit credit;
    std::map<MeasuredPart, UsualTime> usual; /**< Of the version before. */
    std::set<std::string> notProven; /**< Versions of orders that this one has replaced before they were complete. */
};

/**
 * Follows the orders to move services to another version, keeps what became of requests at both, and chooses which replicas a request
 * may go to. What it decides is in Rollout.h. Without such orders, and where the settings name no share for canaries, it changes nothing.
 * Thread safety: loop thread only.
 */
class RolloutWatch {
public:
    RolloutWatch(const ForwardingSettings&, HostLog&, ForwardingMetrics&);

    // From the store.
    /** @return whether orders have to be read: a service has, or may have, replicas of several versions. Stays true from then on. */
    bool needsOrders() const { return m_needsOrders; }
    void applyOrder(const std::string& document, uint64_t revision, const RolloutDocument&);
    void removeOrder(const std::string& document);
    /** All orders that the store holds are known. */
    void noteListed() { m_listed = true; }
    /** Whether there may be replicas, and so versions, that the store has not shown. */
    void setMayLackReplicas(bool mayLack, const ReplicaDirectory& known);
    /** Replicas have come, or started again as others. Looks at all of them, so it is called on changes only. */
    void noteReplicas(const ReplicaDirectory&);
    /** Judges the versions on trial. To be called every 50 ms or so. */
    void review();

    // On the path of a request.
    /**
     * @param canary of the request; drawn with its first attempt.
     * @return those of the service's replicas to which a request may go; nothing where rollouts do not restrict it.
     */
    std::optional<std::vector<std::shared_ptr<Replica>>> allowed(const std::string& service, const std::vector<std::shared_ptr<Replica>>&, bool isFirstAttempt, std::optional<bool>& canary);
    /** An answer has begun, `took` after the request was sent. */
    void noteAnswer(const Replica&, const std::string& route, std::chrono::microseconds took);
    /** An answer has ended well, `took` after the request was sent. */
    void noteEnd(const Replica&, const std::string& route, std::chrono::microseconds took);
    /** An answer failed, or its replica broke it off. @param hasBegun noteAnswer has been called for it. */
    void noteFailure(const Replica&, const std::string& route, bool hasBegun, bool brokenOff);

    // Between hosts.
    /** @param hears whether this host hears others, or there are none. */
    void setHearsPeers(bool hears) { m_hearsPeers = hears; }
    void tell(schema::HostStateMessage&) const;
    void apply(const schema::HostStateMessage&);

    // For the host that has the duty.
    std::map<std::string, RolloutRecord>& orders() { return m_orders; }
    bool hasOrders() const { return !m_orders.empty(); }
    RolloutProgress progressOf(const RolloutRecord&, const ReplicaDirectory&, const std::vector<std::string>& liveHosts, std::chrono::milliseconds longestRequest) const;
    void move(RolloutRecord&, double share, uint64_t fencingNumber);
    void setState(RolloutRecord&, RolloutState);
    const RolloutOptions& options() const { return m_options; }

private:
    RolloutRecord* openOrder(const std::string& service);
    VersionAnswers* answersOf(RolloutRecord&, const Replica&, const MeasuredPart&) const;
    void compareTime(RolloutRecord&, VersionAnswers&, const Replica&, const MeasuredPart&, std::chrono::microseconds took) const;
    bool stoodStillSince(MonotonicTime) const;
    bool isNewVersion(const Replica&, MonotonicTime now) const;
    std::optional<std::vector<std::shared_ptr<Replica>>> ofKnownVersion(const std::string& service, const std::vector<std::shared_ptr<Replica>>&) const;
    std::optional<std::vector<std::shared_ptr<Replica>>> withoutNewVersions(const std::vector<std::shared_ptr<Replica>>&) const;
    double shareOf(const RolloutRecord&) const;
    void judge(RolloutRecord&);
    void keepAhead(const schema::RolloutMessage&);
    void takeOver(RolloutRecord&, const schema::RolloutMessage&, const std::string& host);

    const ForwardingSettings& m_settings;
    HostLog& m_log;
    ForwardingMetrics& m_metrics;
    RolloutOptions m_options;
    std::map<std::string, RolloutRecord> m_orders; /**< By service. */
    /** By service and key: notProven of orders, as others have told it since this host last read one of the service. */
    std::unordered_map<std::string, std::map<uint64_t, std::set<std::string>>> m_unprovenAhead;
    std::unordered_map<std::string, std::string> m_soleVersions; /**< By service: the version of all replicas, as long as there was one. */
    /** By service and version: when its first replica came; zero for what was there before the orders were read. */
    std::unordered_map<std::string, std::map<std::string, MonotonicTime>> m_versions;
    MonotonicTime m_reviewedAt {};
    MonotonicTime m_stoodStillUntil {}; /**< When the loop last went on after a pause. */
    std::unordered_map<uint64_t, MonotonicTime> m_brokenOffAt; /**< By replica. */
    bool m_needsOrders { false };
    bool m_listed { false };
    bool m_mayLackReplicas { false };
    bool m_hearsPeers { true };
};

} // namespace siskinspread
