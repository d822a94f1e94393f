#pragma once

#include "Report.h"
#include "Target.h"

#include <chrono>

namespace siskinspread::benchmark {

/** Which daemons to start. */
struct ControlTrafficOptions {
    std::vector<size_t> hostsOfDomain {};
    std::chrono::milliseconds measuredTime { 20'000 };
};

/** Real entry hosts in four failure domains without any request: what control costs each of them. At least two sizes. */
std::vector<CapacityLine> measureControlTraffic(const Target& target, const ControlTrafficOptions& options);

} // namespace siskinspread::benchmark
