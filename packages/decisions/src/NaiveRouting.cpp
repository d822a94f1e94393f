#include "siskinspread/NaiveRouting.h"

#include <algorithm>

namespace siskinspread {

namespace {

    bool hasExpired(const RouteRequest& request, MonotonicTime now, LastReason& reason)
    {
        if (request.deadline > now) {
            return false;
        }
        fail(reason, ResultCode::DeadlineExpired, "the deadline has passed");
        return true;
    }

    std::nullopt_t noServer(LastReason& reason)
    {
        return fail(reason, ResultCode::NoBackendServer, "no backend server may receive the request");
    }

    RouteChoice choiceOf(size_t index, const RouteRequest& request)
    {
        return { .index = index, .missingTokens = request.promptTokens };
    }

    uint32_t reportedLoad(const BackendServerView& server)
    {
        return server.report ? server.report->running + server.report->waiting : 0;
    }

    bool isLessLoaded(const BackendServerView& left, const BackendServerView& right, uint64_t seed)
    {
        if (reportedLoad(left) != reportedLoad(right)) {
            return reportedLoad(left) < reportedLoad(right);
        }
        return rendezvousWeight(seed, left.nameHash) > rendezvousWeight(seed, right.nameHash);
    }

} // namespace

std::optional<RouteChoice> chooseRoundRobin(const PoolView& view, const RouteRequest& request, RoundRobinState& state, MonotonicTime now, LastReason& reason)
{
    if (hasExpired(request, now, reason)) {
        return std::nullopt;
    }
    for (size_t step = 0; step < view.servers.size(); ++step) {
        const size_t index = (state.next + step) % view.servers.size();
        if (mayReceive(view.servers[index], request.excluded)) {
            state.next = index + 1;
            return choiceOf(index, request);
        }
    }
    return noServer(reason);
}

std::optional<RouteChoice> chooseLeastReportedLoad(const PoolView& view, const RouteRequest& request, MonotonicTime now, LastReason& reason)
{
    if (hasExpired(request, now, reason)) {
        return std::nullopt;
    }
    std::optional<size_t> best;
    for (size_t i = 0; i < view.servers.size(); ++i) {
        if (!mayReceive(view.servers[i], request.excluded)) {
            continue;
        }
        if (!best || isLessLoaded(view.servers[i], view.servers[*best], request.seed)) {
            best = i;
        }
    }
    return best ? std::optional(choiceOf(*best, request)) : noServer(reason);
}

std::optional<RouteChoice> chooseLeastOfTwo(const PoolView& view, const RouteRequest& request, MonotonicTime now, LastReason& reason)
{
    constexpr size_t drawn = 2;
    if (hasExpired(request, now, reason)) {
        return std::nullopt;
    }
    std::vector<size_t> usable;
    for (size_t i = 0; i < view.servers.size(); ++i) {
        if (mayReceive(view.servers[i], request.excluded)) {
            usable.push_back(i);
        }
    }
    if (usable.empty()) {
        return noServer(reason);
    }
    const auto end = usable.begin() + static_cast<std::ptrdiff_t>(std::min(drawn, usable.size()));
    std::partial_sort(usable.begin(), end, usable.end(), [&view, &request](size_t left, size_t right) {
        return rendezvousWeight(request.seed, view.servers[left].nameHash) > rendezvousWeight(request.seed, view.servers[right].nameHash);
    });
    const size_t best = *std::min_element(usable.begin(), end, [&view](size_t left, size_t right) {
        return reportedLoad(view.servers[left]) < reportedLoad(view.servers[right]);
    });
    return choiceOf(best, request);
}

std::optional<RouteChoice> choosePlainPrefixHash(const PoolView& view, const RouteRequest& request, size_t keyBlocks, MonotonicTime now, LastReason& reason)
{
    if (hasExpired(request, now, reason)) {
        return std::nullopt;
    }
    const size_t depth = std::min(keyBlocks, request.blocks.size());
    const PrefixBlock key = depth > 0 ? request.blocks[depth - 1] : request.seed;
    std::optional<size_t> best;
    for (size_t i = 0; i < view.servers.size(); ++i) {
        if (!mayReceive(view.servers[i], request.excluded)) {
            continue;
        }
        if (!best || rendezvousWeight(key, view.servers[i].nameHash) > rendezvousWeight(key, view.servers[*best].nameHash)) {
            best = i;
        }
    }
    return best ? std::optional(choiceOf(*best, request)) : noServer(reason);
}

} // namespace siskinspread
