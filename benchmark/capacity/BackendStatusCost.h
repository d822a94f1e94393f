#pragma once

#include "Report.h"
#include "Target.h"

namespace siskinspread::benchmark {

/** The status of backend servers kept by the hosts of all failure domains in virtual time, at four sizes, with the datagrams' codec. */
std::vector<CapacityLine> measureBackendStatus(const Target& target);

} // namespace siskinspread::benchmark
