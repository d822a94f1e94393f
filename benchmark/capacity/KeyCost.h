#pragma once

#include "Report.h"
#include "Target.h"

namespace siskinspread::benchmark {

/** Memory and processor time of the idempotency keys that an owner remembers, at three sizes. */
std::vector<CapacityLine> measureKeys(const Target& target);

/** Writes of an owner's incarnation log in virtual time, at four rates of entries. */
std::vector<CapacityLine> measureLogWrites(const Target& target);

} // namespace siskinspread::benchmark
