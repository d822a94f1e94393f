#include "siskinspread/FleetPlan.h"
#include "siskinspread/ReplicaPlacement.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <random>

using namespace siskinspread;

namespace {

/** A kind of request of the bookings' sheet for hundreds of hosts. */
struct Kind {
    double perSecond { 0 }; // of all hosts
    uint32_t own { 0 }; // prompt tokens that no other request shares
    double outputTokens { 0 };
    double targetMs { 0 };
};

const std::vector<Kind> kinds { { 311, 6610, 377, 1000 }, { 171, 628, 286, 500 }, { 488, 1800, 26, 600 } };
constexpr uint32_t slots = 12;
constexpr double tokensPerMs = 50;
constexpr double stepMs = 3.79; // of a batch of one; each further request of the batch adds to it
constexpr double stepMsPerRequest = 0.0893;
constexpr double knownAfterMs = 200; // what a host knows of a replica's load is that old
constexpr double tickMs = 5;
constexpr double unreadPart = 0.8; // 2.4 million tokens a second in all, as on the calm day of the site
constexpr double part = 0.125; // of the load that is played, with as large a part of the replicas

struct Request {
    size_t kind { 0 };
    double arrivedMs { 0 };
    double readMs { 0 };
};

struct Engine {
    std::deque<Request> queue;
    std::vector<double> runsUntilMs;
    double readingUntilMs { 0 };
    ReplicaLoad known;
};

struct Outcome {
    std::vector<double> asked { 0, 0, 0 };
    std::vector<double> inTime { 0, 0, 0 };
    FleetDemand demand; // mean
};

void advance(Engine& engine, double now, Outcome& outcome)
{
    std::erase_if(engine.runsUntilMs, [now](double until) { return until <= now; });
    while (!engine.queue.empty() && engine.runsUntilMs.size() < slots && engine.readingUntilMs <= now) {
        const auto request = engine.queue.front();
        engine.queue.pop_front();
        const double step = stepMs + stepMsPerRequest * static_cast<double>(engine.runsUntilMs.size());
        // A prompt is read between the tokens of the others.
        engine.readingUntilMs = now + request.readMs * (1.0 + static_cast<double>(engine.runsUntilMs.size()) / slots / 2);
        engine.runsUntilMs.push_back(engine.readingUntilMs + kinds[request.kind].outputTokens * step);
        outcome.inTime[request.kind] += engine.readingUntilMs + step - request.arrivedMs <= kinds[request.kind].targetMs ? 1 : 0;
    }
}

ReplicaLoad loadOf(const Engine& engine)
{
    ReplicaLoad load { .requests = static_cast<uint32_t>(engine.queue.size() + engine.runsUntilMs.size()) };
    for (const auto& request : engine.queue) {
        load.unreadTokens += static_cast<uint64_t>(request.readMs * tokensPerMs);
    }
    return load;
}

Outcome play(size_t engineCount, double seconds, uint64_t seed)
{
    std::mt19937_64 random { seed };
    std::vector<Engine> engines(engineCount);
    Outcome outcome;
    std::vector<double> nextMs(kinds.size(), 0);
    double knownAt = 0;
    for (double now = 0; now < seconds * 1000; now += tickMs) {
        if (now - knownAt >= knownAfterMs) {
            knownAt = now;
            for (auto& engine : engines) {
                engine.known = loadOf(engine);
            }
        }
        for (size_t kind = 0; kind < kinds.size(); ++kind) {
            std::exponential_distribution<double> gap { kinds[kind].perSecond * part / 1000 };
            for (; nextMs[kind] <= now; nextMs[kind] += gap(random)) {
                const auto unread = static_cast<uint32_t>(kinds[kind].own * unreadPart);
                std::vector<PlacementCandidate> candidates;
                for (size_t index = 0; index < engines.size(); ++index) {
                    candidates.push_back({ .identity = index * 7919 + 13, .load = engines[index].known, .slots = 1000, .sameDomain = true });
                }
                const std::vector<PromptPart> prompt { { random(), unread } };
                auto& engine = engines[placeRequest({ .prompt = prompt, .draw = random() }, candidates, {})->index];
                engine.queue.push_back({ .kind = kind, .arrivedMs = now, .readMs = unread / tokensPerMs });
                engine.known.requests += 1;
                engine.known.unreadTokens += unread;
                ++outcome.asked[kind];
                outcome.demand.promptTokensPerSecond += unread / seconds;
            }
        }
        for (auto& engine : engines) {
            advance(engine, now, outcome);
            outcome.demand.requests += static_cast<double>(loadOf(engine).requests) * tickMs / (seconds * 1000);
        }
    }
    return outcome;
}

double shareInTime(const Outcome& outcome, size_t kind)
{
    return outcome.inTime[kind] / outcome.asked[kind];
}

} // namespace

TEST_CASE("the replicas that are planned for the bookings of hundreds of hosts serve nearly all callers in time, with small batches too")
{
    const FleetLimits limits { .maxPerDomain = 80, .reclaimablePrice = 0.22, .slots = slots };
    const auto measured = play(40, 20, 1);
    const auto planned = replicasNeeded(measured.demand, limits, {});
    FleetPlanOptions sparse;
    sparse.slotShare = 0.4;
    const auto sparsely = replicasNeeded(measured.demand, limits, sparse);
    CHECK(planned < sparsely);
    for (const uint64_t seed : { 2U, 3U, 4U }) {
        CAPTURE(seed);
        const auto outcome = play(planned, 30, seed);
        for (size_t kind = 0; kind < kinds.size(); ++kind) {
            CAPTURE(kind);
            CHECK(shareInTime(outcome, kind) > 0.95);
        }
        // Half of them would not do.
        CHECK(shareInTime(play(planned / 2, 30, seed), 0) < 0.95);
    }
    MESSAGE("planned " << planned << ", with two fifths of the slots " << sparsely << " requests " << measured.demand.requests << " tokens " << measured.demand.promptTokensPerSecond);
}
