// Works docs/CAPACITY.md's table out from slopes: the decisions of all nodes in virtual time at several sizes, and, with
// --daemons, the control traffic of real entry hosts beside what the slopes foretell.

#include "BackendStatusCost.h"
#include "ConfigurationCost.h"
#include "ControlTraffic.h"
#include "KeyCost.h"
#include "MembershipCost.h"

#include <boost/program_options.hpp>

#include <iostream>

namespace {

using namespace siskinspread::benchmark;

std::vector<CapacityLine> measureDecisions(const Target& target)
{
    std::vector<CapacityLine> lines;
    for (const auto measure : { measureMembership, measureConfiguration, measureBackendStatus, measureKeys, measureLogWrites }) {
        const auto measured = measure(target);
        lines.insert(lines.end(), measured.begin(), measured.end());
    }
    return lines;
}

} // namespace

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    ControlTrafficOptions traffic;
    int64_t measuredMs = 0;
    po::options_description description("Capacity at the target, from measured slopes");
    description.add_options()("help", "prints this text");
    description.add_options()("daemons", po::value(&traffic.hostsOfDomain)->multitoken(), "also start four failure domains of so many entry hosts each, once for each number");
    description.add_options()("measured-ms", po::value(&measuredMs)->default_value(20'000), "length of a measurement of daemons");
    description.add_options()("daemons-only", "leaves the slopes of the decisions out");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
    if (values.count("help") > 0) {
        std::cout << description;
        return 0;
    }
    const Target target;
    if (values.count("daemons-only") == 0) {
        printLines(std::cout, measureDecisions(target));
    }
    if (!traffic.hostsOfDomain.empty()) {
        traffic.measuredTime = std::chrono::milliseconds(measuredMs);
        std::cout << '\n';
        printLines(std::cout, measureControlTraffic(target, traffic));
    }
    return 0;
}
