#include "siskinspread/CandidateServers.h"

#include <algorithm>

namespace siskinspread {

std::vector<std::string> chooseCandidates(const PoolView& view, const RouteRequest& request, const RoutingOptions& options, size_t count, MonotonicTime now)
{
    std::vector<std::string> candidates;
    while (candidates.size() < count) {
        RouteRequest next = request;
        next.excluded = candidates;
        LastReason reason;
        const auto choice = chooseBackendServer(view, next, options, now, reason);
        if (!choice) {
            break;
        }
        candidates.push_back(view.servers[choice->index].description.name);
    }
    return candidates;
}

std::optional<size_t> firstUsable(const PoolView& view, std::span<const std::string> candidates, std::span<const std::string> excluded, MonotonicTime now)
{
    for (const std::string& candidate : candidates) {
        const bool isExcluded = std::find(excluded.begin(), excluded.end(), candidate) != excluded.end();
        const auto server = std::find_if(view.servers.begin(), view.servers.end(), [&](const BackendServerView& one) { return one.description.name == candidate; });
        if (!isExcluded && server != view.servers.end() && usableSlots(view, *server, now) > 0) {
            return static_cast<size_t>(server - view.servers.begin());
        }
    }
    return std::nullopt;
}

} // namespace siskinspread
