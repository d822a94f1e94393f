#pragma once

#include "Report.h"
#include "Target.h"

namespace siskinspread::benchmark {

/**
 * Membership between the entry hosts of all failure domains in virtual time, at four sizes, with the heartbeats' codec:
 * bytes sent, processor time and memory of a node.
 */
std::vector<CapacityLine> measureMembership(const Target& target);

} // namespace siskinspread::benchmark
