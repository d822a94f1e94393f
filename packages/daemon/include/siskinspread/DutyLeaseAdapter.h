#pragma once

#include "siskinspread/DutyLease.h"
#include "siskinspread/HostContext.h"
#include "siskinspread/ObjectApi.h"
#include "siskinspread/Timers.h"

#include <functional>
#include <optional>
#include <string>

namespace siskinspread {

/** Reads the monotonic clock. */
using MonotonicClock = std::function<MonotonicTime()>;

/**
 * Joins the decision about a duty's lease to its object in the platform's object API, "leases/DUTY".
 *
 * Each step takes the clock's own time: HostContext::now is that of the turn's beginning, and a process that was paused
 * since then would count a version that it sees from before that version was made.
 * Thread safety: decide thread only.
 */
class DutyLeaseAdapter {
public:
    struct Parts {
        Timers& timers;
        MonotonicClock clock;
        std::function<std::optional<uint32_t>()> rank; /**< Of this host for the duty; empty: it does not stand. */
    };

    DutyLeaseAdapter(HostContext&, Parts, ObjectApiOptions, std::string duty);

    /** Begins to stand for the duty. */
    void start();

    /** Ends the lease at once and lets another host take it. For good. */
    void release();

    /** @return the fencing number while the lease is certainly held at this moment. */
    std::optional<uint64_t> heldFencingNumber() const { return siskinspread::heldFencingNumber(m_state, m_parts.clock()); }

    /** @return the end of the lease as far as it is known. Meaningful while it is held. */
    MonotonicTime validUntil() const { return m_state.validUntil; }

    const std::string& duty() const { return m_duty; }

private:
    void tick();
    void take(const LeaseEvent&);
    void act(const ReadLease&);
    void act(const WriteLease&);
    void act(const LeaseGained&);
    void act(const LeaseEnded&);
    void onRead(const TransferEnded&);
    void onWritten(const TransferEnded&);
    void log(std::string message, uint64_t fencingNumber);

    HostContext& m_context;
    const Parts m_parts;
    const LeaseOptions m_options;
    ObjectApiOptions m_store;
    const std::string m_duty;
    LeaseState m_state;
};

} // namespace siskinspread
