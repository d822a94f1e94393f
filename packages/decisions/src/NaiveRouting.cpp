#include "siskinspread/NaiveRouting.h"

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
        if (!best || reportedLoad(view.servers[i]) < reportedLoad(view.servers[*best])) {
            best = i;
        }
    }
    return best ? std::optional(choiceOf(*best, request)) : noServer(reason);
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
