#pragma once

#include <chrono>
#include <cstddef>

namespace siskinspread::benchmark {

/** The size that the system has to carry, and what control may cost a node there. */
struct Target {
    double nodes { 380 };
    double replicas { 670 };
    double failureDomains { 8 };
    double requestsPerSecond { 5'700 };
    double tokensPerSecond { 2'200'000 };
    double changesPerDay { 690 };
    double secondsToInForce { 14 };
    double restartsPerDay { 190 };

    double coreShare { 0.025 };
    double controlBytes { 256e6 }; /**< Memory of a node. */
    double controlBytesPerSecond { 25'000 };
    double storeWritesPerSecond { 300 }; /**< "Several hundred". */
    double storeReadsPerSecond { 2'000 }; /**< A waiting watch counts as one. */

    double nodesOfDomain() const { return nodes / failureDomains; }
    double replicasOfDomain() const { return replicas / failureDomains; }
    double requestsOfNode() const { return requestsPerSecond / nodes; }
};

} // namespace siskinspread::benchmark
