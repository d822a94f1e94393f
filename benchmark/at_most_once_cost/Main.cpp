// What requests that run at most once cost: requests a second and store writes against the pass-through path, state for
// each request, and the time from a host's death to the final account of its open request.

#include "HostDeath.h"
#include "StateSize.h"
#include "Throughput.h"

#include <boost/program_options.hpp>

#include <iostream>

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    using namespace siskinspread::benchmark;
    ThroughputOptions throughput;
    StateSizeOptions state;
    int64_t partMs = 0;
    size_t deaths = 0;
    po::options_description description("Cost of requests that run at most once");
    description.add_options()("help", "prints this text");
    description.add_options()("in-flight", po::value(&throughput.inFlight)->multitoken()->default_value({ 1, 10, 100 }, "1 10 100"), "requests at once");
    description.add_options()("part-ms", po::value(&partMs)->default_value(3000), "length of each part, pass-through and at most once in turn");
    description.add_options()("rounds", po::value(&throughput.rounds)->default_value(3), "parts of each path; 0 leaves them out");
    description.add_options()("open", po::value(&state.open)->default_value(1000), "open requests whose state is measured");
    description.add_options()("closed", po::value(&state.closed)->default_value(20000), "closed requests whose state is measured; 0 leaves state out");
    description.add_options()("deaths", po::value(&deaths)->default_value(5), "hosts to kill, one by one; 0 leaves them out");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
    if (values.count("help") > 0) {
        std::cout << description;
        return 0;
    }
    throughput.partDuration = std::chrono::milliseconds(partMs);
    if (throughput.rounds > 0) {
        measureThroughput(throughput);
    }
    if (state.closed > 0) {
        measureStateSize(state);
    }
    if (deaths > 0) {
        measureHostDeath(deaths);
    }
    return 0;
}
