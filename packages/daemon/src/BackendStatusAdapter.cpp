#include "siskinspread/BackendStatusAdapter.h"

#include "siskinspread/CallerResponse.h"
#include "siskinspread/ServerLoadReport.h"

#include <algorithm>

namespace siskinspread {

namespace {

    constexpr std::chrono::milliseconds tickInterval { 200 };
    constexpr std::chrono::milliseconds observersInterval { 1'000 };
    // Two rounds of sharing and a lost datagram; the other hosts are known by then as well.
    constexpr std::chrono::milliseconds settleTime { 5'000 };
    // Below the probes' interval, so that a silent server does not hold up its next probe.
    constexpr std::chrono::milliseconds probeTimeout { 800 };
    constexpr size_t maxReportBytes = 65'536;
    constexpr int statusOk = 200;

    BackendLoadReport loadOf(const ServerLoadReport& report, MonotonicTime sampledAt)
    {
        return { .sampledAt = sampledAt, .running = report.running, .waiting = report.queued, .slots = report.slots, .queuedPromptTokens = report.queuedPromptTokens };
    }

} // namespace

BackendStatusAdapter::BackendStatusAdapter(HostContext& context, Parts parts)
    : m_context(context)
    , m_parts(parts)
    , m_news(context, parts.heartbeats)
{
    m_state.self = m_context.incarnation.text;
    m_state.selfDomain = m_context.settings.host().failure_domain();
}

void BackendStatusAdapter::start()
{
    tick();
}

void BackendStatusAdapter::tick()
{
    if (m_context.now >= m_nextObserversAt) {
        m_nextObserversAt = m_context.now + observersInterval;
        updateObservers();
    }
    take(ServersTick {});
    refreshViews();
    m_parts.timers.schedule(m_context.now + tickInterval, [this] { tick(); });
}

void BackendStatusAdapter::updateObservers()
{
    std::vector<std::string> hosts;
    for (const KnownIncarnation& known : m_parts.membership.liveIncarnations()) {
        if (known.failureDomain == m_state.selfDomain) {
            hosts.push_back(known.incarnation.text);
        }
    }
    std::sort(hosts.begin(), hosts.end());
    auto others = otherHosts();
    if (hosts != m_state.observers || others != m_state.otherHosts) {
        take(ObserversChanged { .hosts = std::move(hosts), .otherHosts = std::move(others) });
    }
}

// Until membership has heard from a domain, one of its hosts may be told all the same.
std::vector<std::string> BackendStatusAdapter::otherHosts() const
{
    std::set<std::string> hosts;
    std::set<std::string> knownDomains { m_state.selfDomain };
    for (const KnownIncarnation& known : m_parts.membership.liveIncarnations()) {
        knownDomains.insert(known.failureDomain);
        if (known.failureDomain != m_state.selfDomain) {
            hosts.insert(known.host);
        }
    }
    for (const schema::PeerSettings& peer : m_context.settings.peers()) {
        if (!knownDomains.contains(peer.failure_domain())) {
            hosts.insert(peer.name());
        }
    }
    return { hosts.begin(), hosts.end() };
}

void BackendStatusAdapter::configured(const schema::Configuration& configuration)
{
    ServersConfigured servers;
    m_addresses.clear();
    m_serversByAddress.clear();
    for (const schema::Service& service : configuration.services()) {
        for (const schema::BackendServer& server : service.backend_servers()) {
            servers.servers.push_back({ .name = server.name(), .pool = service.pool(), .failureDomain = server.failure_domain() });
            m_addresses[server.name()] = server.address();
            m_serversByAddress[server.address()] = server.name();
        }
    }
    const auto isUnknown = [this](const auto& name) { return !m_addresses.contains(name); };
    std::erase_if(m_loads, [&](const auto& item) { return isUnknown(item.first); });
    std::erase_if(m_earlyLeaves, isUnknown);
    if (!m_settledAt) {
        m_settledAt = m_context.now + settleTime;
    }
    take(servers);
    refreshViews();
    m_parts.pools.refresh();
}

void BackendStatusAdapter::hear(const schema::BackendNewsMessage& news, size_t bytes)
{
    m_context.metrics.countBackendNews(NewsDirection::Received, bytes);
    const bool fromOtherDomain = news.failure_domain() != m_state.selfDomain;
    for (const ObservedServer& observed : observationsOf(news, m_context.now)) {
        const std::string& server = observed.observation.server;
        if (observed.load && m_addresses.contains(server)) {
            applyLoad(server, *observed.load);
        }
        take(ObservationHeard { .observation = observed.observation, .fromOtherDomain = fromOtherDomain });
        signEarlyLeave(server);
    }
    for (const schema::BackendLeaveMessage& leave : news.leaves()) {
        take(LeaveSign { .server = leave.server(), .instance = leave.instance() });
    }
}

void BackendStatusAdapter::answered(const std::string& address, const HttpHeaders& headers)
{
    const auto server = m_serversByAddress.find(address);
    if (server == m_serversByAddress.end()) {
        return; // of an earlier configuration
    }
    take(TrafficReached { .server = server->second });
    if (const auto instance = findHeader(headers, header::leaving)) {
        leaveSign(server->second, std::string { *instance });
    }
}

void BackendStatusAdapter::unanswered(const std::string& address)
{
    const auto server = m_serversByAddress.find(address);
    if (server == m_serversByAddress.end()) {
        return; // of an earlier configuration
    }
    take(TrafficFailed { .server = server->second });
    if (!m_avoided.contains(server->second)) {
        refreshViews(); // at once: until the next tick many requests could fail in the same way
    }
}

void BackendStatusAdapter::leaveSign(const std::string& server, const ServerInstance& instance)
{
    const auto known = m_state.servers.find(server);
    if (known == m_state.servers.end()) {
        return;
    }
    if (instance.empty() && known->second.instance.empty()) {
        m_earlyLeaves.insert(server);
    }
    updateObservers(); // those that are told now are told for the only time
    take(LeaveSign { .server = server, .instance = instance.empty() ? known->second.instance : instance });
}

void BackendStatusAdapter::hostListRead(const std::vector<ListedHost>& hosts)
{
    HostListRead list;
    for (const ListedHost& host : hosts) {
        ListedServer listed { .server = host.name, .instance = {}, .leaving = host.leaving };
        if (host.noticeAt) {
            listed.leavingSince = m_context.now - std::chrono::duration_cast<MonotonicTime::duration>(m_context.wall - *host.noticeAt);
        }
        list.servers.push_back(std::move(listed));
    }
    updateObservers();
    take(list);
}

std::vector<ServerEnded> BackendStatusAdapter::unreachableRuns() const
{
    std::vector<ServerEnded> runs;
    for (const std::string& name : m_unreachable) {
        const auto known = m_state.servers.find(name);
        if (known != m_state.servers.end()) {
            runs.push_back({ .server = name, .instance = known->second.instance });
        }
    }
    return runs;
}

void BackendStatusAdapter::hostEnded(const ServerEnded& ended)
{
    const auto known = m_state.servers.find(ended.server);
    if (known == m_state.servers.end() || known->second.instance != ended.instance || !isJudgedUnreachable(m_state, m_options, known->second, m_context.now)) {
        return;
    }
    updateObservers();
    take(ended);
}

// The run was not known when the sign came, so it is given again for the run that has shown itself.
void BackendStatusAdapter::signEarlyLeave(const std::string& server)
{
    const auto known = m_state.servers.find(server);
    if (known != m_state.servers.end() && !known->second.instance.empty() && m_earlyLeaves.erase(server)) {
        updateObservers();
        take(LeaveSign { .server = server, .instance = known->second.instance });
    }
}

void BackendStatusAdapter::take(const BackendServerEvent& event)
{
    std::vector<ServerAction> actions;
    step(m_state, m_options, event, m_context.now, actions);
    for (const ServerAction& action : actions) {
        std::visit([this](const auto& a) { act(a); }, action);
    }
}

void BackendStatusAdapter::act(const ProbeServer& probe)
{
    StartTransfer transfer;
    transfer.url = "http://" + m_addresses[probe.server] + "/load";
    transfer.connectTimeout = probeTimeout;
    transfer.totalTimeout = probeTimeout;
    transfer.maxBodyBytes = maxReportBytes;
    m_parts.probes.start(std::move(transfer), [this, server = probe.server, askedAt = m_context.now](const ClientEvent& event) {
        if (const auto* ended = std::get_if<TransferEnded>(&event)) {
            onProbed(server, askedAt, *ended);
        }
    });
}

void BackendStatusAdapter::onProbed(const std::string& server, MonotonicTime askedAt, const TransferEnded& ended)
{
    const bool answered = ended.end == TransferEnd::Complete;
    const auto report = answered && ended.status == statusOk ? parseServerLoadReport(ended.body) : std::nullopt;
    m_context.metrics.countBackendProbe(report ? ProbeOutcome::Reached : answered ? ProbeOutcome::Malformed
                                                                                  : ProbeOutcome::Unreached);
    if (!report || !m_addresses.contains(server)) {
        take(ServerProbed { .server = server });
        return;
    }
    if (report->leaving) {
        take(LeaveSign { .server = server, .instance = report->instance }); // first, so that this run never counts as live
    }
    // What this host sent since it asked may not be in the report.
    applyLoad(server, loadOf(*report, askedAt));
    take(ServerProbed { .server = server, .instance = report->instance, .reachable = true, .load = report->running + report->queued });
    signEarlyLeave(server);
}

std::vector<ObservedServer> BackendStatusAdapter::withLoads(const std::vector<ServerObservation>& observations) const
{
    std::vector<ObservedServer> observed;
    for (const ServerObservation& observation : observations) {
        const auto load = m_loads.find(observation.server);
        observed.push_back({ .observation = observation, .load = load == m_loads.end() ? std::nullopt : std::optional { load->second } });
    }
    return observed;
}

void BackendStatusAdapter::act(const ShareObservations& share)
{
    m_news.sendObservations(domainHosts(), withLoads(share.observations));
    m_news.sendObservations(m_parts.membership.otherRelays(), withLoads(share.forOtherDomains));
}

void BackendStatusAdapter::act(const GossipObservations& gossip)
{
    std::vector<ObservedServer> observed;
    for (const ServerObservation& observation : gossip.observations) {
        observed.push_back({ .observation = observation, .load = std::nullopt });
    }
    m_news.sendObservations({ gossip.host }, observed);
}

void BackendStatusAdapter::act(const ShareLeave& share)
{
    m_news.sendLeave(share.hosts, { .server = share.server, .instance = share.instance });
}

std::vector<std::string> BackendStatusAdapter::domainHosts() const
{
    std::vector<std::string> hosts = m_state.observers;
    std::erase(hosts, m_state.self);
    return hosts;
}

} // namespace siskinspread
