#include "RequestFixture.h"

#include <doctest/doctest.h>

#include <set>

namespace siskinspread {

namespace {

    using namespace std::chrono_literals;

    constexpr uint32_t poolLimit = 10;

    struct NarrowLedger : RequestFixture {
        NarrowLedger() { pool->admissionOptions.poolLimit = poolLimit; }

        void holdMany(const std::string& customer, int count)
        {
            for (int i = 0; i < count; ++i) {
                hold(customer, customer + "-" + std::to_string(i));
            }
        }

        std::shared_ptr<ServicePool> pool { pools.find("ledger") };
    };

    std::string runStateOf(const ServerCommand& command)
    {
        const auto* response = std::get_if<RespondWhole>(&command);
        return response ? std::string { findHeader(response->headers, header::runState).value_or("") } : "";
    }

} // namespace

TEST_CASE_FIXTURE(NarrowLedger, "a burst of one customer's holds leaves room for another's, and what is refused never ran")
{
    hold("small", "early"); // the small customer is known, so that its share is kept
    pass(50ms);
    answer(*backendServers.take("early"), 200, "{}");
    pass(50ms);
    REQUIRE(answers.size() == 1);

    holdMany("large", 100);
    pass(50ms);
    CHECK(dispatched("large-") == 8); // but for the reserve
    hold("small", "late");
    pass(50ms);
    CHECK(dispatched("late") == 1);

    pass(2s); // nothing ends, so all others are refused at their latest start
    REQUIRE(answers.size() == 93);
    std::set<RequestId> refused;
    for (const AnswerRequest& answer : std::span { answers }.subspan(1)) {
        CHECK(answer.runState == RunState::NotRun);
        CHECK(answer.retryAfter.value_or(0ms) > 0ms);
        CHECK((answer.result == ResultCode::LoadShed || answer.result == ResultCode::PoolFull));
        refused.insert(answer.request);
    }
    CHECK(refused.size() == 92);
    CHECK(desk.openCount() == 9); // only those have an intent
    CHECK(dispatched("large-") == 8);
}

TEST_CASE_FIXTURE(NarrowLedger, "calls that may be repeated and calls that may not are held against the same limit")
{
    hold("large", "dolly");
    for (uint32_t i = 0; i < poolLimit; ++i) {
        readStock("large");
    }
    hold("large", "crane");
    pass(100ms);
    CHECK(dispatched("dolly") == 1);
    CHECK(dispatched("stock") == poolLimit - 1);
    answer(*backendServers.take("dolly"), 200, "{}");
    pass(100ms);
    CHECK(dispatched("stock") == poolLimit);
    CHECK(dispatched("crane") == 0);
    answer(*backendServers.take("stock"), 200, "{}");
    pass(100ms);
    CHECK(dispatched("crane") == 1);
}

TEST_CASE_FIXTURE(NarrowLedger, "a second try with a known key needs no place in a full pool")
{
    hold("large", "dolly");
    pass(50ms);
    answer(*backendServers.take("dolly"), 200, "{}");
    pass(50ms);
    pool->admissionOptions.poolLimit = 1;
    holdMany("large", 2);
    hold("large", "dolly");
    CHECK(answers.back().result == ResultCode::Ok);
    CHECK(answers.back().repeatOf == answers.front().request);
}

TEST_CASE_FIXTURE(NarrowLedger, "a call that outlives its answer keeps its place until it ends, and its server's load is then lower")
{
    hold("large", "dolly", 100ms);
    pass(200ms);
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].result == ResultCode::KeyInProgress);
    CHECK(pool->admission.inFlight == 1);
    answer(*backendServers.take("dolly"), 200, "{}");
    pass(50ms);
    CHECK(pool->admission.inFlight == 0);
    CHECK(pool->view.servers[0].ownInFlight == 0);
}

TEST_CASE_FIXTURE(NarrowLedger, "a planned stop refuses the holds that wait")
{
    holdMany("large", poolLimit + 2);
    pass(50ms);
    CHECK(desk.openCount() == poolLimit + 2);
    desk.expireAll();
    REQUIRE(answers.size() == poolLimit + 2);
    CHECK(std::ranges::count(answers, ResultCode::Draining, &AnswerRequest::result) == 2);
    CHECK(std::ranges::count(answers, RunState::NotRun, &AnswerRequest::runState) == 2);
}

TEST_CASE_FIXTURE(NarrowLedger, "a request that waits is refused at its latest start with when to come back, and not before")
{
    for (uint32_t i = 0; i <= poolLimit; ++i) {
        readStock("large");
    }
    pass(pool->admissionOptions.longestWait - 10ms);
    CHECK(callers.commands.empty());
    pass(10ms);
    REQUIRE(callers.commands.size() == 1);
    const auto& refusal = std::get<RespondWhole>(callers.commands[0]);
    CHECK(findHeader(refusal.headers, header::resultCode) == std::to_string(static_cast<int>(ResultCode::PoolFull)));
    CHECK(findHeader(refusal.headers, "Retry-After"));
    CHECK(runStateOf(callers.commands[0]) == "not_run");
}

TEST_CASE_FIXTURE(RequestFixture, "a request that ran at another host is not called not run when this one has no place for it")
{
    pools.find("drafts")->admissionOptions.queueLimit = 0;
    pools.find("drafts")->admissionOptions.poolLimit = 1;
    draft("first");
    LastReason reason;
    const auto id = models.takeOver({ .from = { .incarnation = { "b.1" }, .sequence = 1 }, .customer = "large", .body = draftBody("second"), .timeLeft = 20s, .runState = RunState::MayHaveRun }, 100, reason);
    REQUIRE(id);
    models.attach(*id, { .customer = "large" }, callers, ++lastExchange);
    REQUIRE_FALSE(callers.commands.empty());
    CHECK(runStateOf(callers.commands.back()) == "may_have_run");
}

TEST_CASE_FIXTURE(NarrowLedger, "a hold that was not run is given up with its reason when no retry is left in the budget")
{
    upsertBackendServer(pool->view, { .name = "ledger-1", .failureDomain = "one" });
    setBackendStatus(pool->view.servers[1], BackendStatus::Live, context.now - 1h);
    pool->addresses.emplace("ledger-1", "10.0.0.1:8001");
    pool->retries.customerOptions.reserve = 0;
    hold("large", "dolly");
    pass(50ms);
    answer(*backendServers.take("dolly"), 503, "{}", { { .name = header::notRun, .value = "true" } });
    pass(50ms);
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].result == ResultCode::RetryBudgetSpent);
    CHECK(answers[0].runState == RunState::NotRun);
    CHECK(answers[0].retryAfter.value_or(0ms) > 0ms);
}

TEST_CASE_FIXTURE(NarrowLedger, "a plain call without an answer in time counts as without progress")
{
    readStock("large");
    const auto silent = backendServers.take("stock");
    pass(pool->progress.firstToken);
    loseAnswer(*silent);
    CHECK(metrics.metricsText().find(R"(reason="backend_no_progress"} 1)") != std::string::npos);
}

} // namespace siskinspread
