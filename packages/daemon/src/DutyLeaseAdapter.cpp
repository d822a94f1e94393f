#include "siskinspread/DutyLeaseAdapter.h"

#include "siskinspread/RecordCodec.h"

#include <algorithm>

namespace siskinspread {

namespace {

    constexpr std::chrono::milliseconds tickInterval { 250 };

    StoreOutcome outcomeOf(StoreResult result)
    {
        switch (result) {
        case StoreResult::Done:
        case StoreResult::Absent:
            return StoreOutcome::Answered;
        case StoreResult::Conflict:
            return StoreOutcome::Conflict;
        default:
            return StoreOutcome::Unavailable;
        }
    }

} // namespace

DutyLeaseAdapter::DutyLeaseAdapter(HostContext& context, Parts parts, ObjectApiOptions store, std::string duty)
    : m_context(context)
    , m_parts(std::move(parts))
    , m_store(std::move(store))
    , m_duty(std::move(duty))
{
    m_store.timeout = std::min(m_store.timeout, m_options.renewInterval);
    m_state.self = m_context.incarnation.text;
}

void DutyLeaseAdapter::start()
{
    tick();
}

void DutyLeaseAdapter::release()
{
    take(LeaseRelease {});
}

void DutyLeaseAdapter::tick()
{
    m_parts.timers.schedule(m_context.now + tickInterval, [this] { tick(); });
    take(LeaseCandidacy { .rank = m_parts.rank() });
    take(LeaseTick {});
}

void DutyLeaseAdapter::take(const LeaseEvent& event)
{
    std::vector<LeaseAction> actions;
    step(m_state, m_options, event, m_parts.clock(), actions);
    for (const LeaseAction& action : actions) {
        std::visit([this](const auto& a) { act(a); }, action);
    }
}

void DutyLeaseAdapter::act(const ReadLease&)
{
    m_context.platform.start(readObject(m_store, leaseName(m_duty)), [this](const ClientEvent& event) { onRead(std::get<TransferEnded>(event)); });
}

void DutyLeaseAdapter::onRead(const TransferEnded& ended)
{
    const StoreResult result = storeResult(ended, false);
    m_context.metrics.countStoreCall(StorePurpose::DutyLease, outcomeOf(result));
    if (result == StoreResult::Absent) {
        take(LeaseRead {});
        return;
    }
    LastReason reason;
    const auto record = result == StoreResult::Done ? decodeLeaseRecord(ended.body, reason) : std::nullopt;
    if (!record || !storedVersion(ended)) {
        take(LeaseReadFailed {});
        return;
    }
    take(LeaseRead { .record = *record, .objectVersion = storedVersion(ended) });
}

void DutyLeaseAdapter::act(const WriteLease& write)
{
    const std::string name = leaseName(m_duty);
    std::string value = encodeLeaseRecord(write.record);
    StartTransfer transfer = write.ifObjectVersion ? replaceObject(m_store, name, write.ifObjectVersion, std::move(value)) : createObject(m_store, name, std::move(value));
    m_context.platform.start(std::move(transfer), [this](const ClientEvent& event) { onWritten(std::get<TransferEnded>(event)); });
}

void DutyLeaseAdapter::onWritten(const TransferEnded& ended)
{
    const StoreResult result = storeResult(ended, true);
    m_context.metrics.countStoreCall(StorePurpose::DutyLease, outcomeOf(result));
    if (result == StoreResult::Conflict) {
        take(LeaseWriteRefused {});
    } else if (result == StoreResult::Done && storedVersion(ended)) {
        take(LeaseWritten { .objectVersion = storedVersion(ended) });
    } else {
        take(LeaseWriteUnanswered {});
    }
}

void DutyLeaseAdapter::act(const LeaseGained& gained)
{
    log("a duty was taken on", gained.fencingNumber);
}

void DutyLeaseAdapter::act(const LeaseEnded&)
{
    log("a duty has ended here", m_state.fencingNumber);
}

void DutyLeaseAdapter::log(std::string message, uint64_t fencingNumber)
{
    m_context.log.write({ .level = LogLevel::Info, .message = std::move(message), .fields = { { .name = "duty", .value = m_duty }, { .name = "fencing_number", .value = fencingNumber } } });
}

} // namespace siskinspread
