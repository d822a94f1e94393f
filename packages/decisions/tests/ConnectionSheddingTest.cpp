#include "siskinspread/ConnectionShedding.h"

#include <doctest/doctest.h>

#include <vector>

using namespace siskinspread;
using std::chrono::milliseconds;

namespace {

const MonotonicTime now { std::chrono::hours { 1 } };

SheddingCandidate candidate(CallerStage stage, int silentMs, size_t held = 0)
{
    return { .stage = stage, .heldBytes = held, .unreservedBytes = held, .lastProgress = now - milliseconds { silentMs } };
}

} // namespace

// Guards against a host that closes the connections of callers it knows while others that never sent a request keep theirs.
TEST_CASE("for a new connection, one that never sent a request is closed first, the longest silent of them")
{
    const std::vector<SheddingCandidate> candidates { candidate(CallerStage::Idle, 9000), candidate(CallerStage::NoRequestYet, 100), candidate(CallerStage::NoRequestYet, 400), candidate(CallerStage::InProgress, 60000) };
    CHECK(shedForConnection(candidates) == 2);
    CHECK(shedForConnection(std::vector { candidates[0], candidates[3] }) == 0);
}

TEST_CASE("a request in progress is never given up for others")
{
    const std::vector<SheddingCandidate> candidates { candidate(CallerStage::InProgress, 60000, 1000000) };
    CHECK_FALSE(shedForConnection(candidates));
    CHECK_FALSE(shedForMemory(candidates));
    CHECK_FALSE(shedForLargeBody(candidates, {}, now));
}

// Guards against a slow caller that sends honestly and is closed before those that have stopped.
TEST_CASE("a caller that goes on sending keeps the memory of its body")
{
    const std::vector<SheddingCandidate> candidates { candidate(CallerStage::ReadingRequest, 500, 4000000), candidate(CallerStage::ReadingRequest, 2500, 4000000), candidate(CallerStage::ReadingRequest, 3000, 4000000), candidate(CallerStage::WaitingForMemory, 5000, 65536) };
    CHECK(shedForLargeBody(candidates, {}, now) == 2);
    CHECK_FALSE(shedForLargeBody(std::vector { candidates[0], candidates[3] }, {}, now));
}

TEST_CASE("for memory, only a connection that holds some outside a reservation is closed")
{
    std::vector<SheddingCandidate> candidates { candidate(CallerStage::Idle, 9000), candidate(CallerStage::ReadingRequest, 5000, 4000000), candidate(CallerStage::WritingAnswer, 3000, 200000) };
    candidates[1].unreservedBytes = 0;
    CHECK(shedForMemory(candidates) == 2);
}
