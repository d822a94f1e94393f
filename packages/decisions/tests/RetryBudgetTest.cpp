#include "siskinspread/RetryBudget.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

namespace siskinspread {

namespace {

    using namespace std::chrono_literals;

    constexpr MonotonicTime start { 1h };

} // namespace

TEST_CASE("retries never exceed the ratio of the requests plus the reserves, for a customer and for the pool")
{
    CHECK(rc::check([] {
        RetryBudget budget;
        std::map<std::string, double> requests;
        std::map<std::string, double> retries;
        MonotonicTime now = start;
        for (int step = *rc::gen::inRange(1, 300); step > 0; --step) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 500));
            const std::string customer = *rc::gen::element<std::string>("a", "b", "c");
            if (*rc::gen::inRange(0, 3) == 0) {
                depositRetryTokens(budget, customer, now);
                requests[customer] += 1;
                requests["pool"] += 1;
            } else if (withdrawRetryToken(budget, customer, now)) {
                retries[customer] += 1;
                retries["pool"] += 1;
            }
        }
        const double seconds = std::chrono::duration<double>(now - start).count();
        for (const auto& [name, count] : retries) {
            const RetryBudgetOptions& options = name == "pool" ? budget.poolOptions : budget.customerOptions;
            RC_ASSERT(count <= options.reserve + options.ratio * requests[name] + options.reservePerSecond * seconds + 1e-6);
        }
    }));
}

TEST_CASE("one customer's failures leave the retries of another alone")
{
    RetryBudget budget;
    while (withdrawRetryToken(budget, "failing", start)) { }
    CHECK(withdrawRetryToken(budget, "other", start));
    CHECK(timeToRetryToken(budget, "failing", start) == 10s);
    CHECK_FALSE(withdrawRetryToken(budget, "failing", start + 9900ms));
    CHECK(withdrawRetryToken(budget, "failing", start + 10s));
}

TEST_CASE("retry delays grow up to their bound, differ by seed and repeat for a seed")
{
    const RetryDelayOptions options { .first = 20ms, .longest = 100ms };
    std::map<int64_t, int> seen;
    for (uint64_t seed = 0; seed < 200; ++seed) {
        CHECK(retryDelay(options, 1, seed) <= 20ms);
        CHECK(retryDelay(options, 3, seed) <= 80ms);
        CHECK(retryDelay(options, 30, seed) <= 100ms);
        CHECK(retryDelay(options, 3, seed) == retryDelay(options, 3, seed));
        ++seen[retryDelay(options, 30, seed).count()];
    }
    CHECK(seen.size() > 50);
}

} // namespace siskinspread
