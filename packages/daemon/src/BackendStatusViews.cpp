// The part of BackendStatusAdapter that brings what is known of the servers into the views that requests are routed by.
#include "siskinspread/BackendStatusAdapter.h"

#include <algorithm>
#include <array>

namespace siskinspread {

namespace {

    constexpr std::string_view unreachableName = "unreachable";

    BackendStatus statusOf(ServerPhase phase)
    {
        switch (phase) {
        case ServerPhase::Joining:
            return BackendStatus::Joining;
        case ServerPhase::Live:
            return BackendStatus::Live;
        case ServerPhase::Leaving:
            return BackendStatus::Leaving;
        case ServerPhase::Gone:
            break;
        }
        return BackendStatus::Gone;
    }

    std::string_view nameOf(ServerPhase phase)
    {
        constexpr std::array<std::string_view, 4> names { "joining", "live", "leaving", "gone" };
        return names.at(static_cast<size_t>(phase));
    }

} // namespace

template <typename Action>
void BackendStatusAdapter::forEachView(const std::string& server, Action action)
{
    for (const auto& [name, pool] : m_parts.pools.services()) {
        if (BackendServerView* view = findBackendServer(pool->view, server)) {
            action(*view);
        }
    }
}

void BackendStatusAdapter::applyLoad(const std::string& server, const BackendLoadReport& load)
{
    const auto known = m_loads.find(server);
    if (known != m_loads.end() && known->second.sampledAt > load.sampledAt) {
        return;
    }
    m_loads[server] = load;
    forEachView(server, [&load](BackendServerView& view) { applyLoadReport(view, load); });
}

void BackendStatusAdapter::act(const ServerPhaseChanged& change)
{
    const ServerState& server = m_state.servers.at(change.server);
    m_context.log.write({ .level = LogLevel::Info, .message = "a backend server changed", .fields = { { .name = "backend_server", .value = change.server }, { .name = "instance", .value = server.instance }, { .name = "state", .value = std::string { nameOf(change.phase) } } } });
    // At once, not at the next refresh: a server that leaves gets nothing more, and each new run begins with slow start.
    forEachView(change.server, [&](BackendServerView& view) { setBackendStatus(view, statusOf(change.phase), m_context.now); });
}

void BackendStatusAdapter::refreshViews()
{
    std::set<std::string> pools;
    m_unreachable.clear();
    for (const auto& [name, server] : m_state.servers) {
        pools.insert(server.spec.pool);
        const bool mayWork = server.phase == ServerPhase::Live || server.phase == ServerPhase::Joining;
        if (mayWork && isJudgedUnreachable(m_state, m_options, server, m_context.now)) {
            m_unreachable.insert(name);
        }
    }
    m_usable.clear();
    m_avoided.clear();
    for (const std::string& pool : pools) {
        const RoutableServers routable = routableServers(m_state, m_options, pool, m_context.now);
        const auto reached = reachedFromHere(m_state, m_options, routable.servers, m_context.now);
        m_usable.insert(reached.begin(), reached.end());
        std::set_difference(routable.servers.begin(), routable.servers.end(), reached.begin(), reached.end(), std::inserter(m_avoided, m_avoided.end()));
    }
    for (const auto& [name, pool] : m_parts.pools.services()) {
        pool->view.entryHosts = entryHostCount();
        for (BackendServerView& view : pool->view.servers) {
            show(view);
            view.reachable = view.reachable && !(isHeldBack && isHeldBack(view.description.name));
        }
    }
}

void BackendStatusAdapter::show(BackendServerView& view) const
{
    const auto known = m_state.servers.find(view.description.name);
    if (known == m_state.servers.end()) {
        return; // no longer configured
    }
    const ServerPhase phase = known->second.phase;
    const bool isUsable = m_usable.contains(view.description.name);
    if (phase == ServerPhase::Joining) {
        const bool isTried = isUsable || !m_settledAt || m_context.now < *m_settledAt || mayBeLiveElsewhere(known->second);
        setBackendStatus(view, isTried ? BackendStatus::Live : BackendStatus::Joining, m_context.now);
        view.reachable = !m_avoided.contains(view.description.name);
        return;
    }
    setBackendStatus(view, statusOf(phase), m_context.now);
    view.reachable = phase != ServerPhase::Live || isUsable;
}

// Other domains report changes and failures only, so that a host that has just started never hears of their live servers.
bool BackendStatusAdapter::mayBeLiveElsewhere(const ServerState& server) const
{
    return server.spec.failureDomain != m_state.selfDomain && !m_unreachable.contains(server.spec.name);
}

// Before it has heard of the others, a starting host would take itself for the only one.
uint32_t BackendStatusAdapter::entryHostCount() const
{
    if (!m_settledAt || m_context.now < *m_settledAt) {
        return static_cast<uint32_t>(m_context.settings.peers_size()) + 1;
    }
    return static_cast<uint32_t>(m_parts.membership.liveIncarnations().size());
}

std::string_view BackendStatusAdapter::stateName(const std::string& server) const
{
    const auto known = m_state.servers.find(server);
    if (known == m_state.servers.end()) {
        return nameOf(ServerPhase::Gone);
    }
    return m_unreachable.contains(server) ? unreachableName : nameOf(known->second.phase);
}

} // namespace siskinspread
