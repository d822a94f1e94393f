#pragma once

#include "siskinspread/ReclaimNotice.h"
#include "siskinspread/Time.h"

#include <chrono>
#include <optional>

namespace siskinspread {

/** Constants of a planned stop. */
struct DrainOptions {
    std::chrono::milliseconds grace { 20'000 }; /**< For open requests after a signal or an operator's command. */
    /**
     * Kept free between the end of the grace and the end of the host, to close the log and say goodbye: a write whose
     * answer is lost, the read that settles it, and the write again, each up to the platform's usual timeout of 1 s.
     */
    std::chrono::milliseconds closingMargin { 3'000 };
    /** For handing over what is open when the grace is over; with the closing margin below a notice of 30 seconds. */
    std::chrono::milliseconds handover { 4'000 };
};

/** A planned stop of this host. Plain data: the owner serialises access. */
struct DrainPlan {
    std::optional<MonotonicTime> graceEnds; /**< Set from the beginning of the stop. Only ever moves to an earlier time. */
    std::optional<MonotonicTime> hostEnds; /**< The earliest end that a notice has told. */
};

/**
 * Notes that a signal or an operator asks for the stop. Idempotent: asked again later, it changes nothing.
 * @return whether the end of the grace was set or moved. Thread safety: as DrainPlan.
 */
bool planStop(DrainPlan& plan, const DrainOptions& options, MonotonicTime now);

/**
 * Notes that this host is taken back at `hostEnds`. The grace then ends the margin earlier, but never before half of the
 * time that is left now, so that a very short notice is not all margin.
 * @return whether the end of the grace was set or moved. Thread safety: as DrainPlan.
 */
bool planReclaim(DrainPlan& plan, const DrainOptions& options, MonotonicTime hostEnds, MonotonicTime now);

/** @return whether open requests get no more time. Thread safety: reentrant. */
bool isGraceOver(const DrainPlan& plan, MonotonicTime now);

/** @return the time that open requests still get, zero when it is over. Precondition: the stop has begun. Reentrant. */
std::chrono::milliseconds graceLeft(const DrainPlan& plan, MonotonicTime now);

/**
 * @return how long the requests that are open at the end of the grace may take to be handed over: `handover`, and at most
 * half of the time to the end that a notice has told, so that the log can still be closed. Thread safety: reentrant.
 */
std::chrono::milliseconds handoverTime(const DrainPlan& plan, const DrainOptions& options, MonotonicTime now);

/**
 * @return when a host that could not close its log hands over the copies that it holds for others: soon after the grace
 * where a notice tells the host's end, else when the store had time to answer. Precondition: the stop has begun. Reentrant.
 */
MonotonicTime copiesHandOver(const DrainPlan& plan, MonotonicTime closingBegan);

/**
 * @return how long the host of a notice has left. Clocks may differ: never more than the lead, counted from now, and
 * never below zero. Thread safety: reentrant.
 */
std::chrono::milliseconds timeLeft(const ReclaimNotice& notice, WallTime now);

/**
 * @return whether the notice is about an earlier host of the same name: its end had passed when this process started.
 * Thread safety: reentrant.
 */
bool isAboutEarlierHost(const ReclaimNotice& notice, WallTime processStartedAt);

} // namespace siskinspread
