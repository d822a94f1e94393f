#include "siskinspread/AdmissionDesk.h"

#include <utility>

namespace siskinspread {

AdmissionDesk::AdmissionDesk(HostContext& context, Timers& timers, ServicePools& pools)
    : m_context(context)
    , m_timers(timers)
    , m_pools(pools)
{
}

void AdmissionDesk::enter(uint64_t sequence, AdmissionCall call)
{
    const std::shared_ptr<ServicePool> pool = call.pool;
    const schema::CustomerLimit limit = customerLimit(pool->service, call.customer);
    const AdmissionRequest request {
        .sequence = sequence,
        .customer = call.customer,
        .weight = limit.weight(),
        .customerLimit = limit.max_in_flight(),
        .work = call.work,
        .deadline = call.deadline,
        .expectedDuration = call.expectedDuration,
    };
    const AdmissionDecision decision = admitRequest(pool->admission, pool->admissionOptions, request, m_context.now);
    m_entries.emplace(sequence, Entry { .call = std::move(call) });
    if (decision.displaced) {
        refuse(*decision.displaced);
    }
    if (decision.outcome == AdmissionOutcome::Refused) {
        refuse(*decision.refusal);
    } else if (decision.outcome == AdmissionOutcome::Admitted) {
        apply({ .admitted = { sequence }, .refused = {} });
    } else {
        scheduleReview(pool);
    }
}

void AdmissionDesk::leave(uint64_t sequence)
{
    const auto entry = m_entries.find(sequence);
    if (entry == m_entries.end()) {
        return;
    }
    const Entry left = std::move(entry->second);
    m_entries.erase(entry);
    ServicePool& pool = *left.call.pool;
    if (!left.admitted) {
        cancelWaiting(pool.admission, sequence);
        return;
    }
    AdmissionChanges changes;
    finishRequest(pool.admission, pool.admissionOptions, left.call.customer, m_context.now, changes);
    apply(changes);
}

void AdmissionDesk::review()
{
    for (const auto& [name, pool] : m_pools.services()) {
        review(pool);
    }
}

void AdmissionDesk::review(const std::shared_ptr<ServicePool>& pool)
{
    AdmissionChanges changes;
    reviewWaiting(pool->admission, pool->admissionOptions, m_context.now, changes);
    apply(changes);
    scheduleReview(pool);
}

// All are marked before a handler runs, as a handler may make another of them leave.
void AdmissionDesk::apply(const AdmissionChanges& changes)
{
    for (const uint64_t sequence : changes.admitted) {
        m_entries.at(sequence).admitted = true;
    }
    for (const AdmissionRefusal& refusal : changes.refused) {
        refuse(refusal);
    }
    for (const uint64_t sequence : changes.admitted) {
        const auto entry = m_entries.find(sequence);
        if (entry != m_entries.end()) {
            const auto admitted = std::move(entry->second.call.admitted);
            admitted();
        }
    }
}

void AdmissionDesk::refuse(const AdmissionRefusal& refusal)
{
    const auto entry = m_entries.find(refusal.sequence);
    if (entry == m_entries.end()) {
        return;
    }
    const auto refused = std::move(entry->second.call.refused);
    m_entries.erase(entry);
    refused(refusal);
}

void AdmissionDesk::scheduleReview(const std::shared_ptr<ServicePool>& pool)
{
    const auto next = nextReview(pool->admission, pool->admissionOptions);
    if (!next || *next >= pool->reviewAt) {
        return;
    }
    pool->reviewAt = *next;
    m_timers.schedule(*next, [this, pool] {
        pool->reviewAt = MonotonicTime::max();
        review(pool);
    });
}

} // namespace siskinspread
