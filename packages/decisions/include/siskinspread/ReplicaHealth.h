#pragma once

#include "siskinspread/Time.h"

#include <chrono>
#include <cstdint>

namespace siskinspread {

/** What this host has seen of one replica. */
struct ReplicaHealth {
    double failureShare { 0 }; /**< Smoothed share of requests that failed at the replica. */
    uint32_t failuresInARow { 0 };
    double slowness { 1.0 }; /**< Smoothed ratio of the measured to the predicted time to the first byte. */
    MonotonicTime heldOutUntil {};
    std::chrono::milliseconds holdOut { 0 };
};

struct ReplicaHealthOptions {
    double smoothing { 0.15 }; /**< Weight of the newest result. */
    double worstFailureShare { 0.4 }; /**< Above it the replica is left out for a while. */
    uint32_t worstRow { 3 }; /**< Failures in a row that leave it out. */
    std::chrono::milliseconds firstHoldOut { 1000 };
    std::chrono::milliseconds longestHoldOut { 4000 };
    double mostSlowness { 12.0 };
};

/** Notes a request that was answered. Thread safety: safe while no other thread uses `health`. */
void noteSuccess(ReplicaHealth& health, const ReplicaHealthOptions&);

/** Notes a request that failed for a reason that lies with the replica. Thread safety: safe while no other thread uses `health`. */
void noteFailure(ReplicaHealth& health, const ReplicaHealthOptions&, MonotonicTime now);

/** Notes the time to the first byte. Thread safety: safe while no other thread uses `health`. */
void noteFirstByte(ReplicaHealth& health, const ReplicaHealthOptions&, std::chrono::microseconds measured, std::chrono::microseconds predicted);

/** @return whether requests should go to the replica. Thread safety: const. */
bool isUsable(const ReplicaHealth& health, MonotonicTime now);

} // namespace siskinspread
