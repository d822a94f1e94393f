#pragma once

#include "Report.h"
#include "Target.h"

namespace siskinspread::benchmark {

/** The configuration's way from the store to all nodes in virtual time, at four sizes: store calls and time to in force. */
std::vector<CapacityLine> measureConfiguration(const Target& target);

} // namespace siskinspread::benchmark
