#include "siskinspread/EndedServers.h"

#include <set>

namespace siskinspread {

namespace {

    constexpr std::chrono::milliseconds dueCheckInterval { 1'000 };

} // namespace

EndedServers::EndedServers(HostContext& context, Parts parts, CloudApiOptions cloud)
    : m_context(context)
    , m_parts(std::move(parts))
    , m_cloud(std::move(cloud))
{
}

void EndedServers::start()
{
    if (!m_cloud.url.empty()) {
        tick();
    }
}

void EndedServers::tick()
{
    m_parts.timers.schedule(m_context.now + dueCheckInterval, [this] { tick(); });
    if (m_reading || m_context.now < m_nextReadAt || !m_parts.isReader()) {
        return;
    }
    auto unreachable = m_parts.unreachable();
    if (unreachable.empty()) {
        return;
    }
    m_reading = true;
    m_nextReadAt = m_context.now + std::chrono::milliseconds { m_context.settings.platform().host_list_interval_ms() };
    m_context.platform.start(readCloudHosts(m_cloud), [this, asked = std::move(unreachable)](const ClientEvent& event) {
        m_reading = false;
        onRead(asked, std::get<TransferEnded>(event));
    });
}

void EndedServers::onRead(const std::vector<ServerEnded>& asked, const TransferEnded& ended)
{
    LastReason reason;
    const auto hosts = hostList(ended, reason);
    m_context.metrics.countStoreCall(StorePurpose::CloudApi, hosts ? StoreOutcome::Answered : StoreOutcome::Unavailable);
    if (!hosts) {
        return;
    }
    std::set<std::string> endedHosts;
    for (const ListedHost& host : *hosts) {
        if (host.ended) {
            endedHosts.insert(host.name);
        }
    }
    for (const ServerEnded& run : asked) {
        if (endedHosts.contains(run.server)) {
            m_parts.onEnded(run);
        }
    }
}

} // namespace siskinspread
