#pragma once

#include "siskinspread/Time.h"

#include <chrono>
#include <optional>
#include <span>

namespace siskinspread {

/** The limit of a customer over all hosts. */
struct QuotaLimit {
    double ratePerSecond { 0 };
    double burst { 0 };
};

/** This host's part of a customer's limit: a token bucket whose rate follows the host's part of the demand. */
struct QuotaShare {
    double level { 0 }; /**< Tokens that may be spent now; negative while a spent excess is paid back. */
    double demandPerSecond { 0 }; /**< Smoothed rate of what callers asked here, admitted or not. */
    double rate { 0 }; /**< Of this host, per second. */
    double capacity { 0 };
    std::optional<MonotonicTime> updatedAt;
};

struct QuotaOptions {
    std::chrono::milliseconds demandMemory { 2000 }; /**< Time constant of the smoothed demand; well below the window in which quotas are judged. */
    double evenPart { 0.25 }; /**< Of the limit, dealt evenly whatever the demand, so that a host can serve a customer who comes back. */
};

/** A host that may also serve the customer. */
struct QuotaPeer {
    double demandPerSecond { 0 };
};

/**
 * Refills the bucket and deals the limit anew between this host and its peers.
 * @param peers every other host that may be serving, the silent ones that cannot be ruled out included.
 * Thread safety: safe while no other thread uses `share`.
 */
void refreshQuota(QuotaShare& share, const QuotaLimit&, std::span<const QuotaPeer> peers, const QuotaOptions&, MonotonicTime now);

/**
 * Counts the demand and takes the cost where the bucket allows it.
 * @return nothing when admitted, otherwise the time after which as much will be there at the present rate.
 * Thread safety: safe while no other thread uses `share`.
 */
std::optional<std::chrono::milliseconds> spendQuota(QuotaShare& share, const QuotaLimit&, const QuotaOptions&, double cost);

/** Gives back what a request took that did not run. Thread safety: safe while no other thread uses `share`. */
void refundQuota(QuotaShare& share, double cost);

} // namespace siskinspread
