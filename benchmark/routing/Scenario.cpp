#include "Scenario.h"

#include "Replay.h"

namespace siskinspread::benchmark {

using namespace std::chrono_literals;

std::vector<Scenario> scenarios()
{
    constexpr RoutingWeights association { .latencyBoundCost = 2, .recomputedTokens = 1 };
    constexpr RoutingWeights zafran { .latencyBoundCost = 1, .recomputedTokens = 2 };
    return {
        { .name = "dawn-rush", .workload = "dawn-rush", .weights = association },
        { .name = "blend-sheets", .workload = "blend-sheets", .weights = zafran, .instructionTokens = 1500, .betweenDomains = 900us },
        { .name = "reclaim-wave", .workload = "steady", .weights = association, .reclaimWave = true },
        { .name = "customer-burst", .workload = "customer-burst", .weights = association },
        { .name = "stale-load", .workload = "steady", .weights = association, .reportInterval = 4s, .reportDelay = 4s },
        { .name = "slow-replica", .workload = "steady", .weights = association, .slowReplica = true },
    };
}

Measurement replay(const Scenario& scenario, const Trace& trace, const Contestant& contestant, uint64_t seed)
{
    return Replay(scenario, trace, contestant, seed).run();
}

} // namespace siskinspread::benchmark
