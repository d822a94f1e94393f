#include "siskinspread/PoolView.h"

#include <doctest/doctest.h>

namespace siskinspread {

namespace {

    using namespace std::chrono_literals;

    constexpr MonotonicTime now { 1h };

    PoolView poolOf(size_t servers)
    {
        PoolView view;
        view.entryHosts = 6;
        for (size_t i = 0; i < servers; ++i) {
            upsertBackendServer(view, { .name = std::to_string(i), .defaultSlots = 10 });
            setBackendStatus(view.servers[i], BackendStatus::Live, now - 1h);
        }
        return view;
    }

} // namespace

TEST_CASE("a lagging report is corrected by what this host has sent since, and only by that")
{
    PoolView view = poolOf(1);
    view.options.othersShare = 0.2; // with 5 other hosts each own change counts twice
    BackendServerView& server = view.servers[0];
    recordDispatch(server, 100, now - 3s);
    recordDispatch(server, 100, now - 1s);
    applyLoadReport(server, { .sampledAt = now - 2s, .running = 4, .waiting = 1, .slots = 10, .queuedPromptTokens = 0 });
    CHECK(estimateLoad(view, server, now - 1s).requests == doctest::Approx(7));
    CHECK(estimateLoad(view, server, now - 1s).queuedPromptTokens == doctest::Approx(200));
    CHECK(estimateLoad(view, server, now).queuedPromptTokens == 0); // drained at 8000 a second
    applyLoadReport(server, { .sampledAt = now - 5s, .running = 50 });
    CHECK(estimateLoad(view, server, now).requests == doctest::Approx(7)); // an older report is ignored
    recordFinish(server, now);
    recordFinish(server, now);
    CHECK(estimateLoad(view, server, now).requests == doctest::Approx(3));
}

TEST_CASE("without a usable report the own requests stand for those of all hosts")
{
    PoolView view = poolOf(1);
    recordDispatch(view.servers[0], 0, now);
    CHECK(estimateLoad(view, view.servers[0], now).requests == 6);
    applyLoadReport(view.servers[0], { .sampledAt = now - 11s, .running = 9 });
    CHECK(estimateLoad(view, view.servers[0], now).requests == 6);
}

TEST_CASE("slow start grows the usable slots, and a server that receives no work has none")
{
    PoolView view = poolOf(1);
    BackendServerView& server = view.servers[0];
    setBackendStatus(server, BackendStatus::Gone, now);
    CHECK(usableSlots(view, server, now) == 0);
    setBackendStatus(server, BackendStatus::Live, now);
    CHECK(usableSlots(view, server, now) == doctest::Approx(2));
    CHECK(usableSlots(view, server, now + 10s) == doctest::Approx(5));
    setBackendStatus(server, BackendStatus::Live, now + 10s); // a repeated notice does not begin again
    CHECK(usableSlots(view, server, now + 20s) == doctest::Approx(10));
    server.reachable = false;
    CHECK(usableSlots(view, server, now + 20s) == 0);
}

TEST_CASE("a slow server is found by its time between tokens and tried again when the observations are old")
{
    PoolView view = poolOf(4);
    for (int i = 0; i < 10; ++i) {
        for (size_t s = 0; s < 4; ++s) {
            recordBetweenTokens(view.servers[s], view.options, s == 2 ? 90ms : 30ms, now);
        }
    }
    refreshPoolView(view, now);
    CHECK(view.servers[2].slowness == doctest::Approx(3));
    CHECK(view.servers[1].slowness == 1);
    CHECK(usableSlots(view, view.servers[2], now) == doctest::Approx(10.0 / 3));
    refreshPoolView(view, now + 11s);
    CHECK(view.servers[2].slowness == 1);
}

TEST_CASE("a server that is gone is forgotten once nothing of this host is in progress on it")
{
    PoolView view = poolOf(3);
    setBackendStatus(view.servers[0], BackendStatus::Gone, now);
    setBackendStatus(view.servers[1], BackendStatus::Gone, now);
    recordDispatch(view.servers[1], 0, now);
    removeGoneServers(view);
    REQUIRE(view.servers.size() == 2);
    CHECK(findBackendServer(view, "0") == nullptr);
    CHECK(findBackendServer(view, "1")->ownInFlight == 1);
    CHECK(findBackendServer(view, "2")->status == BackendStatus::Live);
}

TEST_CASE("slow start lowers what a pool carries only against servers that are further in it")
{
    PoolView view;
    for (const char* name : { "first", "second" }) {
        setBackendStatus(view.servers[upsertBackendServer(view, { .name = name, .failureDomain = "a" })], BackendStatus::Live, MonotonicTime { 1h });
    }
    CHECK(poolSlots(view, MonotonicTime { 1h }) == 32); // a host that has just started
    const MonotonicTime later { 2h };
    setBackendStatus(view.servers[0], BackendStatus::Gone, later);
    CHECK(poolSlots(view, later) == 16);
    setBackendStatus(view.servers[0], BackendStatus::Live, later);
    CHECK(poolSlots(view, later) == doctest::Approx(16 + 16 * view.options.slowStartFloor));
    CHECK(poolSlots(view, later + view.options.slowStart) == 32);
}

} // namespace siskinspread
