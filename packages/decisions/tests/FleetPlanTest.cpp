#include "siskinspread/FleetPlan.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <random>

using namespace siskinspread;

namespace {

const std::vector<DomainFleet> domains { { .domain = "a", .price = 1.0, .reclaimable = 3 }, { .domain = "b", .price = 0.8, .reclaimable = 3 }, { .domain = "c", .price = 1.25, .reclaimable = 3 },
    { .domain = "d", .price = 0.9, .reclaimable = 3 } };
const FleetLimits limits { .minPerDomain = 1, .maxPerDomain = 10, .reclaimablePrice = 0.22, .slots = 64 };

uint32_t ordinaryOf(const std::vector<DomainOrder>& orders)
{
    uint32_t sum = 0;
    for (const auto& order : orders) {
        sum += order.ordinary;
    }
    return sum;
}

} // namespace

TEST_CASE("the need follows prompts and requests, whichever asks for more")
{
    const FleetPlanOptions options;
    CHECK(replicasNeeded({}, limits, options) == 0);
    const auto byPrompts = replicasNeeded({ .promptTokensPerSecond = 300000 }, limits, options);
    CHECK(byPrompts >= 300000 / options.promptTokensPerSecond);
    CHECK(replicasNeeded({ .promptTokensPerSecond = 300000, .requests = 1000 }, limits, options) > byPrompts);
}

TEST_CASE("replicas that take less than an even part of the requests are made good")
{
    const FleetPlanOptions options;
    const FleetDemand demand { .requests = 60, .requestsPerSecond = 100 };
    const auto usual = replicasNeeded(demand, limits, options);
    auto limited = demand;
    limited.unlimitedReplicas = 15;
    limited.limitsPerSecond = { 1.0, 1.0, 1.0, 4.0, 4.0 }; // an even part is 5 a second
    CHECK(replicasNeeded(limited, limits, options) >= usual + 2);
    CHECK(replicasNeeded(limited, limits, options) <= usual + 3);
    limited.limitsPerSecond = { 50.0, 5.0 };
    CHECK(replicasNeeded(limited, limits, options) == usual);
    // All that serve have named one, and what they turn away neither runs nor waits.
    limited = { .requests = 4, .requestsPerSecond = 100, .limitsPerSecond = std::vector<double>(20, 1.0) };
    CHECK(replicasNeeded(limited, limits, options) >= 16);
}

TEST_CASE("where reclaimable replicas are cheap, what is left after any one domain's have gone still meets the need")
{
    for (const uint32_t needed : { 3U, 5U, 9U, 20U }) {
        const auto orders = planFleet(needed, domains, limits, {});
        uint32_t all = 0;
        uint32_t largest = 0;
        for (const auto& order : orders) {
            all += order.ordinary + order.reclaimable;
            largest = std::max(largest, order.reclaimable);
        }
        CHECK(all - largest >= needed);
        CHECK(ordinaryOf(orders) >= 1); // all domains may be reclaimed before others have started
        CHECK(ordinaryOf(orders) <= 1 + needed / 6);
    }
}

TEST_CASE("while two of four domains have been reclaimed, ordinary replicas cover the loss of a third")
{
    std::vector<DomainFleet> wave { { .domain = "a", .price = 1.0, .reclaimableUnavailable = true }, { .domain = "b", .price = 0.8, .reclaimableUnavailable = true },
        { .domain = "c", .price = 1.25, .reclaimable = 6, .reclaimableUnavailable = true }, { .domain = "d", .price = 0.9, .reclaimable = 6, .reclaimableUnavailable = true } };
    CHECK(ordinaryOf(planFleet(12, wave, limits, {})) >= 6);
}

TEST_CASE("ordinary replicas go to the cheapest domains")
{
    auto dear = limits;
    dear.reclaimablePrice = 0.95;
    const auto orders = planFleet(9, domains, dear, { .reclaimedShare = 0.4 });
    CHECK(ordinaryOf(orders) >= 9);
    const auto most = std::max_element(orders.begin(), orders.end(), [](const DomainOrder& a, const DomainOrder& b) { return a.ordinary < b.ordinary; });
    CHECK(most->domain == "b");
}

TEST_CASE("ordinary replicas take the place of reclaimable ones that are unavailable")
{
    auto unavailable = domains;
    for (auto& domain : unavailable) {
        domain.reclaimable = 0;
        domain.reclaimableUnavailable = true;
    }
    CHECK(ordinaryOf(planFleet(12, unavailable, limits, {})) >= 12);
    CHECK(ordinaryOf(planFleet(12, domains, limits, {})) < 12);
}

TEST_CASE("a deployment without reclaimable replicas gets ordinary ones alone")
{
    auto plain = limits;
    plain.reclaimablePrice.reset();
    const auto orders = planFleet(12, domains, plain, {});
    CHECK(ordinaryOf(orders) >= 12);
    CHECK(std::all_of(orders.begin(), orders.end(), [](const DomainOrder& order) { return order.reclaimable == 0; }));
    CHECK(planFleet(5, {}, limits, {}).empty());
}

TEST_CASE("bounds hold for any need")
{
    CHECK(rc::check("bounds", [] {
        const auto needed = *rc::gen::inRange<uint32_t>(0, 200);
        auto some = domains;
        for (auto& domain : some) {
            domain.reclaimable = *rc::gen::inRange<uint32_t>(0, 10);
            domain.reclaimableUnavailable = *rc::gen::arbitrary<bool>();
        }
        for (const auto& order : planFleet(needed, some, limits, {})) {
            RC_ASSERT(order.ordinary + order.reclaimable <= limits.maxPerDomain);
            RC_ASSERT(order.ordinary + order.reclaimable >= limits.minPerDomain);
        }
    }));
}

TEST_CASE("where no reclaimable replicas are available, ordinary ones may take all places of the domains")
{
    const FleetLimits wide { .minPerDomain = 1, .maxPerDomain = 30, .reclaimablePrice = 0.22, .slots = 48 };
    std::vector<DomainFleet> domains;
    for (const char* name : { "a", "b", "c", "d" }) {
        domains.push_back({ .domain = name, .reclaimableUnavailable = true });
    }
    uint32_t ordinary = 0;
    for (const auto& order : planFleet(260, domains, wide, {})) {
        ordinary += order.ordinary;
        CHECK(order.ordinary + order.reclaimable <= wide.maxPerDomain);
        CHECK(order.reclaimable >= 1); // asked for again, to find out when there are some
    }
    CHECK(ordinary >= 100);
}

TEST_CASE("a domain without further reclaimable replicas keeps the reclaimable replicas that it has")
{
    const FleetLimits wide { .minPerDomain = 1, .maxPerDomain = 30, .reclaimablePrice = 0.22, .slots = 48 };
    const std::vector<DomainFleet> domains { { .domain = "a", .reclaimable = 12, .reclaimableUnavailable = true }, { .domain = "b", .reclaimable = 20 } };
    const auto orders = planFleet(60, domains, wide, {});
    CHECK(orders[0].reclaimable >= 12);
    CHECK(orders[0].ordinary + orders[0].reclaimable <= wide.maxPerDomain);
    CHECK(orders[0].ordinary + orders[1].ordinary + std::min(orders[0].reclaimable, 12U) + orders[1].reclaimable >= 2 * wide.maxPerDomain - 1); // one place is for the replica that finds out whether there are more
}

TEST_CASE("reclaimable replicas are ordered into places that are free, and into the others once ordinary replicas have left them")
{
    auto now = domains;
    now[0].ordinary = 6;
    std::vector<DomainOrder> orders { { .domain = "a", .reclaimable = 7 }, { .domain = "b", .reclaimable = 7 }, { .domain = "c", .ordinary = 5, .reclaimable = 7 }, { .domain = "d" } };
    fitPlaces(orders, now, limits);
    CHECK(orders[0].reclaimable == 4);
    CHECK(orders[1].reclaimable == 7);
    CHECK(orders[2].reclaimable == 5);
    now[0].ordinary = 12;
    fitPlaces(orders, now, limits);
    CHECK(orders[0].reclaimable == 0);
}

namespace {

/** The mix of fixed shares that the plan is compared with: a quarter ordinary and four at least, the need and a tenth reclaimable. */
std::vector<DomainOrder> fixedShares(uint32_t needed, const std::vector<DomainFleet>& seen, const FleetLimits& bounds)
{
    std::vector<DomainOrder> orders;
    const auto each = static_cast<uint32_t>(std::ceil(needed * 1.1 / static_cast<double>(seen.size())));
    uint32_t expected = 0;
    for (const auto& domain : seen) {
        const uint32_t wanted = std::min(each, bounds.maxPerDomain - 1);
        const uint32_t reclaimable = domain.reclaimableUnavailable ? std::min(wanted, domain.reclaimable + 1) : wanted;
        expected += domain.reclaimableUnavailable ? std::min(wanted, domain.reclaimable) : wanted;
        orders.push_back({ .domain = domain.domain, .reclaimable = reclaimable });
    }
    auto ordinary = std::max({ 4U, static_cast<uint32_t>(std::ceil(needed * 0.25)), needed - std::min(needed, expected) });
    for (size_t index = 0; ordinary > 0; ++index, --ordinary) {
        orders[index % orders.size()].ordinary += 1;
    }
    return orders;
}

struct FleetOutcome {
    double missing { 0 }; /**< Replica seconds that the load needed and did not have. */
    double needed { 0 };
    double price { 0 };
};

using Plan = std::vector<DomainOrder> (*)(uint32_t, const std::vector<DomainFleet>&, const FleetLimits&);

/** Plays ten minutes: a need that waves and at times doubles for five seconds, and two domains a minute that lose their reclaimable replicas for 13 s. */
FleetOutcome playFleet(Plan plan, uint64_t seed)
{
    constexpr double step = 0.5;
    constexpr int bootSteps = 8;
    struct Kind {
        uint32_t serving { 0 };
        std::vector<int> starting; /**< Steps until each serves. */
    };
    struct Domain {
        Kind ordinary { .serving = 2 };
        Kind reclaimable {};
        int drySteps { 0 };
    };
    std::mt19937_64 random { seed };
    std::vector<Domain> fleet(domains.size());
    FleetOutcome outcome;
    double smoothed = 5;
    int surgeSteps = 0;
    auto follow = [&](Kind& kind, uint32_t wanted, bool available) {
        const auto have = kind.serving + static_cast<uint32_t>(kind.starting.size());
        for (uint32_t more = have; available && more < wanted; ++more) {
            kind.starting.push_back(bootSteps);
        }
        kind.serving = std::min(kind.serving, wanted);
        for (auto& left : kind.starting) {
            --left;
        }
        kind.serving += static_cast<uint32_t>(std::erase_if(kind.starting, [](int left) { return left <= 0; }));
    };
    for (int tick = 0; tick < 1200; ++tick) {
        surgeSteps = surgeSteps > 0 ? surgeSteps - 1 : (random() % 120 == 0 ? 10 : 0);
        const double load = (5 + 1.5 * std::sin(tick * step / 40 * 6.28)) * (surgeSteps > 0 ? 2 : 1);
        smoothed += (load - smoothed) * 0.15;
        if (random() % 60 == 0) {
            auto& hit = fleet[random() % fleet.size()];
            hit.reclaimable = {};
            hit.drySteps = 26;
        }
        std::vector<DomainFleet> seen;
        for (size_t index = 0; index < fleet.size(); ++index) {
            fleet[index].drySteps = std::max(0, fleet[index].drySteps - 1);
            seen.push_back({ .domain = domains[index].domain, .price = domains[index].price, .reclaimable = fleet[index].reclaimable.serving, .reclaimableUnavailable = fleet[index].drySteps > 0 });
        }
        const auto orders = plan(static_cast<uint32_t>(std::ceil(smoothed * 1.15)), seen, limits);
        uint32_t serving = 0;
        for (size_t index = 0; index < fleet.size(); ++index) {
            follow(fleet[index].ordinary, orders[index].ordinary, true);
            follow(fleet[index].reclaimable, orders[index].reclaimable, fleet[index].drySteps == 0);
            serving += fleet[index].ordinary.serving + fleet[index].reclaimable.serving;
            outcome.price += step * domains[index].price * (fleet[index].ordinary.serving + *limits.reclaimablePrice * fleet[index].reclaimable.serving);
        }
        if (tick > 2 * bootSteps) { // the first replicas have started
            outcome.needed += step * load;
            outcome.missing += step * std::max(0.0, load - serving);
        }
    }
    return outcome;
}

} // namespace

TEST_CASE("under rises and reclaims the mix by expected cost misses less of the load than fixed shares, and costs less")
{
    for (const uint64_t seed : { 1U, 2U, 3U, 4U, 5U }) {
        const auto chosen = playFleet([](uint32_t needed, const std::vector<DomainFleet>& seen, const FleetLimits& bounds) { return planFleet(needed, seen, bounds, {}); }, seed);
        const auto fixed = playFleet(&fixedShares, seed);
        CAPTURE(chosen.missing / chosen.needed);
        CAPTURE(fixed.missing / fixed.needed);
        CHECK(chosen.missing <= fixed.missing);
        CHECK(chosen.price < 0.9 * fixed.price);
    }
}
