#pragma once

#include <cstddef>
#include <vector>

namespace siskinspread::benchmark {

/** One measurement: a size and what was measured there. */
struct Point {
    double size { 0 };
    double value { 0 };
};

/** value = intercept + slope * size. */
struct Line {
    double intercept { 0 };
    double slope { 0 };

    /** @return the value that the line foretells. Thread safety: reentrant. */
    double at(double size) const { return intercept + slope * size; }
};

/**
 * Least-squares line through measurements.
 * @param points at least two of different sizes. Throws std::invalid_argument otherwise.
 * Thread safety: reentrant.
 */
Line fitLine(const std::vector<Point>& points);

/** @return the largest distance between a measurement and the line, as a part of the line's value there. Thread safety: reentrant. */
double largestDeviation(const Line& line, const std::vector<Point>& points);

} // namespace siskinspread::benchmark
