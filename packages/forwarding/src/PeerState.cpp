// The part of PeerExchange that tells the state of this host.
#include "siskinspread/PeerExchange.h"

#include <cmath>

namespace siskinspread {

namespace {

    using std::chrono::milliseconds;

    constexpr size_t maxWindowsTold = 4;
    constexpr int maxLeavingTold = 64; // 512 bytes; of more, the others are told once their entries are gone
    // Several messages to each peer tell of a change, so that it is known when some of them are lost.
    constexpr milliseconds spendingToldFor { 3000 };
    constexpr milliseconds wholeSpendingInterval { 5000 }; // heals what was lost all the same
    // Longer than three turns between 380 hosts. A change is told for so long, so that some of its messages may be lost.
    constexpr std::chrono::seconds limitToldFor { 12 };
    constexpr milliseconds wholeLimitsInterval { 15000 };
    constexpr int maxLimitsTold = 64; // 1.5 KB
    constexpr milliseconds joiningTime { 3000 }; // a new host learns everything from several messages
    // So few hosts tell each other their usage without being asked: four windows of 16 customers add 1.5 KB to a message.
    constexpr size_t fewHosts = 16;

    uint64_t bootMicroseconds(BootTime time)
    {
        return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count());
    }

} // namespace

schema::HostStateMessage PeerExchange::ownState() const
{
    schema::HostStateMessage state;
    state.set_host(m_settings.host);
    state.set_failure_domain(m_settings.failureDomain);
    state.set_incarnation(m_incarnation);
    state.set_configuration_version(m_forwarder.table() ? m_forwarder.table()->configuration().version : 0);
    state.set_stopping(m_stopping);
    state.set_wants_usage(m_gathersUsage);
    if (m_domainNews.tellKnown) {
        m_domainNews.tellKnown(state);
    }
    for (const auto& [instance, replica] : m_forwarder.replicas().all()) {
        if (replica->leavingByAnswer && state.leaving_replicas_size() < maxLeavingTold) {
            state.add_leaving_replicas(replica->identity);
        }
        if (replica->ownLoad.requests > 0) {
            auto& load = *state.add_loads();
            load.set_replica(replica->identity);
            load.set_requests(replica->ownLoad.requests);
            load.set_unread_tokens(replica->ownLoad.unreadTokens);
            load.set_held_tokens(replica->ownLoad.heldTokens);
            if (replica->workFactor.latestAt != MonotonicTime {}) { // otherwise another host has told it
                load.set_work_percent(static_cast<uint32_t>(std::lround(replica->workFactor.usual * 100.0)));
            }
        }
    }
    if (m_forwarder.table()) {
        for (const auto& service : m_forwarder.table()->configuration().services) {
            auto& demand = *state.add_services();
            demand.set_service(service.name);
            const auto own = m_forwarder.demandFor(service.name);
            demand.set_prompt_tokens_per_second(own.promptTokensPerSecond);
            if (m_forwarder.limits().namedCount() > 0) {
                demand.set_requests_per_second(own.requestsPerSecond);
            }
            demand.set_waiting(m_forwarder.waitingFor(service.name));
        }
    }
    m_forwarder.rollouts().tell(state);
    // Asked for early enough that several answers may be lost before the keys' bound.
    const auto provenAt = m_forwarder.provenAt();
    if (!provenAt || BootClock::now() - *provenAt > m_settings.bounds.revocationInForce / 5) {
        state.set_proof_wanted_at_us(bootMicroseconds(BootClock::now()));
    }
    return state;
}

void PeerExchange::tellUsage(schema::HostStateMessage& state) const
{
    state.set_tells_usage(true);
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
}

void PeerExchange::noteOwnSpending(MonotonicTime now)
{
    for (const auto& [customer, quota] : m_forwarder.quotas()) {
        auto& own = m_ownSpending[customer];
        if (own.spent != quota.spent) {
            own = { .spent = quota.spent, .changedAt = now };
        }
    }
}

void PeerExchange::tellSpending(schema::HostStateMessage& state, bool whole, MonotonicTime now) const
{
    state.set_whole_spending(whole);
    for (const auto& [customer, quota] : m_forwarder.quotas()) {
        const auto own = m_ownSpending.find(customer);
        const bool changed = own == m_ownSpending.end() || own->second.spent != quota.spent || now - own->second.changedAt < spendingToldFor;
        if (whole || changed) {
            auto& spending = *state.add_spending();
            spending.set_customer(customer);
            spending.set_spent(quota.spent);
        }
    }
}

void PeerExchange::tellLimits(schema::HostStateMessage& state, bool whole) const
{
    const auto now = BootClock::now();
    for (const auto& [identity, limit] : m_forwarder.limits().all()) {
        // The holders of the shares are shown a limit again with each call, so the other hosts need not tell of it.
        const auto& evidence = *limit.evidence;
        const bool isSource = limit.firstHand && (limit.holdsShare || !evidence.requestsPerSecond);
        const bool isDue = whole || now - limit.changedAt < limitToldFor;
        if (!isSource || !isDue || state.limits_size() >= maxLimitsTold) {
            continue;
        }
        auto& told = *state.add_limits();
        told.set_replica(identity);
        if (evidence.requestsPerSecond) {
            told.set_requests_per_second(*evidence.requestsPerSecond);
        }
        told.set_age_ms(static_cast<uint64_t>(std::max<int64_t>(0, std::chrono::duration_cast<milliseconds>(now - evidence.at).count())));
        told.set_round(evidence.round);
    }
}

void PeerExchange::tellCrashes(schema::HostStateMessage& state, bool whole) const
{
    const auto now = BootClock::now();
    const auto ageOf = [now](BootTime at) { return static_cast<uint64_t>(std::max<int64_t>(0, std::chrono::duration_cast<std::chrono::microseconds>(now - at).count())); };
    const auto& crashes = m_forwarder.crashes();
    const auto told = crashes.evidenceToTell(whole, m_sequence);
    for (const auto* report : told.reports) {
        auto& message = *state.add_crash_reports();
        message.set_id(report->id);
        message.set_replica(report->replica);
        message.set_failure_domain(report->failureDomain);
        message.set_sent_age_us(ageOf(report->sentAt));
        message.set_crash_age_us(ageOf(report->crashedAt));
        if (report->answeredAt) {
            message.set_answered_age_us(ageOf(*report->answeredAt));
        }
        message.mutable_parts()->Add(report->parts.begin(), report->parts.end());
    }
    for (const auto part : told.sound) {
        auto& message = *state.add_sound_parts();
        message.set_part(part);
        message.set_age_us(ageOf(crashes.evidence().sound.at(part).begunAt));
    }
    for (const auto replica : told.alive) {
        auto& message = *state.add_alive_replicas();
        message.set_replica(replica);
        message.set_age_us(ageOf(crashes.evidence().aliveAt.at(replica)));
    }
}

schema::HostStateMessage PeerExchange::stateFor(PeerHost& peer, const schema::HostStateMessage& state, MonotonicTime now)
{
    auto message = state;
    const bool joining = !peer.joinedAt || now - *peer.joinedAt < joiningTime;
    const bool whole = joining || !peer.wholeSentAt || now - *peer.wholeSentAt >= wholeSpendingInterval;
    if (whole) {
        peer.wholeSentAt = now;
    }
    tellSpending(message, whole, now);
    const bool wholeLimits = joining || !peer.limitsSentAt || now - *peer.limitsSentAt >= wholeLimitsInterval;
    if (wholeLimits) {
        peer.limitsSentAt = now;
    }
    tellLimits(message, wholeLimits);
    tellCrashes(message, wholeLimits);
    if (peer.wantsUsage || m_stopping || m_peers.size() < fewHosts) {
        tellUsage(message);
    }
    if (m_domainNews.tell && peer.failureDomain == m_settings.failureDomain) {
        m_domainNews.tell(message, peer.known);
    }
    message.set_sequence(++m_sequence);
    tellProof(peer, message);
    return message;
}

void PeerExchange::tellProof(PeerHost& peer, schema::HostStateMessage& message) const
{
    const auto provenAt = m_forwarder.provenAt();
    if (peer.askedProofAt && provenAt && peer.askedVersion == message.configuration_version()) {
        message.set_proof_for_us(*peer.askedProofAt);
        message.set_proof_age_us(bootMicroseconds(BootClock::now()) - bootMicroseconds(*provenAt));
    }
    peer.askedProofAt.reset();
}

void PeerExchange::tellNews(const std::string& host, PeerHost& peer, MonotonicTime now)
{
    const bool due = !peer.nextNewsAt || now >= *peer.nextNewsAt;
    if (!due || peer.failureDomain != m_settings.failureDomain || !mayServe(peer, now)) {
        return;
    }
    peer.nextNewsAt = now + (peer.nextNewsAt ? m_pace.news : phaseInTurn(m_settings.host, host, m_pace.news));
    schema::HostStateMessage message;
    message.set_host(m_settings.host);
    message.set_failure_domain(m_settings.failureDomain);
    message.set_incarnation(m_incarnation);
    message.set_configuration_version(m_forwarder.table() ? m_forwarder.table()->configuration().version : 0);
    message.set_only_news(true);
    m_domainNews.tell(message, peer.known);
    message.set_sequence(++m_sequence);
    tellProof(peer, message);
    sendTo(peer, message);
}

void PeerExchange::sendTo(PeerHost& peer, const schema::HostStateMessage& state)
{
    asio::error_code error;
    const auto bytes = state.SerializeAsString();
    m_socket.send_to(asio::buffer(bytes), peer.endpoint, 0, error);
    if (error) {
        m_log.warning("datagram not sent", { { "peer", peer.endpoint.address().to_string() }, { "bytes", bytes.size() }, { "why", error.message() } });
    }
}

} // namespace siskinspread
