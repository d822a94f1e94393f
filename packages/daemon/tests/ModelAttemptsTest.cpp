#include "RequestFixture.h"

#include <doctest/doctest.h>

namespace siskinspread {

namespace {

    using namespace std::chrono_literals;

    constexpr int tokens = 200;
    constexpr int slowFactor = 4;

    void sendTokens(const RecordedTransfers::Open& open, int first, int count)
    {
        for (int i = first; i < first + count; ++i) {
            const nlohmann::json chunk { { "siskinspread_token_index", i }, { "choices", { { { "delta", { { "content", "w " } } } } } } };
            open.handler(TransferData { .transfer = open.transfer.transfer, .data = "data: " + chunk.dump() + "\n\n" });
        }
    }

    struct DraftsFixture : RequestFixture {
        static std::string address(size_t server) { return "10.0.0.1:800" + std::to_string(server); }

        /** Each server answers one request, token by token; the last takes four times as long. */
        void answerOneEach()
        {
            std::vector<RecordedTransfers::Open> open;
            for (size_t i = 0; i < pool->view.servers.size(); ++i) {
                open.push_back(backendServers.take(address(i)).value());
                open[i].handler(TransferHeaders { .transfer = open[i].transfer.transfer, .status = 200, .headers = {} });
            }
            for (int i = 0; i < tokens; ++i) {
                pass(30ms);
                sendTokens(open[0], i, 1);
                sendTokens(open[1], i, 1);
                if (i % slowFactor == 0) {
                    sendTokens(open[2], i / slowFactor, 1);
                }
            }
            pools.refresh();
        }

        std::shared_ptr<ServicePool> pool { pools.find("drafts") };
    };

} // namespace

TEST_CASE_FIXTURE(DraftsFixture, "an engine whose tokens come slowly is found and gets less work")
{
    for (int i = 0; dispatched(address(0)) == 0 || dispatched(address(1)) == 0 || dispatched(address(2)) == 0; ++i) {
        REQUIRE(i < 30);
        draft("prompt " + std::to_string(i));
    }
    answerOneEach();
    CHECK(pool->view.servers[0].slowness == 1.0);
    CHECK(pool->view.servers[2].slowness == doctest::Approx(4.0).epsilon(0.1));

    backendServers.open.clear();
    for (int i = 0; i < 12; ++i) {
        draft("later prompt " + std::to_string(i));
    }
    CHECK(dispatched(address(0)) + dispatched(address(1)) >= 11);
}

TEST_CASE_FIXTURE(DraftsFixture, "the server that a prompt was sent to is remembered as the holder of its blocks")
{
    const std::string prompt(4096, 'x');
    draft(prompt);
    REQUIRE(backendServers.open.size() == 1);
    const size_t chosen = dispatched(address(0)) ? 0 : dispatched(address(1)) ? 1
                                                                              : 2;
    const auto request = makeModelRequest(draftBody(prompt), pool);
    REQUIRE_FALSE(request->blocks.empty());
    const CachedPrefixes::Entry* entry = findCached(pool->view.cachedPrefixes, request->blocks.back());
    REQUIRE(entry);
    CHECK(entry->holders[0].serverNameHash == pool->view.servers[chosen].nameHash);
}

TEST_CASE_FIXTURE(DraftsFixture, "the service file's target and instruction tokens reach the choice of a backend server")
{
    CHECK(pool->routing.firstTokenTarget == 900ms);
    CHECK(pool->routing.instructionTokens == 128);
}

TEST_CASE_FIXTURE(DraftsFixture, "after a silent connection the next attempt takes a connection of its own")
{
    draft("prompt");
    CHECK_FALSE(backendServers.open.front().transfer.freshConnection);
    const std::string first = backendServers.open.front().transfer.url;
    pass(pool->progress.firstToken + 1s);
    REQUIRE(backendServers.open.size() == 1);
    CHECK(backendServers.open.front().transfer.freshConnection);
    CHECK(backendServers.open.front().transfer.url != first);
    CHECK(metrics.metricsText().find(R"(reason="backend_no_progress"} 1)") != std::string::npos);
}

TEST_CASE_FIXTURE(DraftsFixture, "a server that returns gets no herd")
{
    setBackendStatus(pool->view.servers[2], BackendStatus::Gone, context.now);
    setBackendStatus(pool->view.servers[2], BackendStatus::Live, context.now);
    pool->admissionOptions.poolLimit = 30;
    for (int i = 0; i < 30; ++i) {
        draft("prompt " + std::to_string(i));
    }
    CHECK(dispatched(address(0)) + dispatched(address(1)) + dispatched(address(2)) == 30);
    CHECK(dispatched(address(2)) <= 4); // of 16 slots in slow start
}

} // namespace siskinspread
