#include "siskinspread/FleetPlan.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace siskinspread {

namespace {

    /** The reclaimable replicas of all domains together. */
    struct ReclaimablePart {
        uint32_t replicas { 0 };
        uint32_t mostInOneDomain { 0 };
        double price { 0 }; /**< For a second. */
        bool inWave { false }; /**< A domain has no more to offer. */
    };

    /** What is there when `each` are ordered in every domain. */
    ReclaimablePart reclaimablePart(uint32_t each, const std::vector<DomainFleet>& domains, double priceShare)
    {
        ReclaimablePart part;
        for (const auto& domain : domains) {
            const uint32_t expected = domain.reclaimableUnavailable ? std::min(each, domain.reclaimable) : each;
            part.replicas += expected;
            part.inWave = part.inWave || domain.reclaimableUnavailable;
            part.mostInOneDomain = std::max(part.mostInOneDomain, expected);
            part.price += expected * domain.price * priceShare;
        }
        return part;
    }

    double shortfall(double need, uint32_t replicas)
    {
        return std::max(0.0, need - replicas);
    }

    /** @return the replicas that callers lack in the mean over usual times, those after a reclaim and sudden rises. */
    double expectedShortfall(uint32_t needed, const ReclaimablePart& reclaimable, uint32_t ordinary, const FleetPlanOptions& options)
    {
        const uint32_t all = reclaimable.replicas + ordinary;
        const double reclaimedShare = reclaimable.inWave ? options.reclaimedShareInWave : options.reclaimedShare;
        const double usualShare = 1.0 - reclaimedShare - options.surgeShare;
        return usualShare * shortfall(needed, all) + reclaimedShare * shortfall(needed, all - reclaimable.mostInOneDomain)
            + options.surgeShare * shortfall(needed * options.surge, all);
    }

    /** @return the replicas whose work is missing because others take less than an even part of the requests. */
    double missingByLimits(const FleetDemand& demand)
    {
        const double replicas = static_cast<double>(demand.unlimitedReplicas + demand.limitsPerSecond.size());
        if (demand.limitsPerSecond.empty() || demand.requestsPerSecond <= 0) {
            return 0;
        }
        const double evenPart = demand.requestsPerSecond / replicas;
        return std::accumulate(demand.limitsPerSecond.begin(), demand.limitsPerSecond.end(), 0.0, [&](double missing, double limit) { return missing + std::max(0.0, 1.0 - limit / evenPart); });
    }

    std::vector<size_t> cheapestFirst(const std::vector<DomainFleet>& domains)
    {
        std::vector<size_t> order(domains.size());
        std::iota(order.begin(), order.end(), size_t { 0 });
        std::stable_sort(order.begin(), order.end(), [&](size_t a, size_t b) { return domains[a].price < domains[b].price; });
        return order;
    }

    /** @return the ordinary replicas that stay whatever is reclaimed. */
    uint32_t lastingReplicas(uint32_t needed, const FleetPlanOptions& options)
    {
        return static_cast<uint32_t>(std::ceil(needed * options.lastingShare));
    }

    struct Mix {
        uint32_t reclaimableEach { 0 }; /**< In each domain. */
        uint32_t ordinary { 0 }; /**< Over all domains. */
    };

    Mix cheapestMix(uint32_t needed, const std::vector<DomainFleet>& domains, const FleetLimits& limits, const FleetPlanOptions& options)
    {
        const double ordinaryPrice = domains[cheapestFirst(domains).front()].price;
        const uint32_t fewestOrdinary = lastingReplicas(needed, options);
        const auto mostOrdinary = static_cast<uint32_t>(std::ceil(needed * std::max(1.0, options.surge)));
        const uint32_t mostReclaimable = limits.reclaimablePrice ? limits.maxPerDomain : 0;
        Mix best;
        double lowest = std::numeric_limits<double>::infinity();
        for (uint32_t each = 0; each <= mostReclaimable; ++each) {
            const auto reclaimable = reclaimablePart(each, domains, limits.reclaimablePrice.value_or(1.0));
            for (uint32_t ordinary = fewestOrdinary; ordinary <= mostOrdinary; ++ordinary) {
                const double cost = reclaimable.price + ordinary * ordinaryPrice + options.missingCost * expectedShortfall(needed, reclaimable, ordinary, options);
                if (cost < lowest) {
                    lowest = cost;
                    best = { .reclaimableEach = each, .ordinary = ordinary };
                }
            }
        }
        return best;
    }

} // namespace

uint32_t replicasNeeded(const FleetDemand& demand, const FleetLimits& limits, const FleetPlanOptions& options)
{
    const double byPrompts = demand.promptTokensPerSecond / (options.promptTokensPerSecond * options.promptShare);
    const double byRequests = demand.requests / (limits.slots * options.slotShare);
    return static_cast<uint32_t>(std::ceil(std::max(byPrompts, byRequests) * options.headroom + missingByLimits(demand)));
}

std::vector<DomainOrder> planFleet(uint32_t needed, const std::vector<DomainFleet>& domains, const FleetLimits& limits, const FleetPlanOptions& options)
{
    std::vector<DomainOrder> orders;
    orders.reserve(domains.size());
    if (domains.empty()) {
        return orders;
    }
    const auto mix = cheapestMix(needed, domains, limits, options);
    for (const auto& domain : domains) {
        orders.push_back({ .domain = domain.domain });
    }
    const auto byPrice = cheapestFirst(domains);
    // Those that always last go to different domains, and have their places before reclaimable ones.
    uint32_t ordinary = mix.ordinary;
    const uint32_t places = limits.maxPerDomain * static_cast<uint32_t>(domains.size());
    for (uint32_t lasting = std::min({ lastingReplicas(needed, options), ordinary, places }), turn = 0; lasting > 0; ++turn) {
        auto& order = orders[byPrice[turn % byPrice.size()]];
        ++order.ordinary;
        --ordinary;
        --lasting;
    }
    for (size_t index = 0; index < domains.size() && limits.reclaimablePrice; ++index) {
        // One more than there are finds out when there are some again, and leaves its place to ordinary ones.
        const auto& domain = domains[index];
        const uint32_t wanted = domain.reclaimableUnavailable ? std::min(std::max(mix.reclaimableEach, 1U), domain.reclaimable + 1) : mix.reclaimableEach;
        orders[index].reclaimable = std::min(limits.maxPerDomain - orders[index].ordinary, wanted);
    }
    for (const size_t index : byPrice) {
        auto& order = orders[index];
        const uint32_t more = std::min(ordinary, limits.maxPerDomain - order.reclaimable - order.ordinary);
        order.ordinary += more;
        ordinary -= more;
    }
    for (auto& order : orders) {
        if (order.ordinary + order.reclaimable < limits.minPerDomain) {
            order.ordinary = limits.minPerDomain - order.reclaimable;
        }
    }
    return orders;
}

void fitPlaces(std::vector<DomainOrder>& orders, const std::vector<DomainFleet>& domains, const FleetLimits& limits)
{
    for (size_t index = 0; index < orders.size(); ++index) {
        const uint32_t taken = std::max(orders[index].ordinary, domains[index].ordinary);
        orders[index].reclaimable = std::min(orders[index].reclaimable, limits.maxPerDomain - std::min(limits.maxPerDomain, taken));
    }
}

} // namespace siskinspread
