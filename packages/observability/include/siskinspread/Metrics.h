#pragma once

#include "siskinspread/ResultCode.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace siskinspread {

/** What a call to the platform was made for. */
enum class StorePurpose : uint8_t {
    Configuration,
    Watch,
    IncarnationLog,
    SliceMap,
    DutyLease,
    Status,
    HostList,
    CloudApi,
};

/** How a call to the platform ended. */
enum class StoreOutcome : uint8_t {
    Answered, /**< The platform did what was asked. */
    Conflict, /**< A condition of the call did not hold. */
    Unavailable, /**< No answer, or one that says that the platform cannot answer. */
};

/** Whom a reclaim notice of the cloud API is about. */
enum class NoticeSubject : uint8_t {
    OwnHost,
    OtherHost,
};

/** A ring between two threads of the daemon, named after its two ends. */
enum class Ring : uint8_t {
    CallersToDecide,
    DecideToCallers,
    BackendServersToDecide,
    DecideToBackendServers,
    PlatformToDecide,
    DecideToPlatform,
    PeersToDecide,
    DecideToPeers,
    ToLog,
};

/** How a question for a backend server's load ended. */
enum class ProbeOutcome : uint8_t {
    Reached,
    Unreached,
    Malformed, /**< Something answered, but not with a load report; counts as unreached. */
};

/** How an order to an engine ended. */
enum class EngineOrderOutcome : uint8_t {
    Accepted,
    FencingRefused, /**< The engine has seen a higher fencing number. */
    Failed, /**< Answered with an error, or never sent. */
    Unanswered, /**< May have taken effect. */
    LeaseLost, /**< Not sent: the lease was no longer held. */
};

/** How a read of what an engine has loaded ended. */
enum class EngineReadOutcome : uint8_t {
    Answered,
    Unanswered,
    Unreadable, /**< Something answered, but not with the state of an engine. */
};

/** Which way a datagram went. */
enum class NewsDirection : uint8_t {
    Sent,
    Received,
};

/** Options of the metrics of a process; host and failure domain become labels of every series. */
struct MetricsOptions {
    std::string host {};
    std::string failureDomain {};
};

/** Distinct services that have series of their own; those that come later are counted as "other". */
inline constexpr size_t maxServiceLabels = 256;

/**
 * Counters and gauges of one process, kept by prometheus-cpp. Series whose labels are known beforehand exist from the
 * start with the value 0. docs/OBSERVABILITY.md describes each.
 *
 * Thread safety: every member may be called from any thread.
 */
class Metrics {
public:
    explicit Metrics(MetricsOptions options);
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    /** Counts a request or operation that was refused for this reason. Thread safety: any thread. */
    void countRefusal(ResultCode reason);

    /** Counts one further attempt, by the reason why the attempt before it failed. Thread safety: any thread. */
    void countRetry(ResultCode reason);

    /**
     * Counts a request that has its final result.
     * @param service a service of the configuration in force; empty when the request named none.
     * Thread safety: any thread.
     */
    void countRequest(std::string_view service, ResultCode result);

    /** Adds `change` to the number of open requests. Thread safety: any thread. */
    void changeOpenRequests(int change);

    /** Counts one call to the platform. Thread safety: any thread. */
    void countStoreCall(StorePurpose purpose, StoreOutcome outcome);

    /** Counts a message that a full ring refused. Thread safety: any thread. */
    void countRingRefusal(Ring ring);

    /** Counts a question for a backend server's load. Thread safety: any thread. */
    void countBackendProbe(ProbeOutcome outcome);

    /** Counts a datagram with news of backend servers and its bytes. Thread safety: any thread. */
    void countBackendNews(NewsDirection direction, size_t bytes);

    /** Counts an order to an engine. Thread safety: any thread. */
    void countEngineOrder(EngineOrderOutcome outcome);

    /** Counts a read of what an engine has loaded. Thread safety: any thread. */
    void countEngineRead(EngineReadOutcome outcome);

    /** Counts a server that this host took out of routing for a change, by whether all live hosts had confirmed. Thread safety: any thread. */
    void countServerHold(bool confirmed);

    /** Sets whether this host holds the lease for the engines of its failure domain. Thread safety: any thread. */
    void setDutyHeld(bool held);

    /** Counts any datagram to or from another entry host and its bytes. Thread safety: any thread. */
    void countDatagram(NewsDirection direction, size_t bytes);

    /** Counts tokens that were passed on to a caller. Thread safety: any thread. */
    void countTokensDelivered(std::string_view service, uint64_t tokens);

    /** Counts tokens, of prompt or answer, that a backend server had to compute again. Thread safety: any thread. */
    void countTokensRecomputed(std::string_view service, uint64_t tokens);

    /** Sets the revision of the configuration in force. Thread safety: any thread. */
    void setConfigurationRevision(uint64_t revision);

    /** Counts a reclaim notice that this host learned of for the first time. Thread safety: any thread. */
    void countReclaimNotice(NoticeSubject subject);

    /** Notes that the planned stop of this host has begun. Thread safety: any thread. */
    void setDraining();

    /** @return all series in the text format of Prometheus, version 0.0.4. Thread safety: any thread. */
    std::string metricsText() const;

private:
    struct Series;
    std::unique_ptr<Series> m_series;
};

} // namespace siskinspread
