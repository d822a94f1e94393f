#include "Slope.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace siskinspread::benchmark {

Line fitLine(const std::vector<Point>& points)
{
    const auto count = static_cast<double>(points.size());
    double meanSize = 0;
    double meanValue = 0;
    for (const Point& point : points) {
        meanSize += point.size / count;
        meanValue += point.value / count;
    }
    double covariance = 0;
    double variance = 0;
    for (const Point& point : points) {
        covariance += (point.size - meanSize) * (point.value - meanValue);
        variance += (point.size - meanSize) * (point.size - meanSize);
    }
    if (variance <= 0) {
        throw std::invalid_argument("a line needs measurements of two sizes");
    }
    const double slope = covariance / variance;
    return { .intercept = meanValue - slope * meanSize, .slope = slope };
}

double largestDeviation(const Line& line, const std::vector<Point>& points)
{
    double largest = 0;
    for (const Point& point : points) {
        const double foretold = line.at(point.size);
        if (foretold != 0) {
            largest = std::max(largest, std::abs(point.value - foretold) / std::abs(foretold));
        }
    }
    return largest;
}

} // namespace siskinspread::benchmark
