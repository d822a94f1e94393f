#pragma once

#include "siskinspread/ResultCode.h"

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

namespace siskinspread {

/** Why this host sent a request once more. */
enum class RepeatCause : uint8_t {
    NotArrived, /**< Nothing was sent, so this is no retry in the caller's sense. */
    NotExecuted,
    Failed,
    StreamContinued,
    StreamMoved,
};

/** Counters and latency histograms of a forwarding host (prometheus-cpp). Thread safety: any thread. */
class ForwardingMetrics {
public:
    ForwardingMetrics(std::string_view host, std::string_view failureDomain);
    ~ForwardingMetrics();
    ForwardingMetrics(const ForwardingMetrics&) = delete;
    ForwardingMetrics& operator=(const ForwardingMetrics&) = delete;

    void countAnswer(int status, ResultCode result);
    void countRepeat(RepeatCause cause);
    /** @param end what is known of an order to stop a run, such as "stopped". */
    void countStopOrder(std::string_view end);
    void countNewConnection();
    /** @param reason connections, memory or large_bodies. */
    void countShedConnection(std::string_view reason);
    /** A replica has said something of its load. @param believed whether it was readable and in range. */
    void countLoadReport(bool believed);
    /** An answer during a rollout. @param result answered, slow or failed. */
    void countRolloutAnswer(bool ofCandidate, std::string_view result);
    /** This host has learnt of another state of a rollout. */
    void countRolloutState(std::string_view state);
    void countStoreCall(std::string_view purpose, bool answered);
    void observeFirstByte(std::chrono::microseconds time);
    void observeWhole(std::chrono::microseconds time);
    void observeWaiting(std::chrono::microseconds time);
    void setConfigurationVersion(uint64_t version);
    /**
     * Of the configuration in force. @param required requests on routes that are not public need a key. @param withKeys customers that
     * hold one. @param unusable entries in the list of customers that cannot be used.
     */
    void setCustomers(bool required, size_t withKeys, size_t unusable);
    void setReplicas(size_t count);
    /** @param count of replicas that have named a limit. */
    void setReplicasLimited(size_t count);
    void setPartsSuspected(size_t count);
    void setPeers(size_t count);
    /** @param feed configuration, replicas, rollouts or hosts. */
    void setListIncomplete(std::string_view feed, bool incomplete);
    void setLogLinesLeftOut(uint64_t lines);

    /** @return all series in the text format of Prometheus. */
    std::string text() const;

private:
    struct Series;
    std::unique_ptr<Series> m_series;
};

} // namespace siskinspread
