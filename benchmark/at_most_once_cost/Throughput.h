#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

namespace siskinspread::benchmark {

struct ThroughputOptions {
    std::vector<size_t> inFlight;
    std::chrono::milliseconds partDuration { 3000 };
    size_t rounds { 3 };
};

/**
 * Prints requests a second of the at-most-once path and of the pass-through path, in turn at one host, and the store
 * writes that they take.
 */
void measureThroughput(const ThroughputOptions&);

} // namespace siskinspread::benchmark
