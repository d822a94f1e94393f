#include "siskinspread/ReportedLoad.h"

#include "siskinspread/ReplicaPlacement.h"

#include <doctest/doctest.h>

#include <limits>
#include <random>

using namespace siskinspread;
using std::chrono::milliseconds;

namespace {

const MonotonicTime start { std::chrono::hours { 1 } };

} // namespace

// Guards against a usual factor that settles at the value of a spell, in which the machine is busy with other work.
TEST_CASE("the usual factor stays at that of a calm machine through short spells")
{
    const WorkFactorOptions options;
    WorkFactorEstimate estimate;
    std::mt19937 random { 7 };
    auto now = start;
    for (int i = 0; i < 400; ++i) {
        now += milliseconds { 100 };
        const bool spell = random() % 100 < 15;
        noteWorkFactor(estimate, options, spell ? 4.0 : 1.6, now);
    }
    CHECK(estimate.usual == doctest::Approx(1.6).epsilon(0.1));
}

// Guards against predictions that go on using a report that is no longer true.
TEST_CASE("a report gives way to the usual factor as it ages")
{
    const WorkFactorOptions options;
    WorkFactorEstimate estimate;
    CHECK(workFactorAt(estimate, options, start) == 1.0);
    noteWorkFactor(estimate, options, 1.0, start);
    noteWorkFactor(estimate, options, 2.5, start + milliseconds { 100 });
    CHECK(workFactorAt(estimate, options, start + milliseconds { 100 }) == doctest::Approx(2.5));
    const double later = workFactorAt(estimate, options, start + milliseconds { 500 });
    CHECK(later < 2.0);
    CHECK(later > 1.0);
    CHECK(workFactorAt(estimate, options, start + milliseconds { 10000 }) == doctest::Approx(estimate.usual));
}

// Guards against reports that no machine can mean: they would send all requests to one replica, or none.
TEST_CASE("a factor out of range is not believed")
{
    const WorkFactorOptions options;
    WorkFactorEstimate estimate;
    for (const double factor : { 0.0, -1.0, 1e9, std::numeric_limits<double>::infinity(), std::numeric_limits<double>::quiet_NaN() }) {
        CAPTURE(factor);
        CHECK_FALSE(noteWorkFactor(estimate, options, factor, start));
        CHECK_FALSE(noteToldWorkFactor(estimate, options, factor));
    }
    CHECK_FALSE(estimate.isKnown);
    CHECK(workFactorAt(estimate, options, start) == 1.0);
}

// Guards against hosts that each have to be slow once at every replica: at 80 hosts and 60 replicas that takes a minute.
TEST_CASE("what another host tells is used until the replica has told it itself")
{
    const WorkFactorOptions options;
    WorkFactorEstimate estimate;
    REQUIRE(noteToldWorkFactor(estimate, options, 0.6));
    CHECK(workFactorAt(estimate, options, start) == doctest::Approx(0.6));
    noteWorkFactor(estimate, options, 1.0, start);
    noteToldWorkFactor(estimate, options, 1.0);
    CHECK(estimate.usual > 0.6);
}

// The load it answers: replicas of one service that read prompts at 0.6 to 1.6 times the usual time.
TEST_CASE("a long prompt goes to the replica that reads it soonest")
{
    const std::vector<PromptPart> prompt { { .id = 1, .tokens = 500 }, { .id = 2, .tokens = 9000 } };
    std::vector<PlacementCandidate> candidates;
    for (const double factor : { 1.6, 0.6, 1.0, 4.0 }) {
        candidates.push_back({ .identity = candidates.size() + 1, .slots = 8, .memoryTokens = 100000, .workFactor = factor });
    }
    const PlacementOptions options;
    for (uint64_t draw = 0; draw < 8; ++draw) {
        const auto placed = placeRequest({ .prompt = prompt, .draw = draw }, candidates, options);
        REQUIRE(placed);
        CHECK(placed->index == 1);
        CHECK(placed->predictedWait == std::chrono::microseconds { static_cast<int64_t>(placed->unreadTokens / options.promptTokensPerMs * 1000.0 * 0.6) });
    }
    // A queue of three times its length there is as long as that of a replica of the usual speed.
    candidates[1].load.unreadTokens = 40000;
    CHECK(placeRequest({ .prompt = prompt, .draw = 0 }, candidates, options)->index == 2);
}
