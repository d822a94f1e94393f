#include "siskinspread/MembershipAdapter.h"

#include "siskinspread/HeartbeatCodec.h"

#include <algorithm>
#include <set>

namespace siskinspread {

namespace {

    constexpr const char* membershipMethod = "membership";
    constexpr std::chrono::milliseconds tickInterval { 100 };
    // Below the usual path MTU, less the headers of IPv6 and UDP.
    constexpr size_t maxDatagramBytes = 1400;
    // A starting host asks all peers of its settings about the configuration before it trusts the list of live ones.
    constexpr std::chrono::milliseconds settleTime { 15000 };

    std::string heartbeatAddress(const std::string& address, uint32_t port)
    {
        return address + ":" + std::to_string(port);
    }

    KnownIncarnation knownIncarnation(const MemberRecord& record)
    {
        return { .host = record.host, .incarnation = { record.incarnation }, .failureDomain = record.failureDomain, .status = record.status };
    }

} // namespace

const char* memberStatusName(MemberStatus status)
{
    switch (status) {
    case MemberStatus::Alive:
        return "live";
    case MemberStatus::Suspect:
        return "suspected";
    case MemberStatus::Dead:
        return "dead";
    case MemberStatus::Left:
        break;
    }
    return "left";
}

MembershipAdapter::MembershipAdapter(HostContext& context, Timers& timers, PeerCalls& calls, DatagramSender& heartbeats, ConfigurationFeedAdapter& feed)
    : m_context(context)
    , m_timers(timers)
    , m_calls(calls)
    , m_heartbeats(heartbeats)
    , m_feed(feed)
{
    const schema::Settings& settings = m_context.settings;
    m_state.self.address = heartbeatAddress(settings.listen().address(), settings.listen().heartbeat_port());
    m_state.self.host = settings.host().name();
    m_state.self.failureDomain = settings.host().failure_domain();
    m_state.self.incarnation = m_context.incarnation.text;
    m_state.seed = nextSeed(m_context);
    m_calls.methods().registerMethod(membershipMethod, [this](const std::string& params) -> RpcOutcome {
        schema::HeartbeatMessage message;
        if (!readPeerMessage(params, message)) {
            return rpcFailure(rpc_error::invalidParams, "membership takes a HeartbeatMessage");
        }
        takeMessage(message);
        return std::string { "true" };
    });
}

void MembershipAdapter::start()
{
    MembershipHints hints;
    for (const schema::PeerSettings& peer : m_context.settings.peers()) {
        const std::string address = heartbeatAddress(peer.address(), peer.heartbeat_port());
        m_hostsByAddress[address] = peer.name();
        hints.hints.push_back({ .address = address, .failureDomain = peer.failure_domain() });
    }
    m_settledAt = m_context.now + settleTime;
    take(hints);
    tick();
}

void MembershipAdapter::receive(const Datagram& datagram)
{
    schema::HeartbeatMessage message;
    if (!message.ParseFromString(datagram.bytes)) {
        return;
    }
    if (message.has_backend_news() && onBackendNews) {
        onBackendNews(message.backend_news(), datagram.bytes.size());
        return;
    }
    takeMessage(message);
}

void MembershipAdapter::takeMessage(const schema::HeartbeatMessage& message)
{
    auto received = membershipMessage(message);
    if (!received) {
        return;
    }
    m_feed.hear(message.advert());
    take(MembershipReceived { .message = std::move(*received) });
}

void MembershipAdapter::leave()
{
    take(MembershipLeave {});
}

std::vector<KnownIncarnation> MembershipAdapter::knownIncarnations() const
{
    std::vector<KnownIncarnation> known { knownIncarnation(m_state.self) };
    for (const auto& [address, entry] : m_state.table.entries) {
        known.push_back(knownIncarnation(entry.record));
    }
    return known;
}

std::vector<KnownIncarnation> MembershipAdapter::liveIncarnations() const
{
    std::vector<KnownIncarnation> known = knownIncarnations();
    std::erase_if(known, [](const KnownIncarnation& k) { return !isPresent(k.status); });
    return known;
}

std::vector<std::string> MembershipAdapter::liveHosts(const std::string& failureDomain) const
{
    std::vector<std::string> hosts;
    for (const KnownIncarnation& known : liveIncarnations()) {
        if (known.failureDomain == failureDomain) {
            hosts.push_back(known.host);
        }
    }
    return hosts;
}

std::vector<std::string> MembershipAdapter::otherLiveHosts() const
{
    std::vector<std::string> hosts;
    for (const KnownIncarnation& known : liveIncarnations()) {
        if (known.host != m_context.settings.host().name()) {
            hosts.push_back(known.host);
        }
    }
    return hosts;
}

void MembershipAdapter::tick()
{
    take(MembershipTick {});
    if (m_changed && m_context.now >= m_settledAt) {
        m_changed = false;
        tellFeed();
    }
    m_timers.schedule(m_context.now + tickInterval, [this] { tick(); });
}

void MembershipAdapter::take(const MembershipEvent& event)
{
    std::vector<MembershipAction> actions;
    step(m_state, m_options, event, m_context.now, actions);
    for (const MembershipAction& action : actions) {
        if (const auto* message = std::get_if<SendMembership>(&action)) {
            send(*message);
        } else {
            onChange(std::get<MemberChanged>(action).record);
        }
    }
}

void MembershipAdapter::send(const SendMembership& action)
{
    const schema::HeartbeatMessage message = heartbeatMessage(action.message, m_feed.advert());
    if (message.ByteSizeLong() <= maxDatagramBytes) {
        auto datagram = std::make_unique<Datagram>(Datagram { .address = action.address, .bytes = message.SerializeAsString() });
        if (!m_heartbeats.trySend(datagram)) {
            m_context.metrics.countRingRefusal(Ring::DecideToPeers);
        }
        return;
    }
    const auto host = m_hostsByAddress.find(action.address);
    if (host != m_hostsByAddress.end()) {
        m_calls.call(host->second, membershipMethod, peerMessageJson(message), [](const RpcOutcome&) {}); // membership repeats what was lost
    }
}

void MembershipAdapter::onChange(const MemberRecord& record)
{
    m_changed = true;
    m_context.log.write({ .level = LogLevel::Info, .message = "an entry host changed", .fields = { { .name = "entry_host", .value = record.host }, { .name = "incarnation", .value = record.incarnation }, { .name = "state", .value = memberStatusName(record.status) } } });
}

void MembershipAdapter::tellFeed()
{
    std::vector<std::string> hosts;
    for (const MemberRecord& record : presentMembers(m_state, m_state.self.failureDomain)) {
        hosts.push_back(record.host);
    }
    std::sort(hosts.begin(), hosts.end());
    m_feed.setMembers(std::move(hosts), otherRelays());
}

std::vector<std::string> MembershipAdapter::otherRelays() const
{
    std::set<std::string> domains;
    for (const auto& [address, entry] : m_state.table.entries) {
        domains.insert(entry.record.failureDomain);
    }
    domains.erase(m_state.self.failureDomain);
    std::vector<std::string> hosts;
    for (const std::string& domain : domains) {
        for (const std::string& address : relayAddresses(m_state, domain, 1)) {
            const auto host = m_hostsByAddress.find(address);
            if (host != m_hostsByAddress.end()) {
                hosts.push_back(host->second);
            }
        }
    }
    return hosts;
}

} // namespace siskinspread
