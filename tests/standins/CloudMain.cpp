// Stand-in for the cloud API, the list of live and leaving hosts and the weight store.

#include "Cloud.h"
#include "CommandLine.h"

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    using namespace siskinspread::standin;
    uint16_t port = 0;
    int64_t listLagMs = 0;
    CloudOptions options;
    po::options_description description("Stand-in for the cloud API, the host list and the weight store");
    description.add_options()("port", po::value(&port)->default_value(0), "port on 127.0.0.1; 0 for any free one");
    description.add_options()("list-lag-ms", po::value(&listLagMs)->default_value(0), "age of the host list");
    description.add_options()("weights-per-second", po::value(&options.weightsPerSecond)->default_value(0), "rate of the weight store; 0 for no limit");
    description.add_options()("checks-fencing", po::bool_switch(&options.checksFencing), "refuse orders with an old fencing number");
    if (auto exitCode = parseCommandLine(argc, argv, description)) {
        return *exitCode;
    }
    options.listLag = std::chrono::milliseconds(listLagMs);
    EventLoop loop;
    Cloud cloud(options, loop);
    return loop.serve(port, [&cloud](const Call& call, const Responder& responder) { cloud.handle(call, responder); });
}
