#include "FeedNetwork.h"
#include "Script.h"

#include <doctest/doctest.h>

#include <random>

namespace siskinspread {

namespace {

    using namespace std::chrono_literals;

    ConfigurationDocument document(uint64_t revision, const std::string& problem = {})
    {
        return { .revision = revision, .body = "revision " + std::to_string(revision), .problem = problem };
    }

    ConfigurationFeedState makeFeed(const std::string& self)
    {
        ConfigurationFeedState feed;
        feed.self = self;
        return feed;
    }

    RevisionAdvert advertOf(uint64_t revision)
    {
        return { .revision = revision, .storeContactAge = std::nullopt, .storeContactHost = {} };
    }

} // namespace

TEST_CASE("revisions in force never go down, and after the faults all hosts converge to the highest")
{
    CHECK(rc::check([] {
        FeedNetwork network { 2, 3 };
        for (const uint32_t choice : arbitraryScript(300)) {
            network.perform(choice);
            RC_ASSERT(network.violation() == "");
        }
        network.heal();
        network.runWithoutFaults(40s);
        RC_ASSERT(network.violation() == "");
        RC_ASSERT(network.hostsInForce(network.storeRevision()) == network.hostCount());
    }));
}

TEST_CASE("a feed that takes whichever document arrives last goes back under deliveries that the other passes")
{
    std::mt19937 random { 1 };
    int violations = 0;
    for (int i = 0; i < 1000; ++i) {
        LastMessageFeedState naive { document(1) };
        ConfigurationFeedState feed = makeFeed("a");
        std::vector<FeedAction> actions;
        step(feed, {}, StoreAnswered { document(1) }, MonotonicTime { 1h }, actions);
        for (int delivery = 0; delivery < 4; ++delivery) {
            const uint64_t naiveBefore = naive.inForce->revision;
            const uint64_t before = feed.inForce->revision;
            const ConfigurationDocument next = document(2 + random() % 4);
            stepLastMessage(naive, next);
            step(feed, {}, ConfigurationFetched { "b", next }, MonotonicTime { 1h }, actions);
            CHECK(feed.inForce->revision >= before);
            violations += naive.inForce->revision < naiveBefore;
        }
    }
    MESSAGE("the last message won: ", violations, " of 4000 deliveries took a revision back");
    CHECK(violations > 0);
}

TEST_CASE("an invalid configuration leaves the one in force standing and is reported")
{
    ConfigurationFeedState feed = makeFeed("a");
    std::vector<FeedAction> actions;
    const MonotonicTime begin { 1h };
    step(feed, {}, StoreAnswered { document(4) }, begin, actions);
    REQUIRE(feed.ready);
    actions.clear();
    step(feed, {}, StoreAnswered { document(5, "no such customer") }, begin, actions);
    REQUIRE(actions.size() == 1);
    CHECK(std::get<FeedProblem>(actions[0]).code == ResultCode::InvalidConfiguration);
    CHECK(feed.inForce->revision == 4);
    actions.clear();
    step(feed, {}, RevisionHeard { "b", true, advertOf(5) }, begin, actions);
    CHECK(actions.empty());
    step(feed, {}, RevisionHeard { "b", true, advertOf(5) }, begin + 60s, actions);
    CHECK(actions.size() == 1);
    step(feed, {}, StoreAnswered { document(6) }, begin, actions);
    CHECK(feed.inForce->revision == 6);
}

TEST_CASE("a host that starts while the platform is away asks its peers and does not go below its former incarnation")
{
    const MonotonicTime begin { 1h };
    for (const uint64_t heardFromAsker : { 8U, 10U }) {
        ConfigurationFeedState feed = makeFeed("a");
        std::vector<FeedAction> actions;
        step(feed, {}, FeedMembersChanged { { "a", "b", "c" }, {} }, begin, actions);
        step(feed, {}, FeedTick {}, begin, actions);
        step(feed, {}, StoreCallFailed {}, begin, actions);
        step(feed, {}, RevisionTold { "b", 9, heardFromAsker }, begin, actions);
        step(feed, {}, ConfigurationFetched { "b", document(9) }, begin, actions);
        CHECK_FALSE(feed.ready); // c has not answered yet
        step(feed, {}, FeedTick {}, begin + 4s, actions);
        CHECK(feed.ready == (heardFromAsker == 8));
        step(feed, {}, StoreAnswered { document(10) }, begin + 5s, actions);
        CHECK(feed.ready);
        CHECK(feed.inForce->revision == 10);
    }
}

TEST_CASE("the next host watches the store when the watcher of its domain falls silent")
{
    FeedNetwork network { 1, 5 };
    network.runWithoutFaults(20s);
    const std::string watcher = network.soleWatcher();
    network.remove(watcher);
    network.publish();
    network.runWithoutFaults(14s);
    CHECK(network.hostsInForce(network.storeRevision()) == 4);
    CHECK(network.soleWatcher() != watcher);
}

TEST_CASE("384 hosts keep within the call rate of the store at rest, during an outage and after it")
{
    FeedNetwork network { 8, 48 };
    network.runWithoutFaults(30s);
    const auto callsPerSecond = [&network](std::chrono::seconds time) {
        const size_t before = network.storeCalls();
        network.runWithoutFaults(time);
        return static_cast<double>(network.storeCalls() - before) / static_cast<double>(time.count());
    };
    const double atRest = callsPerSecond(40s);
    network.publish();
    std::chrono::seconds untilInForce { 0 };
    for (; network.hostsInForce(network.storeRevision()) < network.hostCount() && untilInForce < 30s; ++untilInForce) {
        network.runWithoutFaults(1s);
    }
    CHECK(untilInForce <= 14s);
    network.setStoreUp(false);
    const double duringOutage = callsPerSecond(120s);
    network.setStoreUp(true);
    network.publish();
    const double afterwards = callsPerSecond(14s);
    MESSAGE("store calls a second: at rest ", atRest, ", outage ", duringOutage, ", return ", afterwards, "; publish in force after ", untilInForce.count(), " s");
    CHECK(atRest < 4);
    CHECK(duringOutage < 12);
    CHECK(afterwards < 12);
    CHECK(network.hostsInForce(network.storeRevision()) == network.hostCount());
}

} // namespace siskinspread
