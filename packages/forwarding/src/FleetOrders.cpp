// The part of DutyDesk that orders replicas.
#include "siskinspread/DutyDesk.h"

#include <algorithm>

namespace siskinspread {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds planInterval { 500 };
    constexpr milliseconds repeatInterval { 8000 }; // an order that has not shown its effect by then is given again: twice the usual start
    constexpr milliseconds unavailableTime { 2000 }; // before reclaimable replicas are asked for again where there were none
    // Fewer replicas are ordered only after the need has been lower for this long: a start takes seconds.
    constexpr milliseconds lowTime { 6000 };
    constexpr int conflictStatus = 409;
    constexpr milliseconds settlingTime { 3000 }; // without a new replica, after which those that are there are taken for all
    constexpr double adoptedShare = 0.7; // of the replicas that a new holder finds, as the need that it starts from
    constexpr milliseconds measuringTime { 12000 }; // before the need that a new holder started from is lowered

} // namespace

void DutyDesk::tickFleet()
{
    const auto now = std::chrono::steady_clock::now();
    if (now - m_fleetAt < planInterval || !m_forwarder.table() || !m_forwarder.keysAreCurrent()) {
        return;
    }
    m_fleetAt = now;
    for (const auto& service : m_forwarder.table()->configuration().services) {
        if (service.fleet && service.engine) {
            planService(service, now);
        }
    }
}

void DutyDesk::planService(const ServiceProfile& service, MonotonicTime now)
{
    const auto& fleet = *service.fleet;
    const FleetLimits limits { .minPerDomain = fleet.minReplicas, .maxPerDomain = fleet.maxReplicas, .reclaimablePrice = fleet.reclaimablePrice, .slots = service.engine->slots };
    const auto demand = m_peers.demandOf(service.name);
    const uint32_t wanted = replicasNeeded(demand, limits, m_fleetOptions);
    // What a new holder finds was enough for the load so far, which it has not measured yet.
    const auto serving = static_cast<uint32_t>(m_forwarder.replicas().ofService(service.name).size());
    if (!isSettled(service.name, serving, demand, now)) {
        return;
    }
    auto [known, isNew] = m_needed.try_emplace(service.name, std::max(wanted, static_cast<uint32_t>(static_cast<double>(serving) * adoptedShare)));
    if (isNew) {
        m_lowSince[service.name] = now + measuringTime;
    }
    if (wanted >= known->second) {
        known->second = wanted;
        m_lowSince[service.name] = now;
    } else if (now - m_lowSince[service.name] > lowTime) {
        --known->second;
        m_lowSince[service.name] = now - lowTime + milliseconds { 1000 };
    }
    std::vector<DomainFleet> domains;
    for (const auto& [domain, price] : fleet.domainPrices) {
        const OrderKey reclaimable { .service = service.name, .domain = domain, .reclaimable = true };
        domains.push_back({ .domain = domain, .price = price, .reclaimable = servingAt(reclaimable), .ordinary = servingAt({ .service = service.name, .domain = domain, .reclaimable = false }), .reclaimableUnavailable = m_orders[reclaimable].unavailable });
    }
    std::sort(domains.begin(), domains.end(), [](const DomainFleet& a, const DomainFleet& b) { return a.domain < b.domain; });
    auto orders = planFleet(known->second, domains, limits, m_fleetOptions);
    keepUntilReplaced(service.name, known->second, orders);
    fitPlaces(orders, domains, limits);
    for (const auto& wantedThere : orders) {
        order({ .service = service.name, .domain = wantedThere.domain, .reclaimable = false }, wantedThere.ordinary, now);
        if (limits.reclaimablePrice) {
            order({ .service = service.name, .domain = wantedThere.domain, .reclaimable = true }, wantedThere.reclaimable, now);
        }
    }
}

/** Replicas that are all still starting, or not listed yet, tell nothing of what is needed. */
bool DutyDesk::isSettled(const std::string& service, uint32_t serving, const FleetDemand& demand, MonotonicTime now)
{
    auto& settling = m_settling[service];
    if (serving != settling.replicas) {
        settling = { .replicas = serving, .since = now, .done = settling.done };
    }
    settling.done = settling.done || demand.requests > 0 || (serving > 0 && now - settling.since > settlingTime);
    return settling.done;
}

/** Ordinary replicas leave only when as many others serve as are needed: a start takes seconds. */
void DutyDesk::keepUntilReplaced(const std::string& service, uint32_t needed, std::vector<DomainOrder>& orders) const
{
    uint32_t serving = 0;
    for (const auto& there : orders) {
        serving += servingAt({ .service = service, .domain = there.domain, .reclaimable = false });
        serving += std::min(there.reclaimable, servingAt({ .service = service, .domain = there.domain, .reclaimable = true }));
    }
    uint32_t mayLeave = serving - std::min(serving, needed);
    for (auto& there : orders) {
        const uint32_t now = servingAt({ .service = service, .domain = there.domain, .reclaimable = false });
        if (now > there.ordinary) {
            const uint32_t leaving = std::min(mayLeave, now - there.ordinary);
            mayLeave -= leaving;
            there.ordinary = now - leaving;
        }
    }
}

uint32_t DutyDesk::servingAt(const OrderKey& key) const
{
    const auto& replicas = m_forwarder.replicas().ofService(key.service);
    return static_cast<uint32_t>(std::count_if(replicas.begin(), replicas.end(), [&](const auto& replica) {
        return replica->entry.failureDomain == key.domain && replica->entry.reclaimable == key.reclaimable && m_forwarder.isServing(*replica);
    }));
}

void DutyDesk::order(const OrderKey& key, uint32_t replicas, MonotonicTime now)
{
    auto& state = m_orders[key];
    // An order stands until the next, but what leaves without an order is only sometimes made good.
    const uint32_t serving = servingAt(key);
    const bool lost = serving < replicas && (now - state.at > repeatInterval || serving < state.serving);
    state.serving = serving;
    if (state.open || now < state.retryAt || (state.known && state.asked == replicas && !lost)) {
        return;
    }
    auto duty = stamp();
    if (!duty) {
        return;
    }
    state.open = true;
    state.at = now;
    m_log.info("replicas ordered", { { "service", key.service }, { "domain", key.domain }, { "reclaimable", key.reclaimable }, { "replicas", replicas }, { "before", state.asked }, { "needed", m_needed[key.service] }, { "fencing_number", duty->fencingNumber } });
    const FleetOrder wanted { .service = key.service, .failureDomain = key.domain, .replicas = replicas, .reclaimable = key.reclaimable };
    startDutyCall("fleet_order", m_adapter.orderReplicas(wanted, *duty), [this, key, replicas](const TransferEnded& ended) {
        auto& answered = m_orders[key];
        answered.open = false;
        answered.known = ended.end == TransferEnd::Complete && ended.status == 200;
        answered.asked = replicas;
        // An order that is met by what serves already says nothing of whether there are more.
        answered.unavailable = ended.status == conflictStatus || (answered.unavailable && replicas <= servingAt(key));
        if (!answered.known) {
            answered.retryAt = std::chrono::steady_clock::now() + (ended.status == conflictStatus ? unavailableTime : milliseconds { 500 });
            m_log.warning("order for replicas not taken", { { "service", key.service }, { "domain", key.domain }, { "status", ended.status }, { "why", ended.detail } });
        }
    });
}

} // namespace siskinspread
