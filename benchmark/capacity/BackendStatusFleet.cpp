#include "BackendStatusFleet.h"

#include "siskinspread/BackendNews.h"

#include <algorithm>

namespace siskinspread::benchmark {
namespace {

    constexpr std::chrono::milliseconds round { 250 };
    constexpr size_t datagramHeaderBytes = 28; // IPv4 and UDP

    std::string domainName(size_t domain)
    {
        return "gauteng-" + std::to_string(domain);
    }

    std::string instanceOf(const std::string& server)
    {
        return server + "-0001";
    }

    /** @return the bytes of the datagrams that carry the observations, which the load of a busy server goes with. */
    size_t encodedSize(const BackendServerStatusState& sender, const std::vector<ServerObservation>& observations, MonotonicTime now)
    {
        std::vector<ObservedServer> observed;
        observed.reserve(observations.size());
        for (const ServerObservation& observation : observations) {
            observed.push_back({ .observation = observation, .load = BackendLoadReport { .sampledAt = now - round, .running = 12, .waiting = 3, .slots = 16, .queuedPromptTokens = 9'000 } });
        }
        size_t bytes = 0;
        for (const std::string& datagram : observationDatagrams({ .incarnation = sender.self, .failureDomain = sender.selfDomain }, observed, now)) {
            bytes += datagram.size() + datagramHeaderBytes;
        }
        return bytes;
    }

} // namespace

BackendStatusFleet::BackendStatusFleet(const FleetOptions& options)
    : m_options(options)
{
    addHosts();
    configure();
}

void BackendStatusFleet::addHosts()
{
    for (size_t i = 0; i < m_options.failureDomains * m_options.hostsOfDomain; ++i) {
        Host host;
        host.domain = i / m_options.hostsOfDomain;
        host.name = domainName(host.domain) + "-host-" + std::to_string(i);
        host.state.self = host.name + ".18a3f0c2d4e5b697";
        host.state.selfDomain = domainName(host.domain);
        m_indexes[host.name] = i;
        m_indexes[host.state.self] = i;
        m_hosts.push_back(std::move(host));
    }
}

void BackendStatusFleet::configure()
{
    ServersConfigured configured;
    for (size_t domain = 0; domain < m_options.failureDomains; ++domain) {
        for (size_t i = 0; i < m_options.serversOfDomain; ++i) {
            configured.servers.push_back({ .name = serverName(domain, i), .pool = "drafting", .failureDomain = domainName(domain) });
        }
    }
    for (size_t i = 0; i < m_hosts.size(); ++i) {
        ObserversChanged observers;
        for (const Host& other : m_hosts) {
            const bool isNear = other.domain == m_hosts[i].domain;
            isNear ? observers.hosts.push_back(other.state.self) : observers.otherHosts.push_back(other.name);
        }
        dispatch(i, configured);
        dispatch(i, observers);
    }
}

std::string BackendStatusFleet::serverName(size_t domain, size_t index) const
{
    return domainName(domain) + "-replica-" + std::to_string(index);
}

void BackendStatusFleet::run(std::chrono::milliseconds time)
{
    for (const auto end = m_now + time; m_now < end; m_now += round) {
        for (size_t i = 0; i < m_hosts.size(); ++i) {
            dispatch(i, ServersTick {});
        }
        while (!m_deliveries.empty()) {
            const Delivery delivery = std::move(m_deliveries.front());
            m_deliveries.pop_front();
            dispatch(delivery.host, delivery.event);
        }
    }
}

void BackendStatusFleet::reclaimFirstDomain()
{
    for (size_t i = 0; i < m_options.serversOfDomain; ++i) {
        const std::string server = serverName(0, i);
        dispatch(relayOf(0), LeaveSign { .server = server, .instance = instanceOf(server) });
    }
}

size_t BackendStatusFleet::hostsThatKnowOfLeave() const
{
    size_t count = 0;
    for (const Host& host : m_hosts) {
        for (size_t i = 0; i < m_options.serversOfDomain; ++i) {
            count += host.state.servers.at(serverName(0, i)).phase == ServerPhase::Leaving;
        }
    }
    return count;
}

void BackendStatusFleet::forgetTraffic()
{
    for (Host& host : m_hosts) {
        host.bytesSent = 0;
    }
}

double BackendStatusFleet::meanBytesSent() const
{
    double bytes = 0;
    for (const Host& host : m_hosts) {
        bytes += static_cast<double>(host.bytesSent);
    }
    return bytes / static_cast<double>(m_hosts.size());
}

double BackendStatusFleet::mostBytesSent() const
{
    const auto most = std::max_element(m_hosts.begin(), m_hosts.end(), [](const Host& a, const Host& b) { return a.bytesSent < b.bytesSent; });
    return static_cast<double>(most->bytesSent);
}

void BackendStatusFleet::dispatch(size_t host, const BackendServerEvent& event)
{
    std::vector<ServerAction> actions;
    step(m_hosts[host].state, {}, event, m_now, actions);
    for (const ServerAction& action : actions) {
        perform(host, action);
    }
}

void BackendStatusFleet::perform(size_t host, const ServerAction& action)
{
    if (const auto* probe = std::get_if<ProbeServer>(&action)) {
        m_deliveries.push_back({ host, ServerProbed { .server = probe->server, .instance = instanceOf(probe->server), .reachable = true, .load = 15 } });
    } else if (const auto* share = std::get_if<ShareObservations>(&action)) {
        for (size_t to = relayOf(m_hosts[host].domain); to < relayOf(m_hosts[host].domain + 1); ++to) {
            sendObservations(host, to, share->observations);
        }
        for (size_t domain = 0; domain < m_options.failureDomains; ++domain) {
            if (domain != m_hosts[host].domain) {
                sendObservations(host, relayOf(domain), share->forOtherDomains);
            }
        }
    } else if (const auto* gossip = std::get_if<GossipObservations>(&action)) {
        sendObservations(host, m_indexes.at(gossip->host), gossip->observations);
    } else if (const auto* leave = std::get_if<ShareLeave>(&action)) {
        sendLeave(host, *leave);
    }
}

void BackendStatusFleet::sendObservations(size_t from, size_t to, const std::vector<ServerObservation>& observations)
{
    if (from == to || observations.empty()) {
        return;
    }
    m_hosts[from].bytesSent += encodedSize(m_hosts[from].state, observations, m_now);
    for (const ServerObservation& observation : observations) {
        m_deliveries.push_back({ to, ObservationHeard { .observation = observation, .fromOtherDomain = m_hosts[from].domain != m_hosts[to].domain } });
    }
}

void BackendStatusFleet::sendLeave(size_t from, const ShareLeave& leave)
{
    const LeaveSign sign { .server = leave.server, .instance = leave.instance };
    const BackendServerStatusState& sender = m_hosts[from].state;
    const size_t bytes = leaveDatagram({ .incarnation = sender.self, .failureDomain = sender.selfDomain }, sign).size() + datagramHeaderBytes;
    for (const std::string& to : leave.hosts) {
        m_hosts[from].bytesSent += bytes;
        m_deliveries.push_back({ m_indexes.at(to), sign });
    }
}

} // namespace siskinspread::benchmark
