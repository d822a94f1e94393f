#include "siskinspread/Routing.h"
#include "siskinspread/NaiveRouting.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace siskinspread {

namespace {

    using namespace std::chrono_literals;

    constexpr MonotonicTime now { 1h };

    PoolView poolOf(size_t servers)
    {
        PoolView view;
        view.entryHosts = 7;
        for (size_t i = 0; i < servers; ++i) {
            upsertBackendServer(view, { .name = "replica-" + std::to_string(i), .failureDomain = "a" });
            setBackendStatus(view.servers[i], BackendStatus::Live, now - 10min);
            applyLoadReport(view.servers[i], { .sampledAt = now, .slots = 16 });
        }
        return view;
    }

    /** A pool in any state: statuses, reachability, loads, reports of any age, own changes. */
    PoolView arbitraryPool()
    {
        PoolView view = poolOf(*rc::gen::inRange<size_t>(1, 12));
        for (BackendServerView& server : view.servers) {
            const auto status = *rc::gen::element(BackendStatus::Joining, BackendStatus::Live, BackendStatus::Live, BackendStatus::Live, BackendStatus::Leaving, BackendStatus::Gone);
            setBackendStatus(server, status, now - std::chrono::seconds(*rc::gen::inRange(0, 60)));
            server.reachable = *rc::gen::inRange(0, 8) > 0;
            server.slowness = *rc::gen::element(1.0, 1.0, 3.0);
            server.description.pricePerHour = *rc::gen::inRange(0, 3);
            applyLoadReport(server, { .sampledAt = now + 1ms, .running = *rc::gen::inRange<uint32_t>(0, 17), .waiting = *rc::gen::inRange<uint32_t>(0, 9), .slots = 16, .queuedPromptTokens = *rc::gen::inRange<uint64_t>(0, 9000) });
            server.report->sampledAt = now - std::chrono::milliseconds(*rc::gen::inRange(0, 15000));
            for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
                recordDispatch(server, 500, now - 1s);
            }
        }
        return view;
    }

    std::vector<PrefixBlock> blocksOf(std::string_view prompt)
    {
        return prefixBlocks(prompt, 4, 64);
    }

    RouteRequest requestFor(const std::vector<PrefixBlock>& blocks)
    {
        return { .blocks = blocks, .tokensPerBlock = 64, .promptTokens = static_cast<uint32_t>(blocks.size() * 64 + 20), .deadline = now + 20s };
    }

    struct Limits {
        double load { 0 };
        double slots { 0 };
    };

    Limits totals(const PoolView& view, std::span<const std::string> excluded)
    {
        Limits limits;
        for (const BackendServerView& server : view.servers) {
            if (mayReceive(server, excluded)) {
                limits.load += estimateLoad(view, server, now).requests;
                limits.slots += usableSlots(view, server, now);
            }
        }
        return limits;
    }

    bool fits(const PoolView& view, const BackendServerView& server, const Limits& limits, const RoutingOptions& options)
    {
        const double limit = boundedLoadLimit(usableSlots(view, server, now), limits.load, limits.slots, options);
        return estimateLoad(view, server, now).requests + 1 <= limit;
    }

} // namespace

TEST_CASE("a choice is live, reachable, not excluded, deterministic, and inside its bound while any server is")
{
    CHECK(rc::check([] {
        const PoolView view = arbitraryPool();
        const auto blocks = blocksOf(*rc::gen::container<std::string>(*rc::gen::inRange<size_t>(0, 64), rc::gen::inRange('a', 'c')));
        std::vector<std::string> excluded;
        for (int i = *rc::gen::inRange(0, 3); i > 0; --i) {
            excluded.push_back("replica-" + std::to_string(*rc::gen::inRange(0, 12)));
        }
        RouteRequest request = requestFor(blocks);
        request.excluded = excluded;
        request.seed = *rc::gen::arbitrary<uint64_t>();
        const RoutingOptions options;
        LastReason reason;
        const auto choice = chooseBackendServer(view, request, options, now, reason);
        const bool anyUsable = std::any_of(view.servers.begin(), view.servers.end(), [&](const auto& server) { return mayReceive(server, excluded); });
        RC_ASSERT(choice.has_value() == anyUsable);
        if (!choice) {
            RC_ASSERT(reason.code == ResultCode::NoBackendServer);
            return;
        }
        const BackendServerView& chosen = view.servers[choice->index];
        RC_ASSERT(chosen.status == BackendStatus::Live && chosen.reachable);
        RC_ASSERT(std::find(excluded.begin(), excluded.end(), chosen.description.name) == excluded.end());
        RC_ASSERT(chooseBackendServer(view, request, options, now, reason)->index == choice->index);
        const Limits limits = totals(view, excluded);
        const bool anyFits = std::any_of(view.servers.begin(), view.servers.end(), [&](const auto& server) { return mayReceive(server, excluded) && fits(view, server, limits, options); });
        RC_ASSERT(fits(view, chosen, limits, options) == anyFits);
        RC_ASSERT(choice->overBound == !anyFits);
    }));
}

TEST_CASE("in a pool too large to be weighed whole the choice keeps the same rules against the totals of the last refresh")
{
    CHECK(rc::check([] {
        PoolView view = poolOf(100);
        const uint32_t busy = *rc::gen::inRange<uint32_t>(0, 101);
        for (size_t i = 0; i < 100; ++i) {
            view.servers[i].report->running = i < busy ? *rc::gen::inRange<uint32_t>(12, 40) : 2;
            view.servers[i].status = i % 9 == 0 ? BackendStatus::Leaving : BackendStatus::Live;
        }
        refreshPoolView(view, now);
        const auto blocks = blocksOf("a recipe" + std::to_string(*rc::gen::inRange(1000, 9000)));
        RouteRequest request = requestFor(blocks);
        request.seed = *rc::gen::arbitrary<uint64_t>();
        const RoutingOptions options;
        LastReason reason;
        const auto choice = chooseBackendServer(view, request, options, now, reason);
        RC_ASSERT(choice.has_value());
        RC_ASSERT(view.servers[choice->index].status == BackendStatus::Live);
        const Limits limits = totals(view, {});
        const bool anyFits = std::any_of(view.servers.begin(), view.servers.end(), [&](const auto& server) { return mayReceive(server, {}) && fits(view, server, limits, options); });
        RC_ASSERT(fits(view, view.servers[choice->index], limits, options) == anyFits);
        RoutingOptions whole = options;
        whole.fullScan = 100;
        if (busy == 0) {
            RC_ASSERT(chooseBackendServer(view, request, whole, now, reason)->index == choice->index);
        }
    }));
}

TEST_CASE("with one usable server the policy and every naive version choose it, and all refuse what none may take")
{
    CHECK(rc::check([] {
        PoolView view = arbitraryPool();
        const bool keepOne = *rc::gen::arbitrary<bool>();
        const size_t only = *rc::gen::inRange<size_t>(0, view.servers.size());
        for (size_t i = 0; i < view.servers.size(); ++i) {
            view.servers[i].status = keepOne && i == only ? BackendStatus::Live : BackendStatus::Leaving;
            view.servers[i].reachable = true;
        }
        const auto blocks = blocksOf("aaaabbbb");
        RouteRequest request = requestFor(blocks);
        request.deadline = *rc::gen::element(now - 1s, now, now + 5s);
        RoundRobinState state;
        LastReason reasons[5];
        const std::optional<RouteChoice> choices[] {
            chooseBackendServer(view, request, {}, now, reasons[0]),
            chooseRoundRobin(view, request, state, now, reasons[1]),
            chooseLeastReportedLoad(view, request, now, reasons[2]),
            chooseLeastOfTwo(view, request, now, reasons[3]),
            choosePlainPrefixHash(view, request, 2, now, reasons[4]),
        };
        for (size_t i = 0; i < std::size(choices); ++i) {
            RC_ASSERT(choices[i].has_value() == (keepOne && request.deadline > now));
            RC_ASSERT(!choices[i] || choices[i]->index == only);
            RC_ASSERT(reasons[i].code == reasons[0].code);
        }
    }));
}

TEST_CASE("in an idle pool a prefix has the home that the plain prefix hash gives it, on every host")
{
    const PoolView view = poolOf(20);
    const auto blocks = blocksOf("recipe of garam masala");
    const RouteRequest request = requestFor(blocks);
    LastReason reason;
    const auto choice = chooseBackendServer(view, request, {}, now, reason);
    REQUIRE(choice);
    CHECK(choice->index == choosePlainPrefixHash(view, request, 1, now, reason)->index);
}

TEST_CASE("the plain prefix hash overloads the home of a hot prefix; the bounded one does not")
{
    PoolView plain = poolOf(20);
    PoolView bounded = poolOf(20);
    const auto blocks = blocksOf("the one hot recipe");
    LastReason reason;
    for (uint64_t i = 0; i < 200; ++i) {
        RouteRequest request = requestFor(blocks);
        request.seed = i;
        recordDispatch(plain.servers[choosePlainPrefixHash(plain, request, 1, now, reason)->index], 0, now);
        recordDispatch(bounded.servers[chooseBackendServer(bounded, request, {}, now, reason)->index], 0, now);
    }
    const auto most = [](const PoolView& view) {
        return std::max_element(view.servers.begin(), view.servers.end(), [](const auto& left, const auto& right) { return left.ownInFlight < right.ownInFlight; })->ownInFlight;
    };
    CHECK(most(plain) == 200);
    CHECK(most(bounded) <= 16);
}

TEST_CASE("all requests of hosts with the same stale report go to one server by least load, and spread by the policy")
{
    PoolView view = poolOf(20);
    for (size_t i = 1; i < 20; ++i) {
        view.servers[i].report->running = 3;
    }
    LastReason reason;
    std::set<size_t> naive;
    std::set<size_t> ours;
    for (uint64_t i = 0; i < 60; ++i) {
        const RouteRequest request { .promptTokens = 600, .deadline = now + 20s, .seed = i };
        naive.insert(chooseLeastReportedLoad(view, request, now, reason)->index);
        const auto choice = chooseBackendServer(view, request, {}, now, reason);
        ours.insert(choice->index);
        recordDispatch(view.servers[choice->index], choice->missingTokens, now);
    }
    CHECK(naive.size() == 1);
    CHECK(ours.size() >= 15);
}

TEST_CASE("a prefix that carries half of the work has many homes and a rare one has one")
{
    PoolView view = poolOf(20);
    const auto hot = blocksOf("hot!");
    for (uint64_t i = 0; i < 400; ++i) {
        recordPrefix(view.popularity, i % 2 == 0 ? hot : blocksOf("u" + std::to_string(1000 + i)), 1, now);
    }
    LastReason reason;
    std::set<size_t> homesOfHot;
    std::set<size_t> homesOfRare;
    for (uint64_t i = 0; i < 200; ++i) {
        const auto hotBlocks = blocksOf("hot!" + std::to_string(1000 + i));
        const auto rareBlocks = blocksOf("rare" + std::to_string(1000 + i));
        homesOfHot.insert(chooseBackendServer(view, requestFor(hotBlocks), {}, now, reason)->index);
        homesOfRare.insert(chooseBackendServer(view, requestFor(rareBlocks), {}, now, reason)->index);
    }
    CHECK(homesOfHot.size() == static_cast<size_t>(std::ceil(0.5 * 20 * RoutingOptions {}.replicaSlack)));
    CHECK(homesOfHot.size() > 1);
    CHECK(homesOfRare.size() == 1);
}

TEST_CASE("when half of the servers leave, the prefixes of the others keep their homes")
{
    PoolView view = poolOf(20);
    LastReason reason;
    std::vector<size_t> before;
    for (int i = 0; i < 100; ++i) {
        const auto blocks = blocksOf(std::to_string(1000 + i) + " prefix");
        before.push_back(chooseBackendServer(view, requestFor(blocks), {}, now, reason)->index);
    }
    for (size_t i = 0; i < 20; i += 2) {
        setBackendStatus(view.servers[i], BackendStatus::Leaving, now);
    }
    std::set<size_t> after;
    for (int i = 0; i < 100; ++i) {
        const auto blocks = blocksOf(std::to_string(1000 + i) + " prefix");
        const size_t index = chooseBackendServer(view, requestFor(blocks), {}, now, reason)->index;
        CHECK(index % 2 == 1);
        CHECK((before[static_cast<size_t>(i)] % 2 == 0 || before[static_cast<size_t>(i)] == index));
        after.insert(index);
    }
    CHECK(after.size() >= 9); // the moved ones are spread
}

TEST_CASE("a slow server, an expensive one and a far one lose to an equal one without that")
{
    LastReason reason;
    const RouteRequest request { .promptTokens = 100, .deadline = now + 20s };
    const auto chosenAfter = [&](auto change) {
        PoolView view = poolOf(2);
        const size_t first = chooseBackendServer(view, request, {}, now, reason)->index;
        view.servers[1 - first].description.pricePerHour = 1;
        view.servers[first].description.pricePerHour = 1;
        change(view.servers[first]);
        return chooseBackendServer(view, request, {}, now, reason)->index != first;
    };
    CHECK(chosenAfter([](BackendServerView& server) { server.slowness = 2; }));
    CHECK(chosenAfter([](BackendServerView& server) { server.description.pricePerHour = 2; }));
    CHECK(chosenAfter([](BackendServerView& server) { server.description.oneWayDelay = 30ms; }));
    CHECK_FALSE(chosenAfter([](BackendServerView&) {}));
}

TEST_CASE("a home that would miss the deadline loses to a server that makes it")
{
    PoolView view = poolOf(20);
    const auto blocks = blocksOf("the one hot recipe");
    RouteRequest request = requestFor(blocks);
    LastReason reason;
    const size_t home = chooseBackendServer(view, request, {}, now, reason)->index;
    view.servers[home].report->queuedPromptTokens = 4000;
    RoutingOptions options { .weights = { .latencyBoundCost = 0, .recomputedTokens = 1 } };
    CHECK(chooseBackendServer(view, request, options, now, reason)->index == home);
    request.deadline = now + 300ms;
    CHECK(chooseBackendServer(view, request, options, now, reason)->index != home);
}

TEST_CASE("cache events correct the choice and expire; an eviction older than a store is ignored")
{
    PoolView view = poolOf(20);
    const auto blocks = blocksOf("some recipe that moved elsewhere");
    const RouteRequest request = requestFor(blocks);
    LastReason reason;
    const size_t home = chooseBackendServer(view, request, {}, now, reason)->index;
    const size_t holder = (home + 1) % 20;
    for (const PrefixBlock block : blocks) {
        recordCached(view.cachedPrefixes, block, view.servers[holder].nameHash, now);
        recordEvicted(view.cachedPrefixes, block, view.servers[holder].nameHash, now - 1s);
    }
    CHECK(chooseBackendServer(view, request, {}, now, reason)->index == holder);
    PoolView later = view;
    later.cachedPrefixes.lifetime = 0ms;
    CHECK(chooseBackendServer(later, { .blocks = blocks, .promptTokens = 532, .deadline = now + 30s }, {}, now + 1s, reason)->index == home);
    for (const PrefixBlock block : blocks) {
        recordEvicted(view.cachedPrefixes, block, view.servers[holder].nameHash, now);
    }
    CHECK(chooseBackendServer(view, request, {}, now, reason)->index == home);
}

TEST_CASE("the fast choice is the plain one, in pools of any size and state")
{
    CHECK(rc::check([] {
        PoolView view = poolOf(*rc::gen::element<size_t>(1, 20, 64, 65, 300, 700));
        const uint64_t mix = *rc::gen::arbitrary<uint64_t>();
        for (size_t i = 0; i < view.servers.size(); ++i) {
            const uint64_t draw = rendezvousWeight(mix, i);
            BackendServerView& server = view.servers[i];
            server.reachable = draw % 16 > 0;
            server.slowness = draw % 7 ? 1.0 : 2.5;
            server.description.pricePerHour = static_cast<double>(draw % 3);
            server.report->running = static_cast<uint32_t>((draw >> 8) % 24);
            server.report->queuedPromptTokens = (draw >> 16) % 4000;
            recordDispatch(server, 300, now - 200ms);
        }
        const auto blocks = blocksOf(*rc::gen::container<std::string>(*rc::gen::inRange<size_t>(0, 120), rc::gen::inRange('a', 'c')));
        for (size_t left = 0; left <= blocks.size(); left += 5) {
            const size_t depth = blocks.size() - left;
            recordPrefix(view.popularity, std::span { blocks }.first(depth), 500, now - std::chrono::seconds(3 * depth));
        }
        for (const PrefixBlock block : blocks) {
            recordCached(view.cachedPrefixes, block, view.servers[block % view.servers.size()].nameHash, now - 1s);
        }
        refreshPoolView(view, now);
        const RoutingOptions options { .instructionTokens = *rc::gen::element(0U, 256U) };
        const std::vector<std::string> excluded { "replica-0", "replica-7" };
        LastReason reason;
        for (uint64_t seed = 0; seed < 4; ++seed) {
            RouteRequest request = requestFor(blocks);
            request.seed = seed;
            request.excluded = std::span { excluded }.first(seed % 3);
            RC_ASSERT(chooseBackendServer(view, request, options, now, reason) == chooseBackendServerPlainly(view, request, options, now, reason));
        }
    }));
}

} // namespace siskinspread
