#include "siskinspread/ReplicaLimit.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <random>

using namespace siskinspread;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds window { 4000 };
constexpr milliseconds turn { 50 };
const BootTime start { std::chrono::hours { 1 } };

/** What may arrive in some window: one and a half times the limit, and five. */
size_t allowed(double perSecond)
{
    return static_cast<size_t>(1.5 * perSecond * 4 + 5);
}

std::vector<std::string> names(size_t count)
{
    std::vector<std::string> hosts;
    for (size_t i = 0; i < count; ++i) {
        hosts.push_back("host-" + std::to_string(i));
    }
    return hosts;
}

struct TestHost {
    LimitHosts hosts;
    ReplicaLimit limit { .replica = 77 };
    bool hasCallers { true };
};

/** Hosts before one replica, each with more callers than it may serve. */
struct TestSystem {
    explicit TestSystem(size_t count)
    {
        for (const auto& name : names(count)) {
            hosts.push_back({ .hosts = { .self = name, .all = names(count) } });
        }
    }

    void show(std::optional<double> perSecond, BootTime at)
    {
        for (auto& host : hosts) {
            noteEvidence(host.limit, { .requestsPerSecond = perSecond, .at = at }, true, at);
        }
    }

    /** Each answer names the limit to all hosts at once. */
    void run(std::chrono::milliseconds time, std::optional<double> perSecond)
    {
        for (const auto end = now + time; now < end; now += turn) {
            for (auto& host : hosts) {
                refreshShare(host.limit, host.hosts, now);
                while (host.hasCallers && mayCall(host.limit) && sent.size() < 1'000'000) {
                    countCall(host.limit);
                    sent.push_back(now);
                    const LimitEvidence evidence { .requestsPerSecond = perSecond, .at = now, .round = limitRound(host.limit, now) };
                    for (auto& other : hosts) {
                        noteEvidence(other.limit, evidence, &other == &host, now);
                    }
                    if (!perSecond) {
                        break;
                    }
                }
            }
        }
    }

    size_t mostInWindow() const
    {
        size_t most = 0;
        std::deque<BootTime> recent;
        for (const auto at : sent) {
            recent.push_back(at);
            while (at - recent.front() >= window) {
                recent.pop_front();
            }
            most = std::max(most, recent.size());
        }
        return most;
    }

    std::vector<TestHost> hosts;
    std::vector<BootTime> sent;
    BootTime now { start };
};

} // namespace

TEST_CASE("all hosts together keep to a limit, also where it is far below one request a second for each")
{
    for (const size_t count : { 1, 2, 7, 77, 295, 380 }) {
        for (const double perSecond : { 0.0, 0.2, 1.0, 1.3, 3.7, 12.0, 60.0 }) {
            CAPTURE(count);
            CAPTURE(perSecond);
            TestSystem system { count };
            system.show(perSecond, start);
            system.run(std::chrono::seconds { 60 }, perSecond);
            CHECK(system.mostInWindow() <= allowed(perSecond));
            if (perSecond >= 1.0) {
                // Callers get what the replica takes, but for the time until the last share has its first call.
                CHECK(static_cast<double>(system.sent.size()) >= 0.85 * perSecond * 60 - 5);
            }
        }
    }
}

TEST_CASE("a limit is kept while a host that has just started is not known to the others")
{
    for (const size_t count : { 7, 77, 295 }) {
        for (const double perSecond : { 0.2, 1.0, 1.3, 12.0 }) {
            CAPTURE(count);
            CAPTURE(perSecond);
            TestSystem system { count };
            for (size_t i = 0; i + 1 < count; ++i) {
                system.hosts[i].hosts.all = names(count - 1);
            }
            system.show(perSecond, start);
            system.run(std::chrono::seconds { 60 }, perSecond);
            CHECK(system.mostInWindow() <= allowed(perSecond));
        }
    }
}

TEST_CASE("hosts that are added hold no share before the others know them")
{
    TestSystem system { 30 };
    system.show(12.0, start);
    system.run(std::chrono::seconds { 10 }, 12.0);
    const auto settled = system.now + std::chrono::seconds { 3 };
    for (size_t i = 30; i < 60; ++i) {
        system.hosts.push_back({ .hosts = { .self = names(60)[i], .all = names(60), .settledAt = settled } });
        noteEvidence(system.hosts.back().limit, { .requestsPerSecond = 12.0, .at = system.now }, false, system.now);
    }
    system.run(std::chrono::milliseconds { 2500 }, 12.0);
    for (auto& host : system.hosts) {
        host.hosts.all = names(60);
        host.hosts.version = 1;
    }
    system.run(std::chrono::seconds { 20 }, 12.0);
    CHECK(system.mostInWindow() <= allowed(12.0));
}

TEST_CASE("a limit that is lowered is kept from the first answer that tells of it")
{
    TestSystem system { 77 };
    system.show(20.0, start);
    system.run(std::chrono::seconds { 30 }, 20.0);
    system.sent.clear();
    system.run(std::chrono::seconds { 30 }, 1.0);
    CHECK(system.mostInWindow() <= allowed(1.0) + 1); // the call that brought the first answer
}

TEST_CASE("a limit ends for all hosts with the first answer without one to a request that was sent after the last with one")
{
    ReplicaLimit limit;
    CHECK(noteEvidence(limit, { .requestsPerSecond = 2.0, .at = start }, true, start));
    CHECK_FALSE(noteEvidence(limit, { .at = start - milliseconds { 1 } }, true, start));
    CHECK_FALSE(noteEvidence(limit, { .at = start }, true, start));
    CHECK(limit.evidence->requestsPerSecond == 2.0);
    CHECK(noteEvidence(limit, { .at = start + milliseconds { 1 } }, false, start + milliseconds { 9 }));
    CHECK(mayCall(limit));
    CHECK_FALSE(limit.firstHand);
}

TEST_CASE("evidence in any order leads to the same limit on all hosts")
{
    std::mt19937_64 random { 5 };
    for (int turns = 0; turns < 500; ++turns) {
        std::vector<LimitEvidence> all;
        for (int i = 0; i < 6; ++i) {
            LimitEvidence evidence { .at = start + milliseconds { random() % 4 }, .round = static_cast<uint32_t>(random() % 3) };
            if (random() % 3 != 0) {
                evidence.requestsPerSecond = static_cast<double>(evidence.at.time_since_epoch().count() % 7 + 1);
            }
            all.push_back(evidence);
        }
        ReplicaLimit one;
        ReplicaLimit other;
        for (const auto& evidence : all) {
            noteEvidence(one, evidence, true, start);
        }
        std::shuffle(all.begin(), all.end(), random);
        for (const auto& evidence : all) {
            noteEvidence(other, evidence, true, start);
        }
        CHECK(one.evidence->requestsPerSecond == other.evidence->requestsPerSecond);
        CHECK(one.evidence->round == other.evidence->round);
    }
}

TEST_CASE("other hosts hold the shares when those that held them have no callers")
{
    TestSystem system { 77 };
    system.show(1.0, start);
    for (auto& host : system.hosts) {
        refreshShare(host.limit, host.hosts, system.now);
        host.hasCallers = !host.limit.holdsShare;
    }
    system.run(std::chrono::minutes { 5 }, 1.0);
    CHECK(system.sent.size() > 60);
    CHECK(system.mostInWindow() <= allowed(1.0));
}

TEST_CASE("only a host with a share is told how many calls it may make soon")
{
    TestSystem system { 77 };
    system.show(1.0, start);
    size_t holders = 0;
    for (auto& host : system.hosts) {
        refreshShare(host.limit, host.hosts, system.now);
        const auto calls = callsWithin(host.limit, std::chrono::seconds { 5 }, system.now);
        CHECK(calls >= (host.limit.holdsShare ? 1U : 0U));
        CHECK(calls <= (host.limit.holdsShare ? 2U : 0U));
        holders += host.limit.holdsShare ? 1 : 0;
    }
    CHECK(holders == limitHolders(1.0, 77));
}

TEST_CASE("a host that stops gives up its shares")
{
    LimitHosts hosts { .self = "host-1", .all = { "host-1" } };
    ReplicaLimit limit;
    noteEvidence(limit, { .requestsPerSecond = 100.0, .at = start }, true, start);
    refreshShare(limit, hosts, start);
    CHECK(limit.holdsShare);
    hosts = { .self = "host-1", .all = { "host-2" }, .version = 1 };
    refreshShare(limit, hosts, start + std::chrono::seconds { 5 });
    CHECK_FALSE(mayCall(limit));
}
