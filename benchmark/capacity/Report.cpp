#include "Report.h"

#include <iomanip>
#include <sstream>

namespace siskinspread::benchmark {
namespace {

    constexpr int digits = 3;
    constexpr double percent = 100;

    std::string number(double value)
    {
        std::ostringstream text;
        const bool isLong = value >= 1000;
        text << std::setprecision(isLong ? 0 : digits) << (isLong ? std::fixed : std::defaultfloat) << value;
        return text.str();
    }

    std::string measurements(const CapacityLine& line)
    {
        std::string text;
        for (const Point& point : line.points) {
            text += (text.empty() ? "" : ", ") + number(point.value) + " at " + number(point.size);
        }
        return text + " " + line.sizeName;
    }

    std::string slopeOf(const CapacityLine& line)
    {
        if (line.growth == Growth::Bounded) {
            return "bounded";
        }
        const Line fitted = fitLine(line.points);
        return number(fitted.intercept) + " + " + number(fitted.slope) + " each, off by " + number(percent * largestDeviation(fitted, line.points)) + " % at most";
    }

    std::string verdict(const CapacityLine& line)
    {
        if (line.allowance <= 0) {
            return "no allowance is named";
        }
        const double part = percent * atTarget(line) / line.allowance;
        return (part <= percent ? "fits: " : "**does not fit**: ") + number(part) + " % of " + number(line.allowance);
    }

} // namespace

double atTarget(const CapacityLine& line)
{
    return line.growth == Growth::Linear ? fitLine(line.points).at(line.targetSize) : line.points.back().value;
}

void printLines(std::ostream& out, const std::vector<CapacityLine>& lines)
{
    out << "| role | figure | measured | slope | at the target | verdict | mechanism |\n| --- | --- | --- | --- | --- | --- | --- |\n";
    for (const CapacityLine& line : lines) {
        out << "| " << line.role << " | " << line.figure << " | " << measurements(line) << " | " << slopeOf(line) << " | "
            << number(atTarget(line)) << " at " << number(line.targetSize) << " | " << verdict(line) << " | " << line.mechanism << " |\n";
    }
}

} // namespace siskinspread::benchmark
