#pragma once

#include "siskinspread/LastReason.h"
#include "siskinspread/PoolView.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace siskinspread {

/** What a user weighs, from the service file; both zero or more. */
struct RoutingWeights {
    double latencyBoundCost { 1.0 };
    double recomputedTokens { 1.0 };
};

/** Constants of the choice. */
struct RoutingOptions {
    RoutingWeights weights;
    double loadBound { 1.25 }; /**< A server's load relative to its share of the pool's, above 1. */
    double comfortableUse { 1.0 }; /**< Part of the usable slots below which a server is never over its bound. */
    uint32_t instructionTokens { 0 }; /**< Beginning that many conversations of a service share; any server may hold it. */
    double replicaSlack { 0.4 }; /**< Servers for a prefix relative to its share of the work. */
    std::chrono::milliseconds firstTokenTarget { 1400 }; /**< The service's latency target. */
    double cheapPart { 0.4 }; /**< Part of the target up to which time to first token costs little. */
    double cheapLatency { 0.2 }; /**< Cost of that time relative to the time beyond it. */
    std::chrono::milliseconds expectedBetweenTokens { 30 };
    std::chrono::milliseconds priceSpread { 20 }; /**< Latency given up for a server at half the pool's mean price. */
    uint32_t expectedOutputTokens { 200 }; /**< For estimating how long a queued request waits for a slot. */
    size_t fullScan { 64 };
    size_t sample { 24 }; /**< Servers drawn from a larger pool. */
    std::chrono::milliseconds fullBatchCost { 100 }; /**< Latency that a full batch costs against an empty one. */
    double unseenCredit { 0.5 }; /**< Part of a block never seen by this host that its home is credited with. */
    std::chrono::milliseconds tieSpread { 2 }; /**< Costs closer than this are ordered by the request's seed. */
};

/** One request to be routed. The spans must outlive the call. */
struct RouteRequest {
    std::span<const PrefixBlock> blocks {}; /**< Empty for a plain service. */
    uint32_t tokensPerBlock { 64 };
    uint32_t promptTokens { 0 };
    MonotonicTime deadline {};
    std::span<const std::string> excluded {}; /**< Names of servers already tried. */
    uint64_t seed { 0 }; /**< Differs from request to request; spreads equal choices. */
};

/** The chosen backend server. */
struct RouteChoice {
    size_t index { 0 }; /**< Into PoolView::servers. */
    uint32_t missingTokens { 0 }; /**< Prompt tokens that it probably has to compute. */
    std::chrono::microseconds expectedFirstToken { 0 };
    bool overBound { false }; /**< Every usable server was over its bound. */
    bool operator==(const RouteChoice&) const = default;
};

/**
 * @param slots usableSlots of the server. @param poolLoad estimated requests of all usable servers. @param poolSlots
 * their usable slots. @return the requests that the server may hold before others with room are preferred. Reentrant.
 */
double boundedLoadLimit(double slots, double poolLoad, double poolSlots, const RoutingOptions& options);

/**
 * Chooses a backend server for a request. Pure: equal arguments give an equal choice.
 *
 * 1. Nested rendezvous: along the prompt's blocks, a block that carries the share p of the work narrows the set of
 *    homes to the first ceil(p * servers * slack) in rendezvous order. Hot beginnings keep many homes, rare ones one, and
 *    every entry host finds the same without talking to another.
 * 2. Bounded load (Mirrokni, Thorup, Zadimoghaddam, "Consistent Hashing with Bounded Loads", 2018): a server over its
 *    bound is not chosen while another one has room.
 * 3. Of the rest the lowest weighted cost of waiting, computing the missing tokens, distance, price and deadline.
 *
 * A pool of up to `fullScan` servers is weighed whole. Of a larger one the homes, the servers with cache hints and a
 * sample drawn by the seed are weighed against the totals of the last refresh, and all servers only when none of those
 * is inside its bound.
 *
 * @param reason set to DeadlineExpired or NoBackendServer. Thread safety: as PoolView.
 */
std::optional<RouteChoice> chooseBackendServer(const PoolView& view, const RouteRequest& request, const RoutingOptions& options, MonotonicTime now, LastReason& reason);

/** The same choice by sorting and without shortcuts, several times slower: what chooseBackendServer is compared with. */
std::optional<RouteChoice> chooseBackendServerPlainly(const PoolView& view, const RouteRequest& request, const RoutingOptions& options, MonotonicTime now, LastReason& reason);

} // namespace siskinspread
