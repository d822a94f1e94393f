#pragma once

#include "siskinspread/Time.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace siskinspread {

/** The lease object in the platform's object API. An absent object has version zero. */
struct LeaseRecord {
    std::string holder; /**< Text of the holder's incarnation id; empty once it has released the lease. */
    uint64_t fencingNumber { 0 }; /**< Grows with each new holder and with each reacquisition after a lapse. */
    std::string writeId; /**< Identifies the write when its answer is lost. */
    bool operator==(const LeaseRecord&) const = default;
};

struct LeaseRead {
    LeaseRecord record;
    uint64_t objectVersion { 0 };
};
struct LeaseReadFailed { };
/** The platform confirmed the write and gave the object this version. */
struct LeaseWritten {
    uint64_t objectVersion { 0 };
};
struct LeaseWriteRefused { };
/** The write ended without an answer. It may have taken effect, or may do so later. */
struct LeaseWriteUnanswered { };
/** Time passed; to be sent every second or so. */
struct LeaseTick { };
/**
 * Whether this host stands for the duty. Only the few hosts that rank first among the live members should, so that the
 * store's rate does not grow with the fleet; lower ranks give way to higher ones for a while.
 */
struct LeaseCandidacy {
    std::optional<uint32_t> rank; /**< Counted from zero; empty: does not stand. */
};
/** This process stops: the lease ends here at once and another host may take it without waiting for its lapse. */
struct LeaseRelease { };

using LeaseEvent = std::variant<LeaseRead, LeaseReadFailed, LeaseWritten, LeaseWriteRefused, LeaseWriteUnanswered, LeaseTick, LeaseCandidacy, LeaseRelease>;

struct ReadLease { };
struct WriteLease {
    LeaseRecord record;
    uint64_t ifObjectVersion { 0 }; /**< Zero: if absent. */
};
/** The lease was gained; orders carry this fencing number. */
struct LeaseGained {
    uint64_t fencingNumber { 0 };
};
/** The lease is over; nothing more may be ordered. */
struct LeaseEnded { };

using LeaseAction = std::variant<ReadLease, WriteLease, LeaseGained, LeaseEnded>;

/** The same for all hosts. */
struct LeaseOptions {
    std::chrono::milliseconds duration { 15'000 };
    std::chrono::milliseconds renewInterval { 5'000 };
    std::chrono::milliseconds pollInterval { 5'000 }; /**< Between reads of a candidate that does not hold the lease. */
    std::chrono::milliseconds retryInterval { 1'000 }; /**< After a failed call; doubled up to pollInterval. */
    std::chrono::milliseconds rankDelay { 3'000 }; /**< Each rank waits this much longer before it takes a lapsed lease. */
    std::chrono::milliseconds margin { 1'500 }; /**< Covers the drift between two clocks over `duration`, and the time of one order. */
};

struct LeaseState {
    std::string self; /**< Text of this process's incarnation id; unique for each start. */
    std::optional<uint32_t> rank;
    uint64_t writeCount { 0 };

    std::optional<LeaseRead> seen; /**< The object as last known. */
    MonotonicTime unchangedSince; /**< When this process first saw the version in `seen`. */

    /** A call to the store is open; there is never more than one. */
    bool callOpen { false };
    std::optional<LeaseRecord> unsettledWrite; /**< The last write, until its effect is known. */
    MonotonicTime unsettledAskedAt;
    MonotonicTime nextCallAt;
    std::chrono::milliseconds retryDelay { 0 };
    bool released { false }; /**< Nothing is taken any more. */

    bool held { false };
    uint64_t fencingNumber { 0 };
    MonotonicTime validUntil;
};

/**
 * Holds a lease by conditional updates of one object (C. Gray, D. Cheriton: Leases, SOSP 1989; fencing number as the
 * sequencer of M. Burrows: The Chubby lock service, OSDI 2006).
 *
 * A holder counts its lease from before it asked. A candidate counts the same duration from when it saw the version that
 * it replaces, which is later than any ask that led to that version; so two holders never overlap as long as clocks
 * drift less than the margin over one duration.
 *
 * Precondition: each ReadLease or WriteLease is answered by exactly one event, and the adapter gives up on silent calls.
 * Thread safety: safe while no other thread uses `state`.
 */
void step(LeaseState& state, const LeaseOptions& options, const LeaseEvent& event, MonotonicTime now, std::vector<LeaseAction>& actions);

/**
 * To be asked immediately before each order, with a fresh time.
 * @return the fencing number while the lease is certainly held. Thread safety: const.
 */
std::optional<uint64_t> heldFencingNumber(const LeaseState& state, MonotonicTime now);

/** When the holder starts to count: the reference that counts from the answer is unsafe and kept for comparison. */
enum class LeaseCountedFrom : uint8_t {
    Ask,
    Answer,
};

/** The unsafe reference for tests: as `step`, but with the lease counted as told. Thread safety: as `step`. */
void stepCountedFrom(LeaseCountedFrom start, LeaseState& state, const LeaseOptions& options, const LeaseEvent& event, MonotonicTime now,
    std::vector<LeaseAction>& actions);

} // namespace siskinspread
