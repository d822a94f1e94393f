#include "siskinspread/EngineAdmission.h"
#include "siskinspread/ReplicaPlacement.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <random>

using namespace siskinspread;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

/** An engine that reads prompts in the order of their arrival at one speed; the model of the loads below. */
struct Engine {
    double freeAtMs { 0 };
    std::vector<uint64_t> parts; /**< Computed, the most recent last. */
};

struct Kind {
    uint32_t shared { 0 };
    uint32_t own { 0 };
    double share { 0 };
    double targetMs { 0 };
    double worth { 0 };
    uint32_t urgency { 0 };
};

// The three kinds of the bookings' sheet: prompt tokens, share of the requests, target, worth.
const std::vector<Kind> kinds { { 5382, 6610, 0.31, 1200, 3.9, 1 }, { 198, 628, 0.29, 500, 1.7, 0 }, { 568, 1800, 0.40, 500, 0.43, 2 } };
constexpr double tokensPerMs = 50;
constexpr size_t sessions = 150;

struct Outcome {
    std::vector<double> inTime { 0, 0, 0 };
    std::vector<double> asked { 0, 0, 0 };
    double readAgain { 0 };
    double worth() const
    {
        double earned = 0;
        double owed = 0;
        for (size_t kind = 0; kind < kinds.size(); ++kind) {
            earned += inTime[kind] * kinds[kind].worth;
            owed += asked[kind] * kinds[kind].worth;
        }
        return earned / owed;
    }
};

/** How a load chooses an engine; returns the number of engines to refuse. */
using Choose = std::function<size_t(const std::vector<PromptPart>&, const std::vector<PlacementCandidate>&, uint64_t draw)>;

/** Plays `perSecond` requests for `seconds` over the engines; `admit` also holds and refuses. */
Outcome play(size_t engineCount, double perSecond, double seconds, const Choose& choose, bool admit, uint64_t seed)
{
    std::mt19937_64 random { seed };
    std::vector<Engine> engines(engineCount);
    Outcome outcome;
    struct Waiting {
        size_t kind;
        std::vector<PromptPart> prompt;
        double arrivedMs;
    };
    std::vector<Waiting> waiting;
    std::exponential_distribution<double> gap { perSecond / 1000.0 };
    double nextMs = gap(random);
    for (double now = 0; now < seconds * 1000; now += 5) {
        while (nextMs <= now) {
            std::discrete_distribution<size_t> pick { kinds[0].share, kinds[1].share, kinds[2].share };
            const size_t kind = pick(random);
            const uint64_t session = (kind + 1) * 1000 + random() % sessions;
            waiting.push_back({ kind, { { session, kinds[kind].shared }, { random(), kinds[kind].own } }, nextMs });
            ++outcome.asked[kind];
            nextMs += gap(random);
        }
        std::stable_sort(waiting.begin(), waiting.end(), [&](const Waiting& a, const Waiting& b) { return admit && kinds[a.kind].urgency < kinds[b.kind].urgency; });
        std::erase_if(waiting, [&](const Waiting& request) {
            std::vector<PlacementCandidate> candidates;
            for (size_t index = 0; index < engines.size(); ++index) {
                auto& engine = engines[index];
                const bool resident = std::find(engine.parts.begin(), engine.parts.end(), request.prompt[0].id) != engine.parts.end();
                candidates.push_back({ .identity = index * 7919 + 13, .load = { .unreadTokens = static_cast<uint64_t>(std::max(0.0, engine.freeAtMs - now) * tokensPerMs) }, .slots = 64, .memoryTokens = 650000, .sameDomain = true, .residentTokens = resident ? request.prompt[0].tokens : 0 });
            }
            const size_t chosen = choose(request.prompt, candidates, random());
            auto& engine = engines[chosen];
            const double aheadMs = std::max(0.0, engine.freeAtMs - now);
            const bool resident = candidates[chosen].residentTokens > 0;
            const double readingMs = (request.prompt[1].tokens + (resident ? 0 : request.prompt[0].tokens)) / tokensPerMs;
            const auto& kind = kinds[request.kind];
            if (admit) {
                const auto verdict = admitToEngine({ .queueAhead = microseconds { static_cast<int64_t>(aheadMs * 1000) }, .ownReading = microseconds { static_cast<int64_t>(readingMs * 1000) }, .waited = microseconds { static_cast<int64_t>((now - request.arrivedMs) * 1000) }, .target = microseconds { static_cast<int64_t>(kind.targetMs * 1000) }, .urgency = kind.urgency },
                    {});
                if (verdict != EngineVerdict::Send) {
                    return verdict == EngineVerdict::Refuse;
                }
            }
            engine.freeAtMs = std::max(now, engine.freeAtMs) + readingMs;
            outcome.readAgain += resident ? 0 : request.prompt[0].tokens;
            engine.parts.push_back(request.prompt[0].id);
            if (engine.parts.size() > 100) {
                engine.parts.erase(engine.parts.begin());
            }
            outcome.inTime[request.kind] += engine.freeAtMs - request.arrivedMs <= kind.targetMs ? 1 : 0;
            return true;
        });
    }
    return outcome;
}

size_t placed(const std::vector<PromptPart>& prompt, const std::vector<PlacementCandidate>& candidates, uint64_t draw)
{
    return placeRequest({ .prompt = prompt, .draw = draw }, candidates, { .promptTokensPerMs = tokensPerMs })->index;
}

size_t leastLoaded(const std::vector<PromptPart>&, const std::vector<PlacementCandidate>& candidates, uint64_t)
{
    return static_cast<size_t>(std::min_element(candidates.begin(), candidates.end(), [](const auto& a, const auto& b) { return a.load.unreadTokens < b.load.unreadTokens; }) - candidates.begin());
}

size_t prefixHash(const std::vector<PromptPart>& prompt, const std::vector<PlacementCandidate>& candidates, uint64_t)
{
    return prompt[0].id % candidates.size();
}

} // namespace

TEST_CASE("short queues are added to; long ones hold a request until it cannot be in time")
{
    const EngineAdmissionOptions options;
    EngineRequest request { .queueAhead = options.queueLimit, .ownReading = milliseconds { 100 }, .target = milliseconds { 500 }, .urgency = 1 };
    CHECK(admitToEngine(request, options) == EngineVerdict::Send);
    request.queueAhead += microseconds { 1 };
    CHECK(admitToEngine(request, options) == EngineVerdict::Hold);
    request.waited = milliseconds { 400 };
    CHECK(admitToEngine(request, options) == EngineVerdict::Refuse);
    request.placesFree = true;
    CHECK(admitToEngine(request, options) == EngineVerdict::Send);
    request.placesFree = false;
    request.urgency = 0;
    CHECK(admitToEngine(request, options) == EngineVerdict::Send);
}

TEST_CASE("under half of the load that the engines can read, nearly all callers are in time")
{
    const auto outcome = play(8, 28, 60, placed, true, 1);
    for (size_t kind = 0; kind < kinds.size(); ++kind) {
        CHECK(outcome.inTime[kind] / outcome.asked[kind] > 0.9);
    }
}

TEST_CASE("placing reads shared parts again more seldom than round robin and least load, and serves more in time than all three")
{
    size_t turn = 0;
    const Choose roundRobin = [&](const auto&, const auto& candidates, uint64_t) { return turn++ % candidates.size(); };
    for (const uint64_t seed : { 1U, 2U, 3U }) {
        const auto own = play(8, 50, 60, placed, true, seed);
        const auto robin = play(8, 50, 60, roundRobin, false, seed);
        const auto least = play(8, 50, 60, leastLoaded, false, seed);
        const auto hash = play(8, 50, 60, prefixHash, false, seed);
        CHECK(own.readAgain < robin.readAgain);
        CHECK(own.readAgain < least.readAgain);
        CHECK(own.worth() > robin.worth());
        CHECK(own.worth() > hash.worth());
        CHECK(own.worth() >= least.worth());
    }
}

TEST_CASE("above what the engines can read, the most urgent kind stays in time and none starves")
{
    for (const uint64_t seed : { 1U, 2U, 3U }) {
        const auto shed = play(8, 160, 60, placed, true, seed);
        const auto all = play(8, 160, 60, placed, false, seed);
        CHECK(shed.inTime[1] / shed.asked[1] > 0.9);
        CHECK(shed.worth() > 2 * all.worth());
        for (size_t kind = 0; kind < kinds.size(); ++kind) {
            CHECK(shed.inTime[kind] > 0);
        }
    }
}
