#include "siskinspread/RetryBudget.h"

#include <algorithm>
#include <random>

namespace siskinspread {

namespace {

    constexpr double oneRetry = 1.0;
    constexpr double rounding = 1e-9; // ten deposits of 0.1 must make one retry

    using Seconds = std::chrono::duration<double>;

    void refill(RetryTokens& tokens, const RetryBudgetOptions& options, MonotonicTime now)
    {
        if (now <= tokens.refilledAt) {
            return;
        }
        const double added = Seconds(now - tokens.refilledAt).count() * options.reservePerSecond;
        if (tokens.tokens < options.reserve) {
            tokens.tokens = std::min(options.reserve, tokens.tokens + added);
        }
        tokens.refilledAt = now;
    }

    void deposit(RetryTokens& tokens, const RetryBudgetOptions& options)
    {
        tokens.tokens = std::min(options.capacity, tokens.tokens + options.ratio);
    }

    bool holdsToken(const RetryTokens& tokens)
    {
        return tokens.tokens + rounding >= oneRetry;
    }

    RetryTokens& customerTokens(RetryBudget& budget, const std::string& customer, MonotonicTime now)
    {
        const RetryTokens full { .tokens = budget.customerOptions.reserve, .refilledAt = now };
        RetryTokens& tokens = budget.customers.try_emplace(customer, full).first->second;
        refill(tokens, budget.customerOptions, now);
        return tokens;
    }

    RetryTokens& poolTokens(RetryBudget& budget, MonotonicTime now)
    {
        if (!budget.started) {
            budget.started = true;
            budget.pool = { .tokens = budget.poolOptions.reserve, .refilledAt = now };
        }
        refill(budget.pool, budget.poolOptions, now);
        return budget.pool;
    }

    Seconds timeToToken(RetryTokens tokens, const RetryBudgetOptions& options, MonotonicTime now)
    {
        refill(tokens, options, now);
        if (holdsToken(tokens)) {
            return Seconds(0);
        }
        if (options.reservePerSecond <= 0 || options.reserve < oneRetry) {
            return Seconds::max();
        }
        return Seconds((oneRetry - tokens.tokens) / options.reservePerSecond);
    }

    constexpr Seconds longestWait { 3600 };

} // namespace

void depositRetryTokens(RetryBudget& budget, const std::string& customer, MonotonicTime now)
{
    deposit(poolTokens(budget, now), budget.poolOptions);
    deposit(customerTokens(budget, customer, now), budget.customerOptions);
}

bool withdrawRetryToken(RetryBudget& budget, const std::string& customer, MonotonicTime now)
{
    RetryTokens& pool = poolTokens(budget, now);
    RetryTokens& own = customerTokens(budget, customer, now);
    if (!holdsToken(pool) || !holdsToken(own)) {
        return false;
    }
    pool.tokens -= oneRetry;
    own.tokens -= oneRetry;
    return true;
}

std::chrono::milliseconds timeToRetryToken(const RetryBudget& budget, const std::string& customer, MonotonicTime now)
{
    Seconds wait = budget.started ? timeToToken(budget.pool, budget.poolOptions, now) : Seconds(0);
    const auto own = budget.customers.find(customer);
    if (own != budget.customers.end()) {
        wait = std::max(wait, timeToToken(own->second, budget.customerOptions, now));
    }
    return std::chrono::ceil<std::chrono::milliseconds>(std::min(wait, longestWait));
}

std::chrono::milliseconds retryDelay(const RetryDelayOptions& options, uint32_t retry, uint64_t seed)
{
    std::chrono::milliseconds bound = std::min(options.first, options.longest);
    for (uint32_t i = 1; i < retry && bound < options.longest; ++i) {
        bound = std::min(bound * 2, options.longest);
    }
    std::mt19937_64 random { seed + retry };
    return std::chrono::milliseconds(static_cast<int64_t>(random() % static_cast<uint64_t>(bound.count() + 1)));
}

} // namespace siskinspread
