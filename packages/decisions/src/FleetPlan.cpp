#include "siskinspread/FleetPlan.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace siskinspread {

uint32_t replicasNeeded(const FleetDemand& demand, const FleetLimits& limits, const FleetPlanOptions& options)
{
    const double byPrompts = demand.promptTokensPerSecond / (options.promptTokensPerSecond * options.promptShare);
    const double byRequests = demand.requests / (limits.slots * options.slotShare);
    return static_cast<uint32_t>(std::ceil(std::max(byPrompts, byRequests) * options.headroom));
}

std::vector<DomainOrder> planFleet(uint32_t needed, const std::vector<DomainFleet>& domains, const FleetLimits& limits, const FleetPlanOptions& options)
{
    std::vector<DomainOrder> orders;
    orders.reserve(domains.size());
    for (const auto& domain : domains) {
        orders.push_back({ .domain = domain.domain });
    }
    if (domains.empty()) {
        return orders;
    }
    uint32_t expected = 0; // reclaimable replicas that will be there
    const bool reclaimableOffered = limits.reclaimablePrice.has_value() && *limits.reclaimablePrice < 1.0;
    if (reclaimableOffered) {
        const auto wanted = static_cast<uint32_t>(std::ceil(needed * options.reclaimableShare));
        const auto each = static_cast<uint32_t>((wanted + domains.size() - 1) / domains.size());
        for (size_t index = 0; index < orders.size(); ++index) {
            auto& order = orders[index];
            // One place is left for the ordinary replica that each domain has.
            order.reclaimable = std::min(limits.maxPerDomain - std::min(limits.maxPerDomain, 1U), std::max(1U, each));
            if (domains[index].reclaimableUnavailable) {
                // One more than there are finds out when there are some again, and leaves its place to ordinary ones.
                expected += std::min(order.reclaimable, domains[index].reclaimable);
                order.reclaimable = std::min(order.reclaimable, domains[index].reclaimable + 1);
            } else {
                expected += order.reclaimable;
            }
        }
    }
    const double share = reclaimableOffered ? options.ordinaryShare : 1.0;
    auto ordinary = std::max({ options.fewestOrdinary, static_cast<uint32_t>(std::ceil(needed * share)), needed - std::min(needed, expected) });
    std::vector<size_t> byPrice(domains.size());
    std::iota(byPrice.begin(), byPrice.end(), size_t { 0 });
    std::stable_sort(byPrice.begin(), byPrice.end(), [&](size_t a, size_t b) { return domains[a].price < domains[b].price; });
    // One ordinary replica everywhere first: a domain that is cut off while its reclaimable ones leave can still serve.
    for (size_t index : byPrice) {
        if (ordinary > 0 && limits.maxPerDomain > 0) {
            orders[index].ordinary = 1;
            --ordinary;
        }
    }
    for (size_t index : byPrice) {
        auto& order = orders[index];
        const uint32_t most = limits.maxPerDomain - std::min(limits.maxPerDomain, order.reclaimable);
        const uint32_t more = std::min(ordinary, most - std::min(most, order.ordinary));
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

} // namespace siskinspread
