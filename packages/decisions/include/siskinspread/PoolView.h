#pragma once

#include "siskinspread/RoutingPrefix.h"
#include "siskinspread/Time.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace siskinspread {

/** Where a backend server is in its life. Only a live one receives new work. */
enum class BackendStatus : uint8_t {
    Joining,
    Live,
    Leaving,
    Gone,
};

/** Load that a backend server reported about itself. It reaches the entry host late. */
struct BackendLoadReport {
    MonotonicTime sampledAt {}; /**< When the values were read, on this host's clock: arrival less the known age. */
    uint32_t running { 0 }; /**< Requests in the batch. */
    uint32_t waiting { 0 }; /**< Requests queued in front of the batch. */
    uint32_t slots { 0 }; /**< Requests that the batch holds at most; 0 when not known. */
    uint64_t queuedPromptTokens { 0 }; /**< Prompt tokens accepted and not yet computed. */
};

/** Change of this host's own use of a backend server, kept until a report covers it. */
struct OwnLoadChange {
    MonotonicTime at;
    int32_t requests { 0 }; /**< +1 for a dispatch, -1 for an end. */
    int64_t promptTokens { 0 }; /**< Estimate of the prompt tokens that the dispatch made the server compute. */
};

/** Exponentially weighted mean of a latency. */
struct LatencyMean {
    std::chrono::microseconds mean { 0 };
    uint32_t samples { 0 }; /**< Saturates; the mean counts once it reaches PoolOptions::minimumSamples. */
    MonotonicTime lastAt;
};

/** What is fixed about a backend server, from the configuration. */
struct BackendServerDescription {
    std::string name {};
    std::string failureDomain {};
    double pricePerHour { 0 };
    std::chrono::microseconds oneWayDelay { 0 }; /**< Network delay from this host; 0 inside its own failure domain. */
    uint32_t defaultSlots { 16 }; /**< Used until a report says otherwise; above zero. */
};

/** One backend server as this entry host sees it. */
struct BackendServerView {
    BackendServerDescription description;
    // What every decision reads stands together, for the processor's cache.
    uint64_t nameHash { 0 };
    double slowness { 1.0 }; /**< Mean between tokens relative to the pool's median; 1 unless slow, see refreshPoolView. */
    BackendStatus status { BackendStatus::Joining };
    bool reachable { true }; /**< False while this host cannot connect, for example across a network partition. */
    MonotonicTime liveSince;
    std::optional<BackendLoadReport> report;
    std::vector<OwnLoadChange> changesSinceReport;
    uint32_t ownInFlight { 0 };
    LatencyMean firstToken;
    LatencyMean betweenTokens;
};

/** Constants of the view. */
struct PoolOptions {
    std::chrono::milliseconds reportLifetime { 10000 }; /**< An older report is not used. */
    std::chrono::milliseconds latencyLifetime { 10000 }; /**< An older latency mean is not used, so a relieved server is tried again. */
    std::chrono::milliseconds slowStart { 20000 }; /**< Time over which a new live server reaches its full share. */
    double slowStartFloor { 0.2 }; /**< Share at the beginning of slow start, above zero. */
    double latencyGain { 0.2 }; /**< Weight of a new sample in a latency mean, in (0, 1]. */
    uint32_t minimumSamples { 5 };
    double prefillTokensPerSecond { 8000 }; /**< Prompt tokens that a backend server computes in a second, above zero. */
    double othersShare { 0.2 }; /**< Part of what the other hosts probably did that is added to this host's own changes; 0 to 1. */
    double slowTolerance { 1.8 }; /**< A server counts as slow from this multiple of the pool's median on. */
};

/** Sums over the servers that receive new work, at the last refresh of the view. */
struct PoolTotals {
    double load { 0 };
    double slots { 0 };
    double meanPrice { 0 };
};

/** All backend servers of one service as one entry host sees them. Plain data: the owner serialises access. */
struct PoolView {
    PoolOptions options;
    uint32_t entryHosts { 1 }; /**< Live entry hosts that share this pool, at least 1. */
    std::vector<BackendServerView> servers;
    std::unordered_map<std::string, size_t> indexByName;
    std::unordered_map<uint64_t, size_t> indexByNameHash;
    PoolTotals totals;
    PrefixPopularity popularity;
    CachedPrefixes cachedPrefixes;
};

/** Estimated use of one backend server by all entry hosts together. */
struct EstimatedLoad {
    double requests { 0 };
    double queuedPromptTokens { 0 };
};

/**
 * Adds a backend server as joining, or updates the description of one that is known.
 * @return its index, valid until removeGoneServers. Thread safety: as PoolView.
 */
size_t upsertBackendServer(PoolView& view, const BackendServerDescription& description);

/** @return the server of that name or null. Invalidated by upsertBackendServer and removeGoneServers. */
BackendServerView* findBackendServer(PoolView& view, std::string_view name);

/** Sets the status. A change to live begins slow start. Thread safety: as PoolView. */
void setBackendStatus(BackendServerView& server, BackendStatus status, MonotonicTime now);

/** Forgets the servers that are gone and have no request of this host in progress. */
void removeGoneServers(PoolView& view);

/** Takes a load report. An older report than the one held is ignored. */
void applyLoadReport(BackendServerView& server, const BackendLoadReport& report);

/**
 * Records that this host dispatched a request.
 * @param computedPromptTokens prompt tokens that the server probably computes for it (RouteChoice::missingTokens).
 */
void recordDispatch(BackendServerView& server, uint32_t computedPromptTokens, MonotonicTime now);

/** Records the end, however it came, of a request that was recorded as dispatched. */
void recordFinish(BackendServerView& server, MonotonicTime now);

/** Records the time from dispatch to first token. */
void recordFirstToken(BackendServerView& server, const PoolOptions& options, std::chrono::microseconds latency, MonotonicTime now);

/** Records the mean time between tokens of one answer or of a part of one. */
void recordBetweenTokens(BackendServerView& server, const PoolOptions& options, std::chrono::microseconds latency, MonotonicTime now);

/** @return whether new work may go to the server at all: live, reachable and not among the excluded names. */
inline bool mayReceive(const BackendServerView& server, std::span<const std::string> excluded)
{
    const bool usable = server.status == BackendStatus::Live && server.reachable;
    return usable && (excluded.empty() || std::find(excluded.begin(), excluded.end(), server.description.name) == excluded.end());
}

/** @return the sums over the servers that may receive a request with these exclusions. */
PoolTotals sumPool(const PoolView& view, std::span<const std::string> excluded, MonotonicTime now);

/**
 * Recomputes `slowness` of every server and `totals`, and drops changes that are too old to matter. Call it every few hundred
 * milliseconds. Thread safety: as PoolView.
 */
void refreshPoolView(PoolView& view, MonotonicTime now);

/**
 * Last report plus what this host has dispatched and finished since, and a part of what the other hosts probably
 * have. Queued prompt tokens drain at the server's rate from the time of the report on. Without a usable report: this
 * host's requests in progress times the number of hosts.
 */
EstimatedLoad estimateLoad(const PoolView& view, const BackendServerView& server, MonotonicTime now);

/**
 * Requests that the server carries at full batch, reduced while it is in slow start and when it is slow.
 * Zero for a server that receives no new work.
 */
double usableSlots(const PoolView& view, const BackendServerView& server, MonotonicTime now);

/**
 * Requests that the pool carries, for its admission limit: usable slots, with slow start counted against the server that is
 * furthest in it. So a returning server counts little, and a pool of which this host has just learned counts whole.
 */
double poolSlots(const PoolView& view, MonotonicTime now);

} // namespace siskinspread
