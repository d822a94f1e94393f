#include "siskinspread/AttemptPlan.h"

#include <algorithm>
#include <random>

namespace siskinspread {

namespace {

    std::chrono::milliseconds boundedRetryAfter(std::chrono::milliseconds wished, const AttemptOptions& options)
    {
        return std::clamp(wished, options.defaultRetryAfter, options.longestRetryAfter);
    }

    FinalAnswer finalAnswer(const EndedAttempt& attempt, const AttemptOptions& options, ResultCode code, std::chrono::milliseconds wait)
    {
        FinalAnswer answer { .code = code, .runState = runStateAfter(attempt), .attemptCode = attemptResult(attempt.end) };
        if (resultInfo(code).retryable) {
            const auto asked = attempt.serverRetryAfter.value_or(std::chrono::milliseconds(0));
            answer.retryAfter = boundedRetryAfter(std::max(wait, asked), options);
        }
        return answer;
    }

    /** A request that may have run and may not be repeated has no other attempt and nothing to come back for. */
    ResultCode giveUpCode(const EndedAttempt& attempt)
    {
        const bool unknown = runStateAfter(attempt) != RunState::NotRun;
        return unknown && !attempt.repeatable ? ResultCode::OutcomeUnknown : attemptResult(attempt.end);
    }

    bool mayRunAgain(const EndedAttempt& attempt)
    {
        return attempt.end != AttemptEnd::RequestRejected && (attempt.repeatable || runStateAfter(attempt) == RunState::NotRun);
    }

    bool needsContinuation(const EndedAttempt& attempt)
    {
        return attempt.tokensSent > 0;
    }

    AttemptPlan nextAttempt(const EndedAttempt& attempt, std::chrono::milliseconds after)
    {
        if (!needsContinuation(attempt)) {
            return RetryElsewhere { .after = after };
        }
        return ContinueElsewhere {
            .after = after,
            .fromToken = attempt.tokensSent,
            .recomputedTokens = attempt.cacheExported ? 0 : attempt.promptTokens + attempt.tokensSent,
            .importCache = attempt.cacheExported,
        };
    }

    std::chrono::milliseconds delayBefore(const EndedAttempt& attempt, const AttemptOptions& options)
    {
        // A planned move is no sign of overload, so it goes at once.
        if (attempt.end == AttemptEnd::ServerLeaving) {
            return std::chrono::milliseconds(0);
        }
        return retryDelay(options.delay, attempt.attempts, attempt.seed);
    }

} // namespace

ResultCode attemptResult(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::ConnectFailed:
        return ResultCode::BackendConnectFailed;
    case AttemptEnd::RefusedNotRun:
        return ResultCode::BackendRefused;
    case AttemptEnd::NoProgress:
        return ResultCode::BackendNoProgress;
    case AttemptEnd::ErrorStatus:
        return ResultCode::BackendError;
    case AttemptEnd::RequestRejected:
        return ResultCode::BackendRejected;
    case AttemptEnd::StreamBroken:
    case AttemptEnd::ServerLeaving:
        break;
    }
    return ResultCode::BackendStreamBroken;
}

RunState runStateAfter(const EndedAttempt& attempt)
{
    const bool provablyNotRun = attempt.end == AttemptEnd::ConnectFailed || attempt.end == AttemptEnd::RefusedNotRun;
    return provablyNotRun ? attempt.earlierRunState : RunState::MayHaveRun;
}

AttemptPlan planAfterAttempt(const EndedAttempt& attempt, const AttemptOptions& options, RetryBudget& budget, MonotonicTime now)
{
    constexpr std::chrono::milliseconds noWait { 0 };
    const ResultCode giveUp = giveUpCode(attempt);
    if (!mayRunAgain(attempt) || (needsContinuation(attempt) && !attempt.resumable)) {
        return finalAnswer(attempt, options, giveUp, noWait);
    }
    const std::chrono::milliseconds after = delayBefore(attempt, options);
    if (now + after + options.leastUsefulTime > attempt.deadline) {
        return finalAnswer(attempt, options, giveUp, noWait);
    }
    if (attempt.end == AttemptEnd::ServerLeaving) {
        return nextAttempt(attempt, after);
    }
    if (attempt.attempts >= options.maximumAttempts) {
        return finalAnswer(attempt, options, giveUp, noWait);
    }
    if (!withdrawRetryToken(budget, attempt.customer, now)) {
        return finalAnswer(attempt, options, ResultCode::RetryBudgetSpent, timeToRetryToken(budget, attempt.customer, now));
    }
    return nextAttempt(attempt, after);
}

bool planHedge(const QuietAttempt& attempt, std::chrono::milliseconds hedgeAfter, const AttemptOptions& options, RetryBudget& budget, MonotonicTime now)
{
    if (!attempt.repeatable || attempt.attempts >= options.maximumAttempts) {
        return false;
    }
    if (now - attempt.dispatchedAt < hedgeAfter || now + options.leastUsefulTime > attempt.deadline) {
        return false;
    }
    return withdrawRetryToken(budget, attempt.customer, now);
}

std::optional<ReclaimMove> planReclaimMove(const ReclaimedStream& stream, MonotonicTime reclaimAt, const ReclaimOptions& options, MonotonicTime now)
{
    const MonotonicTime lastMove = reclaimAt - options.margin;
    const MonotonicTime expectedEnd = now + options.expectedBetweenTokens * stream.tokensLeft;
    if (!stream.movable || expectedEnd <= lastMove) {
        return std::nullopt;
    }
    const std::chrono::duration<double> exportTime { stream.tokensHeld / options.exportTokensPerSecond };
    const auto window = std::chrono::duration_cast<std::chrono::milliseconds>(lastMove - now - exportTime);
    if (window.count() <= 0) {
        return ReclaimMove { .after = std::chrono::milliseconds(0), .exportCache = false };
    }
    std::mt19937_64 random { stream.seed };
    const auto after = static_cast<int64_t>(random() % static_cast<uint64_t>(window.count()));
    return ReclaimMove { .after = std::chrono::milliseconds(after), .exportCache = true };
}

} // namespace siskinspread
