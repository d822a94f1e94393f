#pragma once

#include "siskinspread/DutyLease.h"
#include "siskinspread/FleetPlan.h"
#include "siskinspread/Forwarder.h"
#include "siskinspread/PeerExchange.h"
#include "siskinspread/StoreCalls.h"
#include "siskinspread/TrueTime.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>

namespace siskinspread {

/**
 * The duties of one host at a time: reports of usage, orders for replicas, and moves of services to other versions. Holds them by a lease in the store, whose number
 * goes with each call, and checks it before each.
 * Thread safety: loop thread only.
 */
class DutyDesk {
public:
    DutyDesk(const ForwardingSettings&, const PlatformAdapter&, Forwarder&, PeerExchange&, StoreCalls&, HostLog&, TrueTime&, uint64_t incarnation);

    /** To be called every 50 ms or so. */
    void tick();

    /** Gives the duties back at a planned stop. */
    void release();

private:
    /** A window whose counts are decided and that has to be reported. */
    struct DecidedWindow {
        WindowCounts counts;
        bool reported { false };
        bool open { false }; /**< The report is on its way. */
    };
    struct OrderKey {
        std::string service;
        std::string domain;
        bool reclaimable { false };
        bool operator<(const OrderKey& other) const { return std::tie(service, domain, reclaimable) < std::tie(other.service, other.domain, other.reclaimable); }
    };
    struct OrderState {
        uint32_t asked { 0 };
        uint32_t serving { 0 }; /**< When this was last looked at. */
        bool known { false };
        bool unavailable { false }; /**< The last order was refused, since no more are available. */
        bool open { false };
        MonotonicTime at {};
        MonotonicTime retryAt {};
    };

    void stepLease(const LeaseEvent&);
    void perform(const LeaseAction&);
    void readLease();
    void writeLease(const WriteLease&);
    std::optional<DutyStamp> stamp() const;
    /** A call in the name of the duties, which ends with them. */
    void startDutyCall(std::string_view purpose, StartTransfer, StoreCalls::Answered);
    void cancelDutyCalls();

    void tickUsage();
    void readUsage();
    void adoptDecided(const std::string& name, const nlohmann::json& counts);
    void decideWindow(int64_t window);
    void writeUsage();
    void reportWindow(int64_t window, DecidedWindow&);
    WindowCounts countsOf(int64_t window) const;

    void tickRollouts();
    void act(RolloutRecord&, const RolloutStep&);
    void writeRollout(const RolloutRecord&, RolloutState);
    std::chrono::milliseconds longestRequestOf(const std::string& service) const;

    void tickFleet();
    void planService(const ServiceProfile&, MonotonicTime now);
    bool isSettled(const std::string& service, uint32_t serving, const FleetDemand&, MonotonicTime now);
    void keepUntilReplaced(const std::string& service, uint32_t needed, std::vector<DomainOrder>& orders) const;
    uint32_t servingAt(const OrderKey&) const;
    void order(const OrderKey&, uint32_t replicas, MonotonicTime now);

    const ForwardingSettings& m_settings;
    const PlatformAdapter& m_adapter;
    Forwarder& m_forwarder;
    PeerExchange& m_peers;
    StoreCalls& m_calls;
    HostLog& m_log;
    TrueTime& m_time;

    LeaseOptions m_leaseOptions;
    LeaseState m_lease;
    bool m_held { false };
    std::set<TransferId> m_dutyCalls; /**< That are open. */

    std::optional<uint64_t> m_usageRevision; /**< Of the document with the decided windows; empty until it was read. */
    bool m_usageCallOpen { false };
    bool m_usageAbsent { false };
    std::map<int64_t, DecidedWindow> m_windows;
    std::set<int64_t> m_unwritten; /**< Decided here, and not known to be in the store. */
    std::optional<int64_t> m_firstWindow; /**< The first that began after this deployment did. */

    std::set<std::string> m_rolloutCalls; /**< Services whose state is being written. */
    std::map<std::string, MonotonicTime> m_rolloutRetryAt; /**< By service, after a write that failed. */

    FleetPlanOptions m_fleetOptions;
    std::map<OrderKey, OrderState> m_orders;
    MonotonicTime m_fleetAt {};
    std::map<std::string, MonotonicTime> m_lowSince; /**< By service: since when fewer replicas would do. */
    std::map<std::string, uint32_t> m_needed;
    struct Settling {
        uint32_t replicas { 0 };
        MonotonicTime since {};
        bool done { false };
    };
    std::map<std::string, Settling> m_settling; /**< By service. */
};

} // namespace siskinspread
