#pragma once

#include "Scenario.h"

#include <iosfwd>

namespace siskinspread::benchmark {

/** All seeds of one contestant in one scenario. */
struct ContestantResult {
    std::string name;
    std::vector<Measurement> seeds;
};

/** One scenario; the first row is the system's own policy. */
struct ScenarioResult {
    std::string scenario;
    std::vector<ContestantResult> rows;
};

/** Prints means over the seeds with the least and the greatest, and which rows the first one loses to. */
void printTable(std::ostream& out, const ScenarioResult& result);

/** Writes an SVG with one bar and its spread for each contestant, scenario and measure. */
void writePlot(std::ostream& out, const std::vector<ScenarioResult>& results);

} // namespace siskinspread::benchmark
