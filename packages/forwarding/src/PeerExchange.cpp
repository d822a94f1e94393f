#include "siskinspread/PeerExchange.h"

#include <algorithm>
#include <limits>

namespace siskinspread {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds reviewInterval { 200 };
    constexpr milliseconds domainReviewInterval { 1000 }; // hosts come and go rarely
    constexpr milliseconds turnToSilent { 1000 };
    // A host that has been silent this long holds no keys that are current any more: it has lost the store and its peers.
    constexpr milliseconds quietTime { 6000 };
    // A host keeps its shares of replicas' limits for longer, so that a restart or a few lost messages do not hand them to others.
    constexpr milliseconds sharesKept { 15000 };
    constexpr uint64_t oldestAgeMs = 3'600'000; // keeps ages that a broken message names in range
    constexpr milliseconds loadTime { 1500 }; // what a silent peer had at replicas has probably ended, unless it tells more rarely

    bool isRecent(const std::optional<MonotonicTime>& at, MonotonicTime now, milliseconds within)
    {
        return at && now - *at < within;
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

void PeerExchange::addPeer(const std::string& host, const std::string& address, uint64_t port)
{
    if (host == m_settings.host) {
        return;
    }
    asio::error_code error;
    const auto ip = asio::ip::make_address_v4(address, error); // as the socket is
    if (error || port == 0 || port > std::numeric_limits<uint16_t>::max()) {
        m_log.warning("peer left out", { { "peer", host }, { "address", address }, { "port", port }, { "why", "no address that datagrams can be sent to" } });
        return;
    }
    auto& peer = m_peers[host];
    peer.endpoint = { ip, static_cast<uint16_t>(port) };
    if (!peer.listedAt) {
        peer.listedAt = std::chrono::steady_clock::now();
    }
}

void PeerExchange::receive()
{
    m_socket.async_receive_from(asio::buffer(m_buffer), m_sender, [this](const asio::error_code& error, size_t size) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        schema::HostStateMessage state;
        if (error) {
            m_log.warning("datagram not received", { { "why", error.message() } });
        } else if (!state.ParseFromArray(m_buffer.data(), static_cast<int>(size)) || state.host().empty()) {
            m_log.warning("datagram unreadable", { { "from", m_sender.address().to_string() }, { "bytes", size } });
        } else if (state.host() != m_settings.host) {
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
    if (newIncarnation) {
        peer.known.clear();
        peer.spendingKnown = false;
    }
    if (newIncarnation || !isRecent(peer.heardAt, now, silentAfter(m_pace))) {
        peer.joinedAt = now; // what it was told meanwhile may not have arrived
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
    for (const auto identity : state.leaving_replicas()) {
        m_forwarder.noteLeaving(identity, state.host());
    }
    applyProof(state);
    if (m_domainNews.apply && state.news_size() > 0) {
        m_domainNews.apply(state);
    }
    if (state.only_news()) {
        return;
    }
    peer.stopping = state.stopping();
    peer.wantsUsage = state.wants_usage();
    for (const auto& known : state.known()) {
        peer.known[known.collection()] = known.through();
    }
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
    applyLimits(state);
    applyCrashes(state);
    m_forwarder.rollouts().apply(state);
    applySpending(peer, state, now);
    if (state.tells_usage()) {
        peer.usageAt = now;
        applyUsage(state);
    }
}

void PeerExchange::applyLoads(const schema::HostStateMessage& state)
{
    LoadsOfHost told;
    for (const auto& load : state.loads()) {
        told[load.replica()] = { .requests = load.requests(), .unreadTokens = load.unread_tokens(), .heldTokens = load.held_tokens() };
        if (load.work_percent() > 0) {
            m_forwarder.noteWorkFactorTold(load.replica(), load.work_percent() / 100.0);
        }
    }
    replacePeerLoads(m_loads, state.host(), std::move(told), m_forwarder.replicas());
    m_forwarder.placeFreed();
}

void PeerExchange::applyLimits(const schema::HostStateMessage& state)
{
    const auto now = BootClock::now();
    for (const auto& told : state.limits()) {
        const std::chrono::duration<uint64_t, std::milli> age { std::min(told.age_ms(), oldestAgeMs) };
        LimitEvidence evidence { .at = now - age, .round = told.round() };
        if (told.has_requests_per_second()) {
            evidence.requestsPerSecond = told.requests_per_second();
        }
        m_forwarder.noteLimit(told.replica(), evidence, state.host());
    }
}

void PeerExchange::applyCrashes(const schema::HostStateMessage& state)
{
    const auto now = BootClock::now();
    const auto before = [now](uint64_t ageUs) { return now - std::chrono::microseconds { static_cast<int64_t>(std::min(ageUs, oldestAgeMs * 1000)) }; };
    for (const auto& told : state.crash_reports()) {
        m_forwarder.crashes().noteTold({ .id = told.id(),
            .replica = told.replica(),
            .failureDomain = told.failure_domain(),
            .sentAt = before(told.sent_age_us()),
            .crashedAt = before(told.crash_age_us()),
            .answeredAt = told.has_answered_age_us() ? std::optional { before(told.answered_age_us()) } : std::nullopt,
            .parts = { told.parts().begin(), told.parts().end() } });
    }
    for (const auto& told : state.alive_replicas()) {
        m_forwarder.crashes().noteAlive(told.replica(), before(told.age_us()));
    }
    for (const auto& told : state.sound_parts()) {
        m_forwarder.crashes().noteToldSound(told.part(), before(told.age_us()));
    }
}

void PeerExchange::applySpending(PeerHost& peer, const schema::HostStateMessage& state, MonotonicTime now)
{
    auto& quotas = m_forwarder.quotas();
    if (state.stopping()) {
        for (auto& [customer, quota] : quotas) {
            notePeerStop(quota, state.host());
        }
        return;
    }
    // A host that has told of all customers had spent nothing of those that it names only now.
    const auto before = peer.spendingKnown ? std::optional { 0.0 } : std::nullopt;
    for (const auto& spending : state.spending()) {
        notePeerSpending(quotas[spending.customer()], state.host(), state.incarnation(), spending.spent(), now, before);
    }
    peer.spendingKnown = peer.spendingKnown || state.whole_spending();
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

/** A domain whose last host has said that it stops is not silent for being cut off. */
void PeerExchange::forgetStopped(const std::string& failureDomain, MonotonicTime now)
{
    const bool others = std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& entry) { return entry.second.failureDomain == failureDomain && mayServe(entry.second, now); });
    if (!others) {
        m_forwarder.reachOf(failureDomain).peerHeardAt.reset();
    }
}

milliseconds PeerExchange::turnFor(const PeerHost& peer, MonotonicTime now) const
{
    if (!isRecent(peer.heardAt, now, quietTime)) {
        return turnToSilent;
    }
    return peer.failureDomain == m_settings.failureDomain ? m_pace.ownDomain : m_pace.otherDomains;
}

/** What follows from the set of live hosts, and from their silence. */
void PeerExchange::review(MonotonicTime now)
{
    const auto live = liveHosts().size();
    const auto ownDomain = liveDomainHosts().size();
    m_pace = exchangePace(ownDomain - 1, live - ownDomain, {});
    m_forwarder.setHostCount(live);
    m_forwarder.rollouts().setHearsPeers(live > 1 || m_peers.empty());
    m_forwarder.setPeerSilence(silentAfter(m_pace));
    m_forwarder.metrics().setPeers(live - 1);
    const auto forgetAfter = std::max(loadTime, 2 * silentAfter(m_pace));
    for (const auto& [host, peer] : m_peers) {
        if (!isRecent(peer.heardAt, now, forgetAfter) && forgetPeerLoads(m_loads, host, m_forwarder.replicas())) {
            m_log.warning("peer is silent", { { "peer", host }, { "for_ms", peer.heardAt ? std::chrono::duration_cast<milliseconds>(now - *peer.heardAt) : milliseconds { -1 } } });
        }
    }
    applyPeerLoads(m_loads, m_forwarder.replicas());
    noteOwnSpending(now);
    tellQuotasWhoWasHeard(now);
    if (!m_domainsReviewedAt || now - *m_domainsReviewedAt >= domainReviewInterval) {
        m_domainsReviewedAt = now;
        reviewDomains();
        reviewLimits(now);
    }
}

void PeerExchange::tellQuotasWhoWasHeard(MonotonicTime now)
{
    for (auto& [customer, quota] : m_forwarder.quotas()) {
        if (!isPeerReviewDue(quota, now + 2 * reviewInterval)) {
            continue;
        }
        for (const auto& [host, peer] : m_peers) {
            if (peer.heardAt && !peer.stopping) {
                notePeerHeard(quota, host, peer.incarnation, *peer.heardAt);
            }
        }
    }
}

void PeerExchange::reviewDomains()
{
    std::map<std::string, size_t> hosts;
    for (const auto& [host, peer] : m_peers) {
        if (!peer.failureDomain.empty() && !peer.stopping) {
            ++hosts[peer.failureDomain];
        }
    }
    for (const auto& [domain, count] : hosts) {
        m_forwarder.reachOf(domain).peerSilence = domainSilentAfter(domain == m_settings.failureDomain ? m_pace.ownDomain : m_pace.otherDomains, count);
    }
}

void PeerExchange::reviewLimits(MonotonicTime now)
{
    std::vector<std::string> hosts;
    if (!m_stopping) {
        hosts.push_back(m_settings.host);
    }
    for (const auto& [host, peer] : m_peers) {
        const auto& sign = peer.heardAt ? peer.heardAt : peer.listedAt;
        if (!peer.stopping && isRecent(sign, now, sharesKept)) {
            hosts.push_back(host);
        }
    }
    m_forwarder.crashes().setHosts(hosts);
    m_forwarder.limits().setHosts(std::move(hosts));
    m_forwarder.limits().review();
}

void PeerExchange::tick(MonotonicTime now)
{
    if (!m_reviewedAt || now - *m_reviewedAt >= reviewInterval) {
        m_reviewedAt = now;
        review(now);
    }
    const bool isFollowed = m_domainNews.isFollowed && m_domainNews.isFollowed();
    std::optional<schema::HostStateMessage> state;
    for (auto& [host, peer] : m_peers) {
        if (peer.nextAt && now < *peer.nextAt) {
            if (isFollowed) {
                tellNews(host, peer, now);
            }
            continue;
        }
        const auto turn = turnFor(peer, now);
        peer.nextAt = now + (peer.nextAt ? turn : phaseInTurn(m_settings.host, host, turn));
        if (!state) {
            state = ownState();
        }
        sendTo(peer, stateFor(peer, *state, now));
    }
}

void PeerExchange::announceStop()
{
    m_stopping = true;
    reviewLimits(std::chrono::steady_clock::now());
    for (auto& [host, peer] : m_peers) {
        peer.nextAt.reset();
    }
    tick(std::chrono::steady_clock::now());
}

bool PeerExchange::mayServe(const PeerHost& peer, MonotonicTime now) const
{
    return !peer.stopping && isRecent(peer.heardAt, now, quietTime);
}

FleetDemand PeerExchange::demandOf(const std::string& service) const
{
    const auto now = std::chrono::steady_clock::now();
    const auto own = m_forwarder.demandFor(service);
    FleetDemand demand { .promptTokensPerSecond = own.promptTokensPerSecond, .requests = static_cast<double>(m_forwarder.waitingFor(service)), .requestsPerSecond = own.requestsPerSecond };
    for (const auto& [host, peer] : m_peers) {
        if (auto told = peer.services.find(service); told != peer.services.end() && mayServe(peer, now)) {
            demand.promptTokensPerSecond += told->second.prompt_tokens_per_second();
            demand.requests += told->second.waiting();
            demand.requestsPerSecond += told->second.requests_per_second();
        }
    }
    for (const auto& replica : m_forwarder.replicas().ofService(service)) {
        demand.requests += replica->ownLoad.requests + replica->peerLoad.requests;
        if (!m_forwarder.isServing(*replica)) {
            continue;
        }
        if (const auto* limit = m_forwarder.limits().find(replica->identity); limit != nullptr) {
            demand.limitsPerSecond.push_back(*limit->evidence->requestsPerSecond);
        } else {
            ++demand.unlimitedReplicas;
        }
    }
    return demand;
}

bool PeerExchange::allUsageHeardSince(std::chrono::nanoseconds within) const
{
    const auto now = std::chrono::steady_clock::now();
    return std::all_of(m_peers.begin(), m_peers.end(), [&](const auto& entry) {
        const auto& peer = entry.second;
        return !mayServe(peer, now) || (peer.usageAt && now - *peer.usageAt < within);
    });
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

std::vector<std::string> PeerExchange::liveDomainHosts() const
{
    const auto now = std::chrono::steady_clock::now();
    std::vector<std::string> hosts { m_settings.host };
    for (const auto& [host, peer] : m_peers) {
        if (peer.failureDomain == m_settings.failureDomain && mayServe(peer, now)) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

} // namespace siskinspread
