#pragma once

#include "siskinspread/Routing.h"

#include <span>
#include <string>
#include <vector>

/** @file The backend servers that a non-repeatable request may be sent to: chosen before its intent is recorded, which names them. */

namespace siskinspread {

/** @return names of at most `count` servers, best first; empty when none can take the request. Thread safety: as PoolView. */
std::vector<std::string> chooseCandidates(const PoolView& view, const RouteRequest& request, const RoutingOptions& options, size_t count, MonotonicTime now);

/** @return the index into PoolView::servers of the first candidate that is usable now and not excluded. Thread safety: as PoolView. */
std::optional<size_t> firstUsable(const PoolView& view, std::span<const std::string> candidates, std::span<const std::string> excluded, MonotonicTime now);

} // namespace siskinspread
