#pragma once

#include <chrono>
#include <cstdint>
#include <sys/types.h>

namespace siskinspread::benchmark {

/** What a process has used so far. */
struct ProcessUsage {
    std::chrono::milliseconds processorTime { 0 }; /**< User and system; the kernel counts in steps of 10 ms. */
    int64_t residentBytes { 0 };
};

/**
 * Reads /proc/PID/stat and /proc/PID/status. Throws std::runtime_error when the process does not run.
 * Thread safety: reentrant.
 */
ProcessUsage usageOf(pid_t process);

} // namespace siskinspread::benchmark
