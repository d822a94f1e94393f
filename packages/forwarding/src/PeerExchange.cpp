#include "siskinspread/PeerExchange.h"

#include <algorithm>

namespace siskinspread {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds turn { 200 }; // between two datagrams to a peer that answers
    constexpr milliseconds turnToSilent { 1000 };
    // A host that has been silent this long holds no keys that are current any more: it has lost the store and its peers.
    constexpr milliseconds quietTime { 6000 };
    constexpr milliseconds loadTime { 1500 }; // what a silent peer had at replicas has probably ended
    constexpr size_t maxWindowsTold = 4;

    bool isRecent(const std::optional<MonotonicTime>& at, MonotonicTime now, milliseconds within)
    {
        return at && now - *at < within;
    }

    uint64_t bootMicroseconds(BootTime time)
    {
        return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count());
    }

} // namespace

PeerExchange::PeerExchange(asio::io_context& context, const ForwardingSettings& settings, Forwarder& forwarder, HostLog& log, uint64_t incarnation)
    : m_settings(settings)
    , m_forwarder(forwarder)
    , m_log(log)
    , m_socket(context)
    , m_incarnation(incarnation)
{
}

bool PeerExchange::start(LastReason& reason)
{
    asio::error_code error;
    const auto address = asio::ip::make_address(m_settings.callers.address, error);
    if (!error) {
        m_socket.open(asio::ip::udp::v4(), error);
    }
    if (!error) {
        m_socket.bind({ address, m_settings.peerPort }, error);
    }
    if (error) {
        reason = { .code = ResultCode::InvalidSettings, .detail = "the port for peers cannot be bound: " + error.message() };
        return false;
    }
    m_socket.non_blocking(true, error);
    receive();
    return true;
}

void PeerExchange::addPeer(const std::string& host, const std::string& address, uint16_t port)
{
    if (host == m_settings.host) {
        return;
    }
    asio::error_code error;
    const auto ip = asio::ip::make_address(address, error);
    if (error) {
        m_log.warning("peer left out", { { "peer", host }, { "address", address }, { "why", "no IP address" } });
        return;
    }
    m_peers[host].endpoint = { ip, port };
}

void PeerExchange::receive()
{
    m_socket.async_receive_from(asio::buffer(m_buffer), m_sender, [this](const asio::error_code& error, size_t size) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        schema::HostStateMessage state;
        if (!error && state.ParseFromArray(m_buffer.data(), static_cast<int>(size)) && !state.host().empty() && state.host() != m_settings.host) {
            onState(state, m_sender);
        }
        receive();
    });
}

void PeerExchange::onState(const schema::HostStateMessage& state, const asio::ip::udp::endpoint& sender)
{
    const auto now = std::chrono::steady_clock::now();
    auto& peer = m_peers[state.host()];
    const bool newIncarnation = peer.incarnation != state.incarnation();
    if (!newIncarnation && state.sequence() <= peer.sequence) {
        return; // overtaken by a later one
    }
    if (!isRecent(peer.heardAt, now, quietTime)) {
        m_log.info("peer heard", { { "peer", state.host() }, { "new_incarnation", newIncarnation } });
    }
    peer.endpoint = sender;
    peer.incarnation = state.incarnation();
    peer.sequence = state.sequence();
    peer.heardAt = now;
    peer.failureDomain = state.failure_domain();
    noteDomainPeer(m_forwarder.reachOf(peer.failureDomain), now);
    peer.stopping = state.stopping();
    peer.services.clear();
    for (const auto& service : state.services()) {
        peer.services[service.service()] = service;
    }
    if (state.proof_wanted_at_us() != 0) {
        peer.askedProofAt = state.proof_wanted_at_us();
        peer.askedVersion = state.configuration_version();
    }
    if (peer.stopping) {
        forgetStopped(peer.failureDomain, now);
    }
    applyLoads(state);
    applySpending(state, now);
    applyProof(state);
    applyUsage(state);
}

void PeerExchange::applyLoads(const schema::HostStateMessage& state)
{
    auto& loads = m_loads[state.host()];
    loads.clear();
    for (const auto& load : state.loads()) {
        loads[load.replica()] = { .requests = load.requests(), .unreadTokens = load.unread_tokens(), .heldTokens = load.held_tokens() };
    }
    sumLoads();
    m_forwarder.placeFreed();
}

void PeerExchange::sumLoads()
{
    for (const auto& [instance, replica] : m_forwarder.replicas().all()) {
        replica->peerLoad = {};
    }
    for (const auto& [host, loads] : m_loads) {
        for (const auto& [identity, load] : loads) {
            if (auto replica = m_forwarder.replicas().findIdentity(identity)) {
                replica->peerLoad.requests += load.requests;
                replica->peerLoad.unreadTokens += load.unreadTokens;
                replica->peerLoad.heldTokens += load.heldTokens;
            }
        }
    }
}

void PeerExchange::applySpending(const schema::HostStateMessage& state, MonotonicTime now)
{
    auto& quotas = m_forwarder.quotas();
    if (state.stopping()) {
        for (auto& [customer, quota] : quotas) {
            notePeerStop(quota, state.host());
        }
        return;
    }
    for (const auto& spending : state.spending()) {
        notePeerSpending(quotas[spending.customer()], state.host(), state.incarnation(), spending.spent(), now);
    }
}

void PeerExchange::applyProof(const schema::HostStateMessage& state)
{
    const auto& table = m_forwarder.table();
    if (state.proof_for_us() == 0 || !table || state.configuration_version() != table->configuration().version) {
        return;
    }
    // The peer's age was taken after this host asked: counting it from the asking is too early, never too late.
    const auto askedAt = BootTime { std::chrono::microseconds { state.proof_for_us() } };
    if (askedAt <= BootClock::now()) {
        m_forwarder.setProvenAt(askedAt - std::chrono::microseconds { state.proof_age_us() });
    }
}

void PeerExchange::applyUsage(const schema::HostStateMessage& state)
{
    const auto owner = state.host() + "#" + std::to_string(state.incarnation());
    for (const auto& window : state.usage()) {
        WindowCounts counts;
        for (const auto& count : window.counts()) {
            counts[count.customer()] = count.requests();
        }
        mergeCounts(m_usage[window.window()][owner], counts);
    }
}

void PeerExchange::forgetUsageBefore(int64_t window)
{
    m_usage.erase(m_usage.begin(), m_usage.lower_bound(window));
}

schema::HostStateMessage PeerExchange::ownState() const
{
    schema::HostStateMessage state;
    state.set_host(m_settings.host);
    state.set_failure_domain(m_settings.failureDomain);
    state.set_incarnation(m_incarnation);
    state.set_configuration_version(m_forwarder.table() ? m_forwarder.table()->configuration().version : 0);
    state.set_stopping(m_stopping);
    for (const auto& [instance, replica] : m_forwarder.replicas().all()) {
        if (replica->ownLoad.requests > 0) {
            auto& load = *state.add_loads();
            load.set_replica(replica->identity);
            load.set_requests(replica->ownLoad.requests);
            load.set_unread_tokens(replica->ownLoad.unreadTokens);
            load.set_held_tokens(replica->ownLoad.heldTokens);
        }
    }
    for (const auto& [customer, quota] : m_forwarder.quotas()) {
        auto& spending = *state.add_spending();
        spending.set_customer(customer);
        spending.set_spent(quota.spent);
    }
    if (m_forwarder.table()) {
        for (const auto& service : m_forwarder.table()->configuration().services) {
            auto& demand = *state.add_services();
            demand.set_service(service.name);
            demand.set_prompt_tokens_per_second(m_forwarder.promptTokensPerSecond(service.name));
            demand.set_waiting(m_forwarder.waitingFor(service.name));
        }
    }
    size_t told = 0;
    const auto& windows = m_forwarder.usage().windows;
    for (auto window = windows.rbegin(); window != windows.rend() && told < maxWindowsTold; ++window, ++told) {
        auto& message = *state.add_usage();
        message.set_window(window->first);
        for (const auto& [customer, requests] : window->second) {
            auto& count = *message.add_counts();
            count.set_customer(customer);
            count.set_requests(requests);
        }
    }
    return state;
}

void PeerExchange::sendTo(PeerHost& peer, schema::HostStateMessage& state, MonotonicTime now)
{
    const auto provenAt = m_forwarder.provenAt();
    state.set_sequence(++m_sequence);
    state.set_proof_for_us(0);
    if (peer.askedProofAt && provenAt && peer.askedVersion == state.configuration_version()) {
        state.set_proof_for_us(*peer.askedProofAt);
        state.set_proof_age_us(bootMicroseconds(BootClock::now()) - bootMicroseconds(*provenAt));
    }
    peer.askedProofAt.reset();
    peer.sentAt = now;
    asio::error_code error;
    const auto bytes = state.SerializeAsString();
    m_socket.send_to(asio::buffer(bytes), peer.endpoint, 0, error);
    if (error && error != asio::error::would_block) {
        m_log.warning("datagram not sent", { { "peer", peer.endpoint.address().to_string() }, { "why", error.message() } });
    }
}

/** A domain whose last host has said that it stops is not silent for being cut off. */
void PeerExchange::forgetStopped(const std::string& failureDomain, MonotonicTime now)
{
    const bool others = std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& entry) { return entry.second.failureDomain == failureDomain && mayServe(entry.second, now); });
    if (!others) {
        m_forwarder.reachOf(failureDomain).peerHeardAt.reset();
    }
}

void PeerExchange::tick(MonotonicTime now)
{
    if (m_lastTurn && now - *m_lastTurn < turn) {
        return;
    }
    m_lastTurn = now;
    auto state = ownState();
    // Asked for early enough that several answers may be lost before the keys' bound.
    const auto provenAt = m_forwarder.provenAt();
    if (!provenAt || BootClock::now() - *provenAt > m_settings.bounds.revocationInForce / 3) {
        state.set_proof_wanted_at_us(bootMicroseconds(BootClock::now()));
    }
    for (auto& [host, peer] : m_peers) {
        const bool answers = isRecent(peer.heardAt, now, quietTime);
        if (answers || !isRecent(peer.sentAt, now, turnToSilent)) {
            sendTo(peer, state, now);
        }
        if (!isRecent(peer.heardAt, now, loadTime) && m_loads.erase(host) > 0) {
            m_log.warning("peer is silent", { { "peer", host }, { "for_ms", peer.heardAt ? std::chrono::duration_cast<milliseconds>(now - *peer.heardAt) : milliseconds { -1 } } });
            sumLoads();
        }
    }
    m_forwarder.setHostCount(liveHosts().size());
    m_forwarder.metrics().setPeers(liveHosts().size() - 1);
}

void PeerExchange::announceStop()
{
    m_stopping = true;
    m_lastTurn.reset();
    tick(std::chrono::steady_clock::now());
}

bool PeerExchange::mayServe(const PeerHost& peer, MonotonicTime now) const
{
    return !peer.stopping && isRecent(peer.heardAt, now, quietTime);
}

FleetDemand PeerExchange::demandOf(const std::string& service) const
{
    const auto now = std::chrono::steady_clock::now();
    FleetDemand demand { .promptTokensPerSecond = m_forwarder.promptTokensPerSecond(service), .requests = static_cast<double>(m_forwarder.waitingFor(service)) };
    for (const auto& [host, peer] : m_peers) {
        if (auto told = peer.services.find(service); told != peer.services.end() && mayServe(peer, now)) {
            demand.promptTokensPerSecond += told->second.prompt_tokens_per_second();
            demand.requests += told->second.waiting();
        }
    }
    for (const auto& replica : m_forwarder.replicas().ofService(service)) {
        demand.requests += replica->ownLoad.requests + replica->peerLoad.requests;
    }
    return demand;
}

bool PeerExchange::allHeardSince(std::chrono::nanoseconds within) const
{
    const auto now = std::chrono::steady_clock::now();
    return std::all_of(m_peers.begin(), m_peers.end(), [&](const auto& entry) { return !mayServe(entry.second, now) || now - *entry.second.heardAt < within; });
}

std::vector<std::string> PeerExchange::liveHosts() const
{
    const auto now = std::chrono::steady_clock::now();
    std::vector<std::string> hosts { m_settings.host };
    for (const auto& [host, peer] : m_peers) {
        if (mayServe(peer, now)) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

} // namespace siskinspread
