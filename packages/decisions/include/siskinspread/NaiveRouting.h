#pragma once

#include "siskinspread/Routing.h"

namespace siskinspread {

/** Position of the round robin. */
struct RoundRobinState {
    size_t next { 0 };
};

/** Takes the usable servers in turn. The references of the differential tests and of the benchmark; not for use. */
std::optional<RouteChoice> chooseRoundRobin(const PoolView& view, const RouteRequest& request, RoundRobinState& state, MonotonicTime now, LastReason& reason);

/** Takes the usable server with the least load in its last report; equal ones are ordered by the request's seed. */
std::optional<RouteChoice> chooseLeastReportedLoad(const PoolView& view, const RouteRequest& request, MonotonicTime now, LastReason& reason);

/**
 * Takes the less loaded, by last report, of two servers drawn by the request's seed (Mitzenmacher, "The Power of Two
 * Choices in Randomized Load Balancing", 2001).
 */
std::optional<RouteChoice> chooseLeastOfTwo(const PoolView& view, const RouteRequest& request, MonotonicTime now, LastReason& reason);

/** Takes the first usable server in rendezvous order of the first `keyBlocks` (above zero) blocks, whatever its load. */
std::optional<RouteChoice> choosePlainPrefixHash(const PoolView& view, const RouteRequest& request, size_t keyBlocks, MonotonicTime now, LastReason& reason);

} // namespace siskinspread
