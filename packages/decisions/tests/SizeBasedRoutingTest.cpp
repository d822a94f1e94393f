#include "siskinspread/SizeBasedRouting.h"

#include "siskinspread/ReplicaPlacement.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

using namespace siskinspread;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

const SizeRoutingOptions options;

/** Replicas of three speeds, in no order. */
std::vector<SizeRoutingReplica> replicas(size_t count)
{
    std::vector<SizeRoutingReplica> members;
    std::mt19937_64 random { 11 };
    for (size_t number = 0; number < count; ++number) {
        const std::array factors { 0.6, 1.0, 1.6 };
        members.push_back({ .identity = random(), .workFactor = factors[number % factors.size()] });
    }
    return members;
}

double capacityOf(const std::vector<SizeRoutingReplica>& members, const std::vector<bool>& forLong, bool wanted)
{
    double capacity = 0;
    for (size_t index = 0; index < members.size(); ++index) {
        capacity += forLong[index] == wanted ? 1.0 / members[index].workFactor : 0.0;
    }
    return capacity;
}

} // namespace

TEST_CASE("a prompt is long when reading it takes a quarter of the shortest target of the service")
{
    CHECK_FALSE(isLongPrompt(628, milliseconds { 500 }, options));
    CHECK_FALSE(isLongPrompt(1800, milliseconds { 400 }, options));
    CHECK(isLongPrompt(6610, milliseconds { 500 }, options));
    CHECK(isLongPrompt(6610, milliseconds { 400 }, options));
}

// Guards against a group that is too small for its work: the short prompts would then wait longer than without groups.
TEST_CASE("the replicas for long prompts have their share of the capacity, and are the fastest ones")
{
    const auto members = replicas(60);
    for (const double share : { 0.2, 0.5, 0.66, 0.8 }) {
        CAPTURE(share);
        const auto forLong = replicasForLongPrompts(members, share, options);
        REQUIRE(forLong.size() == members.size());
        const double taken = capacityOf(members, forLong, true);
        CHECK(taken / (taken + capacityOf(members, forLong, false)) == doctest::Approx(share).epsilon(0.05));
        double slowestOfLong = 0;
        double fastestOfShort = 100;
        for (size_t index = 0; index < members.size(); ++index) {
            if (forLong[index]) {
                slowestOfLong = std::max(slowestOfLong, members[index].workFactor);
            } else {
                fastestOfShort = std::min(fastestOfShort, members[index].workFactor);
            }
        }
        CHECK(slowestOfLong <= fastestOfShort);
    }
}

// Guards against hosts that choose different groups, so that each group gets the prompts of the other one.
TEST_CASE("hosts that list the replicas in another order and have a slightly different mix choose nearly the same groups")
{
    auto members = replicas(60);
    const auto forLong = replicasForLongPrompts(members, 0.6, options);
    std::vector<size_t> order(members.size());
    for (size_t index = 0; index < order.size(); ++index) {
        order[index] = order.size() - 1 - index;
    }
    std::vector<SizeRoutingReplica> turned;
    turned.reserve(order.size());
    for (const auto index : order) {
        turned.push_back({ .identity = members[index].identity, .workFactor = members[index].workFactor * 1.02 });
    }
    const auto elsewhere = replicasForLongPrompts(turned, 0.62, options);
    size_t different = 0;
    for (size_t index = 0; index < order.size(); ++index) {
        different += elsewhere[index] != forLong[order[index]] ? 1 : 0;
    }
    CHECK(different <= 3);
}

TEST_CASE("each group keeps at least one replica, and a few replicas are not divided")
{
    const auto members = replicas(12);
    for (const double share : { 0.0, 1.0 }) {
        const auto forLong = replicasForLongPrompts(members, share, options);
        CHECK(std::count(forLong.begin(), forLong.end(), true) >= 1);
        CHECK(std::count(forLong.begin(), forLong.end(), false) >= 1);
    }
    CHECK(replicasForLongPrompts(replicas(5), 0.5, options).empty());
    CHECK(replicasForLongPrompts({}, 0.5, options).empty());
}

TEST_CASE("the mix follows the work, not the number of requests")
{
    SizeMix mix;
    for (int round = 0; round < 300; ++round) {
        noteWork(mix, 700, false, options);
        noteWork(mix, 700, false, options);
        noteWork(mix, 7000, true, options);
    }
    CHECK(mix.longShare == doctest::Approx(7000.0 / 8400.0).epsilon(0.1));
}

// The load it answers: short prompts behind long ones. A short one leaves its own group only where waiting there costs more than a part of
// its target.
TEST_CASE("a short prompt goes to the other group only when its own one is busy")
{
    const std::vector<PromptPart> prompt { { .id = 1, .tokens = 200 }, { .id = 2, .tokens = 600 } };
    std::vector<PlacementCandidate> candidates;
    for (uint64_t number = 0; number < 4; ++number) {
        candidates.push_back({ .identity = number + 1, .slots = 8, .memoryTokens = 100000, .forOtherSize = number < 2, .otherSizeCost = number < 2 ? microseconds { 125000 } : microseconds { 0 } });
    }
    const auto chosen = [&](uint64_t draw) { return placeRequest({ .prompt = prompt, .draw = draw }, candidates, {})->index; };
    for (uint64_t draw = 0; draw < 8; ++draw) {
        CHECK(chosen(draw) >= 2);
    }
    candidates[2].load.unreadTokens = 12000;
    candidates[3].load.unreadTokens = 12000;
    for (uint64_t draw = 0; draw < 8; ++draw) {
        CHECK(chosen(draw) < 2);
    }
}

// Guards against groups that keep requests waiting while the other group has places: when replicas are lost, room counts more.
TEST_CASE("the other group costs a quarter of the target while replicas have room, and nothing when all are busy")
{
    const microseconds target { 500000 };
    CHECK(otherSizeCost(target, microseconds { 0 }, options) == microseconds { 125000 });
    CHECK(otherSizeCost(target, microseconds { 50000 }, options) == microseconds { 62500 });
    CHECK(otherSizeCost(target, microseconds { 100000 }, options) == microseconds { 0 });
    CHECK(otherSizeCost(target, microseconds { 900000 }, options) == microseconds { 0 });
}
