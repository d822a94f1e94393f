#include "siskinspread/WaitOutlook.h"

#include <doctest/doctest.h>

using namespace siskinspread;
using std::chrono::milliseconds;

TEST_CASE("a request waits while a replica may take it in time")
{
    CHECK(judgeWait({ .replicas = 3, .accepting = 1, .patienceLeft = milliseconds { 0 } }) == WaitVerdict::Wait);
    CHECK(judgeWait({ .replicas = 2, .accepting = 0, .pauseEndsIn = milliseconds { 150 }, .patienceLeft = milliseconds { 150 } }) == WaitVerdict::Wait);
}

TEST_CASE("a request that no replica can take in time is told so at once")
{
    CHECK(judgeWait({ .replicas = 0, .patienceLeft = milliseconds { 500 } }) == WaitVerdict::NoReplica);
    CHECK(judgeWait({ .replicas = 2, .accepting = 0, .pauseEndsIn = milliseconds { 151 }, .patienceLeft = milliseconds { 150 } }) == WaitVerdict::AllPaused);
    CHECK(judgeWait({ .replicas = 2, .accepting = 0, .pauseEndsIn = milliseconds { 1 }, .patienceLeft = milliseconds { -20 } }) == WaitVerdict::AllPaused);
}

TEST_CASE("a request waits for its host's shares of limits unless the requests ahead use them up")
{
    CHECK(judgeWait({ .replicas = 2, .limited = 2, .limitedCalls = 2, .ahead = 1, .patienceLeft = milliseconds { 500 } }) == WaitVerdict::Wait);
    CHECK(judgeWait({ .replicas = 2, .limited = 2, .limitedCalls = 2, .ahead = 2, .patienceLeft = milliseconds { 500 } }) == WaitVerdict::OverLimit);
    CHECK(judgeWait({ .replicas = 2, .limited = 2, .patienceLeft = milliseconds { 500 } }) == WaitVerdict::OverLimit);
    CHECK(judgeWait({ .replicas = 2, .accepting = 1, .limited = 1, .ahead = 9, .patienceLeft = milliseconds { 500 } }) == WaitVerdict::Wait);
    CHECK(judgeWait({ .replicas = 2, .pauseEndsIn = milliseconds { 100 }, .limited = 1, .patienceLeft = milliseconds { 500 } }) == WaitVerdict::Wait);
    CHECK(judgeWait({ .replicas = 2, .pauseEndsIn = milliseconds { 900 }, .limited = 1, .patienceLeft = milliseconds { 500 } }) == WaitVerdict::OverLimit);
}
