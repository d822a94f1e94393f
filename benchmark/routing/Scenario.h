#pragma once

#include "EngineFake.h"
#include "Trace.h"

#include "siskinspread/Admission.h"
#include "siskinspread/Routing.h"

#include <map>
#include <optional>
#include <string>

namespace siskinspread::benchmark {

/** How a backend server is chosen. */
enum class Policy : uint8_t {
    BoundedPrefix, /**< chooseBackendServer. */
    RoundRobin,
    LeastReportedLoad,
    LeastOfTwo,
    PlainPrefixHash,
};

/** One row of the comparison. */
struct Contestant {
    std::string name;
    Policy policy { Policy::BoundedPrefix };
    bool admission { true }; /**< False: every request is dispatched at once. */
    bool cacheEvents { true };
    bool ownHints { true }; /**< This host's own dispatches count as cache hints. */
    RoutingOptions routing {};
    std::optional<uint32_t> instructionTokens {}; /**< In place of the scenario's. */
    PoolOptions pool {};
    PrefixPopularity popularity {};
    size_t plainKeyBlocks { 24 }; /**< Depth of the plain prefix hash. */
    double overcommit { 1.0 };
    AdmissionOptions admissionOptions {};
};

/** What happens while a trace is replayed. */
struct Scenario {
    std::string name;
    std::string workload;
    RoutingWeights weights;
    uint32_t instructionTokens { 1200 }; /**< As the service file would say it. */
    std::chrono::milliseconds reportInterval { 500 };
    std::chrono::milliseconds reportDelay { 700 };
    std::chrono::microseconds betweenDomains { 1200 };
    bool reclaimWave { false };
    bool slowReplica { false };
};

/** What was measured. */
struct Measurement {
    double insideTarget { 0 }; /**< Share of all offered requests answered inside the latency target. */
    double costPerThousand { 0 }; /**< Price of the pool's time for a thousand requests inside the target. */
    double recomputedPerThousand { 0 }; /**< Recomputed tokens for a thousand computed. */
    double firstTokenP95 { 0 }; /**< Milliseconds, answered requests. */
    double worstCustomer { 0 }; /**< Share inside the target of the worst customer. */
    double bestCustomer { 0 };
    uint64_t offered { 0 };
    uint64_t retries { 0 };
    uint64_t moves { 0 };
    std::map<std::string, uint64_t> refusals; /**< By name of the result code. */
};

/** The scenarios of the benchmark. */
std::vector<Scenario> scenarios();

/** Replays the trace through seven entry hosts in virtual time; equal arguments give an equal measurement. */
Measurement replay(const Scenario& scenario, const Trace& trace, const Contestant& contestant, uint64_t seed);

} // namespace siskinspread::benchmark
