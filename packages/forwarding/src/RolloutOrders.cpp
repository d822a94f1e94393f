// The part of DutyDesk that moves services to other versions.
#include "siskinspread/DutyDesk.h"

#include <algorithm>

namespace siskinspread {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds writeRetry { 300 };

} // namespace

void DutyDesk::tickRollouts()
{
    auto& rollouts = m_forwarder.rollouts();
    if (!rollouts.hasOrders() || !m_forwarder.table()) {
        return;
    }
    const auto liveHosts = m_peers.liveHosts();
    for (auto& [service, record] : rollouts.orders()) {
        if (record.state == RolloutState::Complete || record.state == RolloutState::RolledBack || m_rolloutCalls.contains(service)) {
            continue;
        }
        const auto progress = rollouts.progressOf(record, m_forwarder.replicas(), liveHosts, longestRequestOf(service));
        if (record.state == RolloutState::Ordered && progress.placesOfCandidate > 0) {
            writeRollout(record, RolloutState::InProgress);
        } else {
            act(record, nextStep(progress, record.fault.has_value(), rollouts.options()));
        }
    }
}

void DutyDesk::act(RolloutRecord& record, const RolloutStep& step)
{
    switch (step.action) {
    case RolloutStep::Action::Wait:
        break;
    case RolloutStep::Action::Move:
        if (const auto duty = stamp()) {
            m_forwarder.rollouts().move(record, step.share, duty->fencingNumber);
        }
        break;
    case RolloutStep::Action::Complete:
        writeRollout(record, RolloutState::Complete);
        break;
    case RolloutStep::Action::RollBack:
        writeRollout(record, RolloutState::RolledBack);
        break;
    }
}

/** A write under the revision that this host knows: an order that was changed meanwhile is not answered for another. */
void DutyDesk::writeRollout(const RolloutRecord& record, RolloutState state)
{
    const auto now = std::chrono::steady_clock::now();
    const auto service = record.order.service;
    if (now < m_rolloutRetryAt[service] || !stamp()) {
        return;
    }
    m_rolloutCalls.insert(service);
    startDutyCall("rollout", m_adapter.writeRolloutState(record.document, record.revision, record.order, state), [this, service, key = record.key, state](const TransferEnded& ended) {
        m_rolloutCalls.erase(service);
        const auto answer = m_adapter.storeAnswer(ended, true);
        if (answer != StoreAnswer::Done) {
            m_rolloutRetryAt[service] = std::chrono::steady_clock::now() + writeRetry;
            m_log.warning("rollout state not written", { { "service", service }, { "state", rolloutStateName(state) }, { "status", ended.status }, { "why", ended.detail } });
            return;
        }
        auto& orders = m_forwarder.rollouts().orders();
        const auto found = orders.find(service);
        if (found == orders.end() || found->second.key != key) {
            return;
        }
        LastReason reason;
        if (const auto document = m_adapter.decodeDocument(ended, reason)) {
            found->second.revision = std::max(found->second.revision, document->revision);
        }
        m_forwarder.rollouts().setState(found->second, state);
    });
}

/** @return for how long a request on a route to the service may be at a replica. */
milliseconds DutyDesk::longestRequestOf(const std::string& service) const
{
    milliseconds longest { 0 };
    for (const auto& route : m_forwarder.table()->configuration().routes) {
        const bool leadsThere = std::any_of(route.services.begin(), route.services.end(), [&](const auto& target) { return target.service == service; });
        longest = leadsThere ? std::max(longest, route.timeout) : longest;
    }
    return longest;
}

} // namespace siskinspread
