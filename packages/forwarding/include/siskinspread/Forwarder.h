#pragma once

#include "siskinspread/BootClock.h"
#include "siskinspread/CrashWatch.h"
#include "siskinspread/DomainReach.h"
#include "siskinspread/EngineAdmission.h"
#include "siskinspread/Exchange.h"
#include "siskinspread/ForwardingMetrics.h"
#include "siskinspread/ForwardingSettings.h"
#include "siskinspread/HostLog.h"
#include "siskinspread/ReplicaLimits.h"
#include "siskinspread/RetryBudget.h"
#include "siskinspread/RolloutWatch.h"
#include "siskinspread/SharedQuota.h"
#include "siskinspread/SizeBasedRouting.h"
#include "siskinspread/TrueTime.h"
#include "siskinspread/UsageWindows.h"
#include "siskinspread/WaitOutlook.h"

#include <functional>
#include <list>
#include <map>
#include <random>
#include <unordered_map>
#include <unordered_set>

namespace siskinspread {

/** After which callers of a host that stops come back: another host can take the request at once. */
constexpr std::chrono::milliseconds drainingDelay { 50 };

/** What this host asks of the replicas of one service. */
struct ServiceDemand {
    double promptTokensPerSecond { 0 }; /**< To be computed, smoothed. */
    double requestsPerSecond { 0 }; /**< Of callers, also those that are refused, smoothed. */
    std::optional<MonotonicTime> updatedAt;
};

/**
 * The path of a request: decode, admit, place, send, answer. Decisions are in packages/decisions; this class keeps the state
 * that they need and applies them.
 * Thread safety: loop thread only.
 */
class Forwarder {
public:
    Forwarder(asio::io_context&, const ForwardingSettings&, const PlatformAdapter&, HostLog&, ForwardingMetrics&, TrueTime&);
    /** Gives up what is still open, without answers. */
    ~Forwarder();
    Forwarder(const Forwarder&) = delete;
    Forwarder& operator=(const Forwarder&) = delete;

    /** A configuration is in force from here on for requests that arrive; those that wait are looked at again. */
    void setTable(std::shared_ptr<const RoutingTable>);
    const std::shared_ptr<const RoutingTable>& table() const { return m_table; }

    /** The configuration was current at this instant, as the store or a peer has shown. Never moves back. */
    void setProvenAt(BootTime);
    std::optional<BootTime> provenAt() const { return m_provenAt; }
    /** @return whether keys may still be accepted. */
    bool keysAreCurrent() const;

    /** @param hosts that may be serving, this one included; shares of the retry budget follow it. */
    void setHostCount(size_t hosts) { m_hosts = std::max<size_t>(1, hosts); }

    /** @param silence of a peer after which it is assumed to spend of the customers' limits what others do not know of. */
    void setPeerSilence(std::chrono::milliseconds silence);

    /** From here on streams are refused: they may last longer than what is left of the grace. Idempotent. */
    void refuseStreams() { m_refusesStreams = true; }

    /** From here on requests are refused: what is in progress has the rest of the grace. Idempotent. */
    void beginDraining() { m_draining = true; }

    /**
     * From here on nothing is sent to a replica: another host has more time for it. Requests that have not run are refused as they
     * come to wait, streams that would go on at another replica are broken off. Idempotent.
     */
    void endSending() { m_sendingEnded = true; }

    /** Gives all open requests their final answer. */
    void endOpen();

    /** A whole request of a caller. */
    void accept(ReceivedRequest&&);

    /** Sends waiting requests for which there is a place now, and refuses those that have waited too long. */
    void dispatchWaiting();

    /**
     * A reclaimable replica of the service has said that it leaves. Those of its failure domain are reclaimed together, and some
     * never say so: those with runs that could be moved are asked until the reclaim is over.
     */
    void suspectReclaim(const std::string& service, const std::string& failureDomain);

    /** Refreshes what follows time; to be called every 50 ms or so. */
    void tick(MonotonicTime now);

    ReplicaDirectory& replicas() { return m_replicas; }
    ReplicaLimits& limits() { return m_limits; }
    CrashWatch& crashes() { return m_crashes; }
    RolloutWatch& rollouts() { return m_rollouts; }
    UsageWindows& usage() { return m_usage; }
    size_t openExchanges() const { return m_open.size(); }
    size_t waitingExchanges() const { return m_waiting.size(); }
    std::unordered_map<std::string, SharedQuota>& quotas() { return m_quotas; }
    /** @return what this host asks of the service's replicas now. */
    ServiceDemand demandFor(const std::string& service) const;
    uint32_t waitingFor(std::string_view service) const;

    // For exchanges.
    asio::io_context& context() { return m_context; }
    const ForwardingSettings& settings() const { return m_settings; }
    const PlatformAdapter& adapter() const { return m_adapter; }
    HostLog& log() { return m_log; }
    ForwardingMetrics& metrics() { return m_metrics; }
    void enqueue(const std::shared_ptr<Exchange>&);
    /** Sends a request once more, now or when there is a place. */
    void redispatch(const std::shared_ptr<Exchange>&);
    /** A place at a replica has become free; waiting requests are looked at when the loop comes to it. */
    void placeFreed();
    void remove(const std::shared_ptr<Exchange>&);
    bool claimRetry(const std::string& service);
    void refund(const AdmittedRequest&);
    void countRun(const AdmittedRequest&);
    void noteUnread(const std::string& service, uint32_t tokens);
    const ReplicaHealthOptions& healthOptions() const { return m_healthOptions; }
    bool isServing(const Replica&) const;
    /** Takes in what an answer says of the replica itself, whatever it answers. */
    void noteAnswer(const std::shared_ptr<Replica>&, const ReplicaAnswer&);
    /** An answer of the replica names no limit. @param sentAt when its request was sent. */
    void noteUnlimited(const Replica&, BootTime sentAt);
    /** Another host tells what it knows of a replica's limit. @param source for the log. */
    void noteLimit(uint64_t identity, const LimitEvidence&, std::string_view source);
    /** Another host tells how long work usually takes at a replica. */
    void noteWorkFactorTold(uint64_t identity, double usual);
    /** An incarnation leaves, as it or a peer has said; it is sent nothing new. @param source for the log. */
    void noteLeaving(uint64_t identity, std::string_view source);
    /** Asks a replica whether and when it leaves, unless it was asked lately. */
    void askState(const std::shared_ptr<Replica>&, MonotonicTime now);
    /** @return a replica with a place for a run that another one cannot finish. */
    std::shared_ptr<Replica> moveTarget(Exchange&);
    DomainReach& reachOf(const std::string& failureDomain) { return m_reach[failureDomain]; }

private:
    std::optional<AdmittedRequest> admit(ReceivedRequest&&);
    const Customer* identify(AdmittedRequest&, bool& refused);
    std::optional<std::chrono::milliseconds> overQuota(AdmittedRequest&);
    QuotaLimit limitOf(const Customer&) const;
    void refreshQuotas(MonotonicTime now);
    /** A caller asks for the service, whatever becomes of the request. */
    void noteAsked(const std::string& service);
    /** Ends a request whose prompt may crash replicas. @return whether it did. */
    bool endSuspected(const std::shared_ptr<Exchange>&);
    void reviewCrashes();
    /** @return whether the request was sent or answered; otherwise it waits. */
    bool dispatch(const std::shared_ptr<Exchange>&);
    static EngineRequest engineRequest(const Exchange&, const Placement&, const std::vector<PlacementCandidate>&, MonotonicTime now);
    void reviewReach(MonotonicTime now);
    void noteReportedLoad(Replica&, const ReplicaAnswer&);
    void noteState(Replica&, const ReplicaState&, MonotonicTime askedAt);
    /** Prefers the replicas for prompts of this size where the replicas tell how long work takes at them. */
    void preferBySize(const Exchange&, const std::vector<std::shared_ptr<Replica>>&, std::vector<PlacementCandidate>&);
    void noteSize(const AdmittedRequest&);
    void smoothQueues(MonotonicTime now);
    std::vector<PlacementCandidate> placementCandidates(const Exchange&, const std::vector<std::shared_ptr<Replica>>&, MonotonicTime now) const;
    std::vector<std::shared_ptr<Replica>> candidatesFor(Exchange&, MonotonicTime now);
    /** What a request that no replica can take now may hope for. */
    WaitOutlook outlookFor(const std::shared_ptr<Exchange>&, MonotonicTime now);
    uint64_t waitingAhead(const std::shared_ptr<Exchange>&) const;
    void onLimitChanged(uint64_t identity, std::string_view source);
    void refuse(const ReceivedRequest&, std::string_view attemptId, ResultCode, int status, std::chrono::milliseconds retryAfter, std::string_view why);
    std::chrono::milliseconds comeBackAfter(const Exchange&) const;
    static std::chrono::milliseconds spreadOf(const Exchange&);
    static std::chrono::milliseconds patienceOf(const Exchange&);
    /** Refuses a request for which waiting can bring nothing in time. @return whether it did. */
    bool refuseHopeless(const std::shared_ptr<Exchange>&, MonotonicTime now);

    asio::io_context& m_context;
    const ForwardingSettings& m_settings;
    const PlatformAdapter& m_adapter;
    HostLog& m_log;
    ForwardingMetrics& m_metrics;
    TrueTime& m_time;
    std::shared_ptr<const RoutingTable> m_table;
    std::optional<BootTime> m_provenAt;
    ReplicaDirectory m_replicas;
    ReplicaLimits m_limits;
    CrashWatch m_crashes;
    RolloutWatch m_rollouts;
    std::unordered_map<std::string, SharedQuota> m_quotas; /**< By customer. */
    std::unordered_map<std::string, RetryBudget> m_retries; /**< By service. */
    std::unordered_map<std::string, ServiceDemand> m_demands; /**< By service. */
    UsageWindows m_usage;
    std::unordered_set<std::shared_ptr<Exchange>> m_open;
    std::list<std::shared_ptr<Exchange>> m_waiting; /**< Most urgent first, then oldest first. */
    std::unordered_map<std::string, DomainReach> m_reach; /**< By failure domain. */
    std::unordered_set<std::string> m_doubted; /**< Failure domains whose paths are doubted. */
    DomainReachOptions m_reachOptions;
    PlacementOptions m_placement;
    EngineAdmissionOptions m_engineAdmission;
    ReplicaHealthOptions m_healthOptions;
    WorkFactorOptions m_workFactorOptions;
    SizeRoutingOptions m_sizeOptions;
    std::unordered_map<std::string, SizeMix> m_sizeMixes; /**< By service. */
    MonotonicTime m_queuesSmoothedAt {};
    SharedQuotaOptions m_quotaOptions;
    std::mt19937_64 m_random { std::random_device {}() };
    std::map<uint64_t, std::shared_ptr<ReplicaCall>> m_stateCalls; /**< Questions that are not answered yet. */
    uint64_t m_lastStateCall { 0 };
    uint64_t m_sequence { 0 };
    MonotonicTime m_quotasRefreshedAt {};
    size_t m_hosts { 1 };
    bool m_dispatchPosted { false };
    bool m_refusesStreams { false };
    bool m_draining { false };
    bool m_sendingEnded { false };
};

} // namespace siskinspread
