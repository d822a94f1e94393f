#pragma once

#include "siskinspread/Time.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace siskinspread {

/**
 * Constants of the retry budgets: retries and hedges stay below `ratio` of the first attempts plus a small reserve
 * (the retry budget of "Site Reliability Engineering", chapter "Handling Overload", as a token bucket).
 */
struct RetryBudgetOptions {
    double ratio { 0.1 }; /**< Tokens that each first attempt deposits. */
    double capacity { 20 }; /**< Tokens held at most. */
    double reserve { 3 }; /**< Tokens at the beginning, so that a quiet customer may retry at all. */
    double reservePerSecond { 0.1 }; /**< Tokens that time alone adds, up to `reserve`. */
};

/** One token bucket. */
struct RetryTokens {
    double tokens { 0 };
    MonotonicTime refilledAt;
};

/** Budgets of one pool: its own and one for each customer. Plain data: the owner serialises access. */
struct RetryBudget {
    RetryBudgetOptions poolOptions { .ratio = 0.1, .capacity = 50, .reserve = 10, .reservePerSecond = 0.5 };
    RetryBudgetOptions customerOptions;
    bool started { false };
    RetryTokens pool;
    std::unordered_map<std::string, RetryTokens> customers;
};

/** Deposits for a first attempt of the customer. Thread safety: as RetryBudget. */
void depositRetryTokens(RetryBudget& budget, const std::string& customer, MonotonicTime now);

/** Takes one token of the pool and one of the customer, or none. @return whether the retry or hedge may go. */
bool withdrawRetryToken(RetryBudget& budget, const std::string& customer, MonotonicTime now);

/** @return when the customer and the pool will have a token by time alone; for Retry-After. */
std::chrono::milliseconds timeToRetryToken(const RetryBudget& budget, const std::string& customer, MonotonicTime now);

/** Constants of the delay before a retry. */
struct RetryDelayOptions {
    std::chrono::milliseconds first { 20 }; /**< Upper bound before the first retry; doubles with each further one. */
    std::chrono::milliseconds longest { 1000 };
};

/**
 * Exponential delay with full jitter.
 * @param retry 1 for the first retry. @param seed differs from request to request. Reentrant.
 */
std::chrono::milliseconds retryDelay(const RetryDelayOptions& options, uint32_t retry, uint64_t seed);

} // namespace siskinspread
