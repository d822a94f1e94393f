#include "siskinspread/EngineOrdersAdapter.h"
#include "HostFixture.h"
#include "siskinspread/ConfigurationCodec.h"
#include "siskinspread/RecordCodec.h"
#include "siskinspread/RpcMessage.h"

#include <doctest/doctest.h>

namespace siskinspread {

namespace {

    using namespace std::chrono_literals;

    schema::Configuration configuration(uint64_t revision)
    {
        schema::Configuration result;
        result.set_revision(revision);
        result.set_publish_id("p");
        schema::Service& service = *result.add_services();
        service.set_name("drafts");
        service.set_pool("drafts");
        service.set_kind(schema::MODEL);
        service.set_file_revision(revision);
        service.mutable_engine_loads()->set_version(std::to_string(revision));
        service.set_checks_fencing_numbers(true);
        schema::BackendServer& server = *service.add_backend_servers();
        server.set_name("engine-0");
        server.set_address("127.0.0.1:8000");
        server.set_failure_domain("one");
        server.set_price_per_hour(1);
        return result;
    }

    struct OrdersFixture : HostFixture {
        PeerCalls calls { context };
        ServerHolds holds { context, { .timers = timers, .calls = calls, .otherHosts = [] { return std::vector<std::string> {}; } } };
        MonotonicTime clock { context.now };
        const ObjectApiOptions store { .url = "http://store" };
        DutyLeaseAdapter lease { context, { .timers = timers, .clock = [this] { return clock; }, .rank = [] { return 0; } }, store, "d" };
        EngineOrdersAdapter orders { context, { .timers = timers, .clock = [this] { return clock; }, .engines = backendServers, .lease = lease, .holds = holds }, store };

        /** Gains the lease and lets `adapter` begin an order of two steps; the engine has accepted the first one `later`. */
        void orderTwoSteps(EngineOrdersAdapter& adapter, std::chrono::milliseconds later)
        {
            schema::Configuration wanted = configuration(1);
            schema::EngineAdapter& terse = *wanted.mutable_services(0)->mutable_engine_loads()->add_adapters();
            terse.set_name("terse");
            terse.set_version("1");
            adapter.configured(wanted);
            lease.start();
            adapter.start();
            answerLease(404, 0);
            answerLease(201, 1);
            pass(1s);
            answer(platform.take("objects/configuration").value(), 200, encodeConfiguration(wanted));
            pass(1s);
            answer(backendServers.take("/orders").value(), 200, R"({"models": {}, "adapters": {}, "role": "mixed"})");
            answer(backendServers.take("/load").value(), 200, R"({"running": 0, "queued": 0})");
            const auto first = backendServers.take("load_model").value();
            clock += later;
            answer(first, 200, "{}");
        }

        void pass(std::chrono::milliseconds time)
        {
            for (const MonotonicTime end = context.now + time; context.now < end;) {
                advance(50ms);
                clock = context.now;
            }
        }

        /** Answers the next call about the lease with this version. */
        bool answerLease(int status, uint64_t version, const LeaseRecord& record = {})
        {
            const auto call = platform.take("leases/d");
            if (call) {
                answer(*call, status, encodeLeaseRecord(record), { { .name = "ETag", .value = '"' + std::to_string(version) + '"' } });
            }
            return call.has_value();
        }
    };

} // namespace

TEST_CASE_FIXTURE(OrdersFixture, "a version that a host sees after a pause counts from then, not from the beginning of its turn")
{
    lease.start();
    clock += 14s; // paused in the middle of a turn; the holder renewed meanwhile
    REQUIRE(answerLease(200, 5, { .holder = "b.1", .fencingNumber = 3, .writeId = "b.1/9" }));
    context.now = clock;
    for (std::chrono::milliseconds waited { 0 }; waited < 14s; waited += 250ms) {
        pass(250ms);
        CHECK(std::none_of(platform.open.begin(), platform.open.end(), [](const auto& open) { return open.transfer.method == "PUT"; }));
        answerLease(200, 5, { .holder = "b.1", .fencingNumber = 3, .writeId = "b.1/9" });
    }
    pass(2s);
    CHECK(answerLease(200, 5, { .holder = "b.1", .fencingNumber = 3, .writeId = "b.1/9" }));
    CHECK(platform.take("leases/d")->transfer.method == "PUT");
}

TEST_CASE_FIXTURE(OrdersFixture, "a new holder whose configuration lags orders nothing before it has caught up")
{
    orders.configured(configuration(1));
    lease.start();
    orders.start();
    REQUIRE(answerLease(404, 0));
    REQUIRE(answerLease(201, 1));
    REQUIRE(lease.heldFencingNumber() == 1);
    pass(1s);
    const auto read = platform.take("objects/configuration");
    REQUIRE(read);
    answer(*read, 200, encodeConfiguration(configuration(2)));
    pass(1s);
    CHECK_FALSE(backendServers.take("/orders"));
    orders.configured(configuration(2));
    pass(1s);
    const auto state = backendServers.take("/orders");
    REQUIRE(state);
    answer(*state, 200, R"({"models": {}, "adapters": {}, "role": "mixed"})");
    answer(backendServers.take("/load").value(), 200, R"({"running": 0, "queued": 0})");
    const auto order = backendServers.take("load_model");
    REQUIRE(order);
    CHECK(nlohmann::json::parse(order->transfer.body) == nlohmann::json { { "fencing", 1 }, { "order", "load_model" }, { "model", "drafts" }, { "version", "2" } });
    CHECK(order->transfer.startBefore == lease.validUntil());
}

TEST_CASE_FIXTURE(OrdersFixture, "the next step of an order goes out while the lease is held")
{
    orderTwoSteps(orders, 5s);
    CHECK(backendServers.take("load_adapter"));
}

TEST_CASE_FIXTURE(OrdersFixture, "a holder that wakes between two steps past its lease drops the next one")
{
    orderTwoSteps(orders, 20s);
    CHECK_FALSE(backendServers.take("load_adapter"));
}

TEST_CASE_FIXTURE(OrdersFixture, "without a look at the lease before each step the next one goes out past the lease")
{
    EngineOrdersAdapter unsafe { context, { .timers = timers, .clock = [this] { return clock; }, .engines = backendServers, .lease = lease, .holds = holds, .check = OrderLeaseCheck::None }, store };
    orderTwoSteps(unsafe, 20s);
    CHECK(backendServers.take("load_adapter"));
}

TEST_CASE_FIXTURE(OrdersFixture, "a hold is told to every live host, ends by itself and is taken from peers")
{
    std::vector<std::string> live { "b", "c" };
    ServerHolds own { context, { .timers = timers, .calls = calls, .otherHosts = [&] { return live; } } };
    std::optional<bool> confirmed;
    own.start();
    own.holdBack("engine-0", [&](bool all) { confirmed = all; });
    advance(1s);
    CHECK(own.isHeldBack("engine-0"));
    answerRpc(peers.take("3002").value(), "true");
    advance(2s);
    CHECK_FALSE(confirmed);
    live = { "b" }; // the silent one is dead
    advance(1s);
    CHECK(confirmed == true);
    own.abandonAll();
    advance(61s);
    CHECK_FALSE(own.isHeldBack("engine-0"));
    holds.start();
    CHECK(parseRpcResponse(1, calls.methods().handle(makeRpcRequest(1, "hold_server", R"({"server":"engine-1","time_ms":5000})"))).ok());
    CHECK(holds.isHeldBack("engine-1"));
    advance(6s);
    CHECK_FALSE(holds.isHeldBack("engine-1"));
}

} // namespace siskinspread
