#pragma once

#include "Slope.h"

#include <ostream>
#include <string>
#include <vector>

namespace siskinspread::benchmark {

/** How a figure goes on from what was measured to the target's size. */
enum class Growth {
    Linear, /**< By a line through all measurements. */
    Bounded, /**< It has reached its bound at the largest size measured. */
};

/** One line of docs/CAPACITY.md. */
struct CapacityLine {
    std::string role;
    std::string figure; /**< What is measured, with its unit. */
    std::string sizeName; /**< What `points` are sizes of. */
    std::vector<Point> points;
    double targetSize { 0 };
    Growth growth { Growth::Linear };
    double allowance { 0 }; /**< In the unit of the figure; 0 where the target names none. */
    std::string mechanism; /**< What carries it, with the file of its code. */
};

/** Prints a Markdown table: the measurements, the slope, the value at the target and whether it fits. Thread safety: reentrant. */
void printLines(std::ostream& out, const std::vector<CapacityLine>& lines);

/** @return the value at the target's size by the growth of the line. Thread safety: reentrant. */
double atTarget(const CapacityLine& line);

} // namespace siskinspread::benchmark
