#pragma once

#include "siskinspread/Time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace siskinspread {

/** Replicas of a service in one failure domain. */
struct DomainFleet {
    std::string domain;
    double price { 1.0 }; /**< Of an ordinary replica for a second. */
    uint32_t reclaimable { 0 }; /**< Serving now. */
    uint32_t ordinary { 0 }; /**< Serving now. */
    bool reclaimableUnavailable { false }; /**< No more were available when they were last ordered. */
};

/** What the service has to do at present, over all hosts. */
struct FleetDemand {
    double promptTokensPerSecond { 0 }; /**< To be computed, without those that were found in memory. */
    double requests { 0 }; /**< At replicas or waiting. */
    double requestsPerSecond { 0 }; /**< Of callers, also those that are refused; needed only where `limitsPerSecond` is not empty. */
    uint32_t unlimitedReplicas { 0 }; /**< Serving, without those that have named a limit. */
    std::vector<double> limitsPerSecond; /**< Requests that each of the other serving replicas takes. */
};

/** Bounds and figures of one service. */
struct FleetLimits {
    uint32_t minPerDomain { 0 };
    uint32_t maxPerDomain { 0 };
    std::optional<double> reclaimablePrice; /**< As a share of the ordinary price. */
    uint32_t slots { 1 };
};

/** How many replicas a load needs, and how they are mixed. */
struct FleetPlanOptions {
    double promptTokensPerSecond { 50000 }; /**< That a replica computes when it does nothing else; as in PlacementOptions. */
    double promptShare { 0.45 }; /**< Of that speed that may be used: the rest goes to the tokens of running requests. */
    double slotShare { 0.4 }; /**< Of the slots that may be used: beyond it each token takes notably longer. */
    double headroom { 1.15 }; /**< For the rise until a replica that is ordered now serves. */
    /** Part of the need that ordinary replicas always cover: the reclaimable ones of all domains may leave before others have started. */
    double lastingShare { 0.16 };
    /** What callers lose in a second in which a needed replica is missing, in prices of an ordinary replica. */
    double missingCost { 4.0 };
    /** Share of the time in which the reclaimable replicas of one domain are gone and not replaced yet: two reclaims a minute, 4 s to start. */
    double reclaimedShare { 0.1 };
    /** The same while a domain has no more to offer: reclaims come in waves. */
    double reclaimedShareInWave { 0.35 };
    double surge { 2.5 }; /**< Need during a sudden rise, over the usual need. */
    double surgeShare { 0.1 }; /**< Share of the time that such rises take. Together with either share above at most 1. */
};

/** Wanted replicas of one failure domain. */
struct DomainOrder {
    std::string domain;
    uint32_t ordinary { 0 };
    uint32_t reclaimable { 0 };
    bool operator==(const DomainOrder&) const = default;
};

/**
 * @return how many replicas the demand needs, with others in place of those that take less than an even part of the requests: what
 * is refused for their limits neither runs nor waits, so that the load alone does not show it. Thread safety: reentrant.
 */
uint32_t replicasNeeded(const FleetDemand&, const FleetLimits&, const FleetPlanOptions&);

/**
 * Chooses the mix that costs least together with what callers are expected to lose: when one domain's reclaimable replicas leave,
 * and when the need rises faster than replicas start. Answers loads under which domains are reclaimed one at a time, or have
 * no reclaimable replicas to offer. Reclaimable replicas are dealt evenly, ordinary ones to the cheapest domains; each domain keeps its
 * minimum, so that it can serve while it is cut off.
 * @param domains in any order; the result has the same order. Thread safety: reentrant.
 */
std::vector<DomainOrder> planFleet(uint32_t needed, const std::vector<DomainFleet>& domains, const FleetLimits&, const FleetPlanOptions&);

/**
 * Lowers orders for reclaimable replicas to the places that ordinary ones do not take yet: an order beyond a domain's places is
 * filled only in part, and not made good when places become free. @param domains in the order of `orders`. Thread safety: reentrant.
 */
void fitPlaces(std::vector<DomainOrder>& orders, const std::vector<DomainFleet>& domains, const FleetLimits&);

} // namespace siskinspread
