#include "siskinspread/DrainPlan.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace siskinspread {

namespace {

    using namespace std::chrono_literals;

    constexpr MonotonicTime start { 1h };
    constexpr DrainOptions options { .grace = 20s, .closingMargin = 3s };

} // namespace

TEST_CASE("asked twice, a stop keeps its first grace")
{
    DrainPlan plan;
    CHECK_FALSE(isGraceOver(plan, start));
    CHECK(planStop(plan, options, start));
    CHECK_FALSE(planStop(plan, options, start + 5s));
    CHECK(graceLeft(plan, start + 5s) == 15s);
    CHECK_FALSE(isGraceOver(plan, start + 20s - 1ms));
    CHECK(isGraceOver(plan, start + 20s));
}

TEST_CASE("a notice gives its whole time but the margin, and half of a short one")
{
    DrainPlan longNotice;
    CHECK(planReclaim(longNotice, options, start + 120s, start));
    CHECK(graceLeft(longNotice, start) == 117s);
    DrainPlan shortNotice;
    CHECK(planReclaim(shortNotice, options, start + 2s, start));
    CHECK(graceLeft(shortNotice, start) == 1s);
    DrainPlan lateNotice;
    CHECK(planReclaim(lateNotice, options, start - 1s, start));
    CHECK(isGraceOver(lateNotice, start));
}

TEST_CASE("a second, shorter notice shortens the grace and a longer one does not lengthen it")
{
    DrainPlan plan;
    planReclaim(plan, options, start + 60s, start);
    CHECK(planReclaim(plan, options, start + 10s, start + 1s));
    CHECK(plan.graceEnds == start + 7s);
    CHECK_FALSE(planReclaim(plan, options, start + 90s, start + 2s));
    CHECK_FALSE(planStop(plan, options, start + 2s));
    CHECK(plan.graceEnds == start + 7s);
    CHECK(plan.hostEnds == start + 10s);
}

TEST_CASE("whatever is told in whatever order, the grace never moves later and ends before the host does")
{
    CHECK(rc::check([] {
        DrainPlan plan;
        MonotonicTime now = start;
        MonotonicTime earliestEnd = MonotonicTime::max();
        for (int step = *rc::gen::inRange(1, 30); step > 0; --step) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 5000));
            const DrainPlan before = plan;
            if (*rc::gen::arbitrary<bool>()) {
                planStop(plan, options, now);
                RC_ASSERT(*plan.graceEnds <= now + options.grace);
            } else {
                const MonotonicTime hostEnds = now + std::chrono::milliseconds(*rc::gen::inRange(-2000, 130000));
                planReclaim(plan, options, hostEnds, now);
                earliestEnd = std::min(earliestEnd, std::max(hostEnds, now));
                const bool leavesHalf = *plan.graceEnds >= std::min(before.graceEnds.value_or(MonotonicTime::max()), now + (std::max(hostEnds, now) - now) / 2);
                RC_ASSERT(leavesHalf);
            }
            RC_ASSERT(!before.graceEnds || *plan.graceEnds <= *before.graceEnds);
            RC_ASSERT(*plan.graceEnds <= earliestEnd);
        }
    }));
}

TEST_CASE("handing over takes its usual limit, and at most half of the time to a noticed end")
{
    DrainPlan plan;
    planStop(plan, options, start);
    CHECK(handoverTime(plan, options, start + 1h) == options.handover);
    planReclaim(plan, options, start + 60s, start);
    CHECK(handoverTime(plan, options, start + 30s) == options.handover);
    CHECK(handoverTime(plan, options, start + 57s) == 1500ms);
    CHECK(handoverTime(plan, options, start + 61s) == 0ms);
}

TEST_CASE("copies are handed over soon after the grace of a notice, and when the store had its time without one")
{
    DrainPlan plan;
    planStop(plan, options, start);
    CHECK(copiesHandOver(plan, start) == start + 2500ms);
    planReclaim(plan, options, start + 60s, start);
    CHECK(copiesHandOver(plan, start) == *plan.graceEnds + 1s);
    planReclaim(plan, options, start + 2s, start);
    CHECK(copiesHandOver(plan, start) == start + 1250ms);
    CHECK(copiesHandOver(plan, start + 1500ms) == start + 1500ms);
}

TEST_CASE("the time left of a notice is never more than its lead, whatever the clocks say")
{
    const WallTime given { 1000000s };
    const ReclaimNotice notice { .sequence = 1, .host = "a", .at = given, .lead = 30s };
    CHECK(timeLeft(notice, given + 2s) == 28s);
    CHECK(timeLeft(notice, given - 3600s) == 30s);
    CHECK(timeLeft(notice, given + 3600s) == 0s);
    CHECK(isAboutEarlierHost(notice, given + 30s));
    CHECK_FALSE(isAboutEarlierHost(notice, given + 29s));
}

} // namespace siskinspread
