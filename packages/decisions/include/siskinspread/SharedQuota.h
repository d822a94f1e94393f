#pragma once

#include "siskinspread/Time.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace siskinspread {

/** The limit of a customer over all hosts. */
struct QuotaLimit {
    double ratePerSecond { 0 }; /**< Zero: no limit. */
    double burst { 0 };
};

/** What may be spent beyond a limit in any window, and how much of that is given away on purpose. */
struct QuotaTolerance {
    double slack { 0 }; /**< In the unit of the limit. */
    double overshoot { 0 }; /**< As a share of the limit. */
    std::chrono::milliseconds window { 8000 };
    /**
     * Part of the slack and the overshoot that is added to the limit, so that a caller within its limit is not refused for
     * what hosts do not know of each other yet. The rest covers what hosts spend before they hear of each other.
     */
    double givenPart { 0.4 };
    /**
     * Longest time of the rate that is kept as a burst. A larger burst, as a lowered rate leaves it, is spread over the window: a window may
     * hold as much, and a customer that stays near its limit is not refused what every window has room for.
     */
    std::chrono::milliseconds longestBurst { 1000 };
};

/** @return the limit with what is given away of the tolerance. No limit stays none. Thread safety: reentrant. */
QuotaLimit limitWithTolerance(const QuotaLimit&, const QuotaTolerance&);

/** What another host has told of its spending. */
struct QuotaPeer {
    uint64_t incarnation { 0 };
    double spent { 0 }; /**< Since its start. */
    double assumed { 0 }; /**< Counted against the limit while it was silent, and not told by it yet. */
    MonotonicTime heardAt {};
};

/**
 * One customer's limit as this host sees it: a token bucket for all hosts together. Each host tells what it has spent, and
 * takes off what the others tell; a silent host is assumed to spend an even part of the limit, so that two sides of a cut
 * together stay within it.
 */
struct SharedQuota {
    double level { 0 };
    double spent { 0 }; /**< By this host since its start. */
    std::optional<MonotonicTime> updatedAt;
    std::unordered_map<std::string, QuotaPeer> peers;
    std::optional<MonotonicTime> reviewAt; /**< Before then no peer can have become silent; empty: not known. */
};

struct SharedQuotaOptions {
    /** Part of the burst at the start of a process, which does not know what was spent before. */
    double firstLevel { 0.3 };
    std::chrono::milliseconds silentAfter { 1000 }; /**< Several turns of the exchange between hosts. */
    /** A host that was silent for longer has ended, or has lost its proof that keys are current. */
    std::chrono::milliseconds endedAfter { 12000 };
};

/** Refills the bucket and takes off what silent hosts may have spent. Thread safety: safe while no other thread uses `quota`. */
void refreshQuota(SharedQuota& quota, const QuotaLimit&, const SharedQuotaOptions&, MonotonicTime now);

/**
 * Takes the cost when anything is left; the bucket may go below zero by it, since a request larger than the burst would
 * otherwise never be admitted, and is paid back before the next.
 * @return nothing when admitted, otherwise the time until something is left. Thread safety: as refreshQuota.
 */
std::optional<std::chrono::milliseconds> spendQuota(SharedQuota& quota, const QuotaLimit&, double cost);

/** Gives back what a request took that did not run. Thread safety: as refreshQuota. */
void refundQuota(SharedQuota& quota, double cost);

/**
 * Takes in what another host has told.
 * @param before what the host had spent before, where it has not told of this customer yet; nothing: unknown, so that what it
 *     told is where the counting starts. Thread safety: as refreshQuota.
 */
void notePeerSpending(SharedQuota& quota, const std::string& host, uint64_t incarnation, double spent, MonotonicTime now, std::optional<double> before = {});

/** A host was heard that has not spent anything since it told of its spending. Thread safety: as refreshQuota. */
void notePeerHeard(SharedQuota& quota, const std::string& host, uint64_t incarnation, MonotonicTime now);

/**
 * @return whether peers may be taken for silent from `now` on, so that notePeerHeard has to tell of those that were heard. Asking
 * first spares touching every peer of every customer for each message. Thread safety: const.
 */
bool isPeerReviewDue(const SharedQuota& quota, MonotonicTime now);

/** A host has said that it stops: nothing is assumed of it any more. Thread safety: as refreshQuota. */
void notePeerStop(SharedQuota& quota, const std::string& host);

} // namespace siskinspread
