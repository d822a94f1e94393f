#include "siskinspread/DutyDesk.h"

#include "siskinspread/DutyRank.h"
#include "siskinspread/JsonFields.h"

#include <nlohmann/json.hpp>

namespace siskinspread {

namespace {

    using std::chrono::milliseconds;

    constexpr std::string_view leaseName = "duties";
    constexpr uint32_t candidates = 2; // hosts that read the lease while they do not hold it

    /** The boot clock's instant as the decisions take it: a lease also runs out while the machine is suspended. */
    MonotonicTime leaseNow()
    {
        return MonotonicTime { std::chrono::duration_cast<MonotonicTime::duration>(BootClock::now().time_since_epoch()) };
    }

    nlohmann::json leaseContent(const LeaseRecord& record)
    {
        return { { "holder", record.holder }, { "fencing_number", record.fencingNumber }, { "write", record.writeId } };
    }

    LeaseRecord leaseRecord(const nlohmann::json& content)
    {
        return { .holder = textField(content, "holder"), .fencingNumber = countField(content, "fencing_number", 0), .writeId = textField(content, "write") };
    }

} // namespace

DutyDesk::DutyDesk(const ForwardingSettings& settings, const PlatformAdapter& adapter, Forwarder& forwarder, PeerExchange& peers, StoreCalls& calls, HostLog& log,
    TrueTime& time, uint64_t incarnation)
    : m_settings(settings)
    , m_adapter(adapter)
    , m_forwarder(forwarder)
    , m_peers(peers)
    , m_calls(calls)
    , m_log(log)
    , m_time(time)
{
    // The margin covers a call that was sent just before the end of the lease and is still on its way.
    m_leaseOptions = { .duration = settings.bounds.lease * 2,
        .renewInterval = settings.bounds.lease / 2,
        .pollInterval = settings.bounds.lease / 2,
        .retryInterval = milliseconds { 300 },
        .rankDelay = settings.bounds.lease / 2,
        .margin = settings.bounds.lease * 3 / 4 };
    m_lease.self = settings.host + "." + std::to_string(incarnation);
}

void DutyDesk::stepLease(const LeaseEvent& event)
{
    std::vector<LeaseAction> actions;
    step(m_lease, m_leaseOptions, event, leaseNow(), actions);
    for (const auto& action : actions) {
        perform(action);
    }
}

void DutyDesk::perform(const LeaseAction& action)
{
    if (std::holds_alternative<ReadLease>(action)) {
        readLease();
    } else if (const auto* write = std::get_if<WriteLease>(&action)) {
        writeLease(*write);
    } else if (const auto* gained = std::get_if<LeaseGained>(&action)) {
        m_held = true;
        m_usageRevision.reset();
        m_windows.clear();
        m_unwritten.clear();
        m_orders.clear();
        m_log.info("duties gained", { { "fencing_number", gained->fencingNumber } });
    } else {
        m_held = false;
        m_log.info("duties lost", { { "open_calls", m_dutyCalls.size() } });
        cancelDutyCalls();
    }
}

void DutyDesk::startDutyCall(std::string_view purpose, StartTransfer transfer, StoreCalls::Answered answered)
{
    auto call = std::make_shared<TransferId>();
    *call = m_calls.start(purpose, std::move(transfer), [this, call, answered = std::move(answered)](const TransferEnded& ended) {
        m_dutyCalls.erase(*call);
        answered(ended);
    });
    m_dutyCalls.insert(*call);
}

void DutyDesk::cancelDutyCalls()
{
    for (const auto call : m_dutyCalls) {
        if (!m_calls.cancel(call)) {
            m_log.warning("call of the duties not cancelled", { { "why", "too many calls wait" } });
        }
    }
}

void DutyDesk::readLease()
{
    m_calls.start("lease", m_adapter.readDocument(StoreCollection::Leases, leaseName), [this](const TransferEnded& ended) {
        LastReason reason;
        const auto answer = m_adapter.storeAnswer(ended, false);
        auto document = answer == StoreAnswer::Done ? m_adapter.decodeDocument(ended, reason) : std::nullopt;
        if (answer == StoreAnswer::Absent) {
            stepLease(LeaseRead {});
        } else if (document) {
            stepLease(LeaseRead { .record = leaseRecord(document->content), .objectVersion = document->revision });
        } else {
            stepLease(LeaseReadFailed {});
        }
    });
}

void DutyDesk::writeLease(const WriteLease& write)
{
    auto call = write.ifObjectVersion == 0 ? m_adapter.createDocument(StoreCollection::Leases, leaseName, leaseContent(write.record))
                                           : m_adapter.replaceDocument(StoreCollection::Leases, leaseName, write.ifObjectVersion, leaseContent(write.record));
    m_calls.start("lease", std::move(call), [this](const TransferEnded& ended) {
        LastReason reason;
        switch (m_adapter.storeAnswer(ended, true)) {
        case StoreAnswer::Done:
            if (auto document = m_adapter.decodeDocument(ended, reason)) {
                stepLease(LeaseWritten { .objectVersion = document->revision });
            } else {
                stepLease(LeaseWriteUnanswered {});
            }
            break;
        case StoreAnswer::Unknown:
            stepLease(LeaseWriteUnanswered {});
            break;
        default:
            stepLease(LeaseWriteRefused {});
            break;
        }
    });
}

std::optional<DutyStamp> DutyDesk::stamp() const
{
    auto number = heldFencingNumber(m_lease, leaseNow());
    return number ? std::optional { DutyStamp { .holder = m_settings.host, .fencingNumber = *number } } : std::nullopt;
}

void DutyDesk::release()
{
    stepLease(LeaseRelease {});
}

void DutyDesk::tick()
{
    if (m_settings.cloud.port == 0 && !m_forwarder.rollouts().hasOrders()) {
        return;
    }
    auto rank = dutyRank(leaseName, m_settings.host, m_peers.liveHosts(), candidates);
    if (rank != m_lease.rank) {
        stepLease(LeaseCandidacy { .rank = rank });
    }
    // Candidates gather as well, so that a takeover finds the counts of all hosts.
    m_peers.setGathersUsage(m_held || rank.has_value());
    stepLease(LeaseTick {});
    if (!m_held) {
        return;
    }
    if (m_settings.reportsUsage) {
        tickUsage();
    }
    if (m_settings.ordersReplicas) {
        tickFleet();
    }
    tickRollouts();
}

} // namespace siskinspread
