#include "siskinspread/RunMove.h"

#include <doctest/doctest.h>

using namespace siskinspread;
using std::chrono::milliseconds;

namespace {

constexpr MonotonicTime start {};
constexpr RunMoveOptions options {};

RunMove ordered(std::optional<StopOrderEnd> end = {})
{
    RunMove move;
    noteOrderSent(move);
    if (end) {
        noteOrderEnded(move, *end, start);
    }
    return move;
}

RunMoveStep stepAfter(RunMove move, AnswerEnd end, milliseconds later = milliseconds { 0 })
{
    noteAnswerEnded(move, end, start);
    return nextStep(move, options, start + later);
}

} // namespace

TEST_CASE("an answer whose end is marked is whole, whatever became of orders that stopped nothing")
{
    CHECK(stepAfter(ordered(), AnswerEnd::Marked) == RunMoveStep::Complete);
    CHECK(stepAfter(ordered(StopOrderEnd::Refused), AnswerEnd::Marked) == RunMoveStep::Complete);
    CHECK(stepAfter(ordered(StopOrderEnd::Unknown), AnswerEnd::Marked) == RunMoveStep::Complete);
}

TEST_CASE("an answer that ends with its connection is whole only if no order can have stopped the run")
{
    CHECK(stepAfter(ordered(StopOrderEnd::Refused), AnswerEnd::Closed) == RunMoveStep::Complete);
    CHECK(stepAfter(ordered(StopOrderEnd::Unknown), AnswerEnd::Closed) == RunMoveStep::Fail);
    auto once = ordered(StopOrderEnd::Unknown);
    noteOrderSent(once);
    noteOrderEnded(once, StopOrderEnd::Refused, start);
    CHECK(stepAfter(once, AnswerEnd::Closed) == RunMoveStep::Fail); // the second order refused says nothing of the first
}

TEST_CASE("an open order is waited for when the answer has ended, for as long as callers wait")
{
    for (const auto end : { AnswerEnd::Closed, AnswerEnd::Broken }) {
        CHECK(stepAfter(ordered(), end) == RunMoveStep::Wait);
        CHECK(stepAfter(ordered(), end, options.orderPatience) == RunMoveStep::Wait);
        CHECK(stepAfter(ordered(), end, options.orderPatience + milliseconds { 1 }) == RunMoveStep::Fail);
    }
}

TEST_CASE("a run that was stopped goes on once its answer has ended, or has had the time to")
{
    for (const auto end : { AnswerEnd::Marked, AnswerEnd::Closed, AnswerEnd::Broken }) {
        CHECK(stepAfter(ordered(StopOrderEnd::Stopped), end) == RunMoveStep::Continue);
    }
    const auto stopped = ordered(StopOrderEnd::Stopped);
    CHECK(nextStep(stopped, options, start + options.closingTime) == RunMoveStep::Wait);
    CHECK(nextStep(stopped, options, start + options.closingTime + milliseconds { 1 }) == RunMoveStep::Continue);
}

TEST_CASE("a broken answer of a run that was not stopped fails")
{
    CHECK(stepAfter(ordered(StopOrderEnd::Refused), AnswerEnd::Broken) == RunMoveStep::Fail);
    CHECK(stepAfter(ordered(StopOrderEnd::Unknown), AnswerEnd::Broken) == RunMoveStep::Fail);
}

TEST_CASE("only orders that are open, carried out or without an answer bear on the end of an answer")
{
    CHECK_FALSE(dependsOnOrders({}));
    CHECK(dependsOnOrders(ordered()));
    CHECK(dependsOnOrders(ordered(StopOrderEnd::Stopped)));
    CHECK(dependsOnOrders(ordered(StopOrderEnd::Unknown)));
    CHECK_FALSE(dependsOnOrders(ordered(StopOrderEnd::Refused)));
}
