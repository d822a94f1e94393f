#include "siskinspread/AttemptPlan.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace siskinspread {

namespace {

    using namespace std::chrono_literals;

    constexpr MonotonicTime now { 1h };

    EndedAttempt arbitraryAttempt()
    {
        return {
            .end = *rc::gen::element(AttemptEnd::ConnectFailed, AttemptEnd::RefusedNotRun, AttemptEnd::StreamBroken, AttemptEnd::NoProgress, AttemptEnd::ErrorStatus, AttemptEnd::RequestRejected, AttemptEnd::ServerLeaving),
            .customer = *rc::gen::element<std::string>("small", "large"),
            .repeatable = *rc::gen::arbitrary<bool>(),
            .resumable = *rc::gen::arbitrary<bool>(),
            .attempts = *rc::gen::inRange<uint32_t>(1, 5),
            .promptTokens = *rc::gen::inRange<uint32_t>(0, 1000),
            .tokensSent = *rc::gen::element<uint32_t>(0, 0, 7),
            .cacheExported = *rc::gen::arbitrary<bool>(),
            .earlierRunState = *rc::gen::element(RunState::NotRun, RunState::MayHaveRun),
            .deadline = now + std::chrono::milliseconds(*rc::gen::inRange(-100, 5000)),
            .seed = *rc::gen::arbitrary<uint64_t>(),
        };
    }

    bool isProvablyNotRun(const EndedAttempt& attempt)
    {
        const bool thisOne = attempt.end == AttemptEnd::ConnectFailed || attempt.end == AttemptEnd::RefusedNotRun;
        return thisOne && attempt.earlierRunState == RunState::NotRun;
    }

} // namespace

TEST_CASE("a request that may have run and may not be repeated is never tried again; the rest keeps every rule")
{
    CHECK(rc::check([] {
        const EndedAttempt attempt = arbitraryAttempt();
        const AttemptOptions options;
        RetryBudget budget;
        const AttemptPlan plan = planAfterAttempt(attempt, options, budget, now);
        if (const auto* answer = std::get_if<FinalAnswer>(&plan)) {
            RC_ASSERT(answer->retryAfter.has_value() == resultInfo(answer->code).retryable);
            RC_ASSERT(!answer->retryAfter || *answer->retryAfter > 0ms);
            RC_ASSERT((answer->runState == RunState::NotRun) == isProvablyNotRun(attempt));
            RC_ASSERT(!resultInfo(answer->code).retryable || attempt.repeatable || answer->runState == RunState::NotRun);
            return;
        }
        const auto* retry = std::get_if<RetryElsewhere>(&plan);
        const auto after = retry != nullptr ? retry->after : std::get<ContinueElsewhere>(plan).after;
        RC_ASSERT(attempt.repeatable || isProvablyNotRun(attempt));
        RC_ASSERT(attempt.end != AttemptEnd::RequestRejected);
        RC_ASSERT(attempt.attempts < options.maximumAttempts || attempt.end == AttemptEnd::ServerLeaving);
        RC_ASSERT(now + after + options.leastUsefulTime <= attempt.deadline);
        RC_ASSERT((retry == nullptr) == (attempt.tokensSent > 0));
        if (retry == nullptr) {
            const auto& next = std::get<ContinueElsewhere>(plan);
            RC_ASSERT(attempt.resumable);
            RC_ASSERT(next.fromToken == attempt.tokensSent);
            RC_ASSERT(next.recomputedTokens == (attempt.cacheExported ? 0 : attempt.promptTokens + attempt.tokensSent));
        }
    }));
}

TEST_CASE("a spent budget answers at once with when to come back")
{
    RetryBudget budget;
    budget.customerOptions = { .ratio = 0.1, .capacity = 5, .reserve = 1, .reservePerSecond = 0.1 };
    const EndedAttempt attempt { .end = AttemptEnd::ConnectFailed, .customer = "c", .deadline = now + 10s };
    CHECK(std::holds_alternative<RetryElsewhere>(planAfterAttempt(attempt, {}, budget, now)));
    const AttemptPlan plan = planAfterAttempt(attempt, {}, budget, now);
    const auto& answer = std::get<FinalAnswer>(plan);
    CHECK(answer.code == ResultCode::RetryBudgetSpent);
    CHECK(answer.runState == RunState::NotRun);
    CHECK(answer.retryAfter == 10s);
    CHECK(answer.attemptCode == ResultCode::BackendConnectFailed);
}

TEST_CASE("a hedge needs a repeatable request, the delay, time to the deadline and a token")
{
    RetryBudget budget;
    budget.customerOptions.reserve = 1;
    const QuietAttempt attempt { .customer = "c", .repeatable = true, .dispatchedAt = now, .deadline = now + 5s };
    QuietAttempt order = attempt;
    order.repeatable = false;
    CHECK_FALSE(planHedge(order, 500ms, {}, budget, now + 1s));
    CHECK_FALSE(planHedge(attempt, 500ms, {}, budget, now + 499ms));
    CHECK_FALSE(planHedge(attempt, 500ms, {}, budget, now + 4900ms));
    CHECK(planHedge(attempt, 500ms, {}, budget, now + 500ms));
    CHECK_FALSE(planHedge(attempt, 500ms, {}, budget, now + 500ms)); // the token is spent
}

TEST_CASE("streams on a reclaimed server end in time, or move before its end, spread over the warning")
{
    const MonotonicTime end = now + 6s;
    CHECK_FALSE(planReclaimMove({ .movable = true, .tokensLeft = 100, .tokensHeld = 3000, .seed = 1 }, end, {}, now));
    CHECK_FALSE(planReclaimMove({ .movable = false, .tokensLeft = 1000, .tokensHeld = 3000, .seed = 1 }, end, {}, now));
    int early = 0;
    for (uint64_t seed = 0; seed < 100; ++seed) {
        const auto move = planReclaimMove({ .movable = true, .tokensLeft = 1000, .tokensHeld = 3000, .seed = seed }, end, {}, now);
        REQUIRE(move);
        CHECK(move->exportCache);
        CHECK(move->after < 5500ms);
        early += move->after < 2750ms ? 1 : 0;
    }
    CHECK(early > 30);
    CHECK(early < 70);
    const auto late = planReclaimMove({ .movable = true, .tokensLeft = 1000, .tokensHeld = 90000, .seed = 1 }, now + 800ms, {}, now);
    REQUIRE(late);
    CHECK_FALSE(late->exportCache);
}

} // namespace siskinspread
