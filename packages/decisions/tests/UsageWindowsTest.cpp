#include "siskinspread/UsageWindows.h"

#include <doctest/doctest.h>

using namespace siskinspread;
using std::chrono::milliseconds;

TEST_CASE("requests count in the window of their start, and windows begin at multiples of their length")
{
    UsageWindows usage { .length = milliseconds { 5000 } };
    const WallTime begin { milliseconds { 5000 * 1000 } };
    countUsage(usage, "a", begin - milliseconds { 1 });
    countUsage(usage, "a", begin);
    countUsage(usage, "b", begin + milliseconds { 4999 });
    CHECK(usage.windows.at(999) == WindowCounts { { "a", 1 } });
    CHECK(usage.windows.at(1000) == WindowCounts { { "a", 1 }, { "b", 1 } });
    forgetUsage(usage, 1000);
    CHECK(usage.windows.size() == 1);
}

TEST_CASE("counts of hosts add up, two reports of one host do not")
{
    WindowCounts sum;
    addCounts(sum, { { "a", 2 } });
    addCounts(sum, { { "a", 3 }, { "b", 1 } });
    CHECK(sum == WindowCounts { { "a", 5 }, { "b", 1 } });
    WindowCounts known { { "a", 4 } };
    mergeCounts(known, { { "a", 3 }, { "b", 2 } });
    CHECK(known == WindowCounts { { "a", 4 }, { "b", 2 } });
}
