// Stand-in for a model engine: chat completions whose answer is a function of the model's name and the messages.

#include "CommandLine.h"
#include "Engine.h"

#include <boost/program_options.hpp>

namespace {

using siskinspread::standin::EngineOptions;

/** Command-line values in the units that their names tell. */
struct EngineArguments {
    uint16_t port { 0 };
    int64_t firstTokenMs { 0 };
    int64_t prefillPerTokenUs { 0 };
    int64_t betweenTokensMs { 0 };
    int64_t loadLagMs { 0 };
    int64_t cacheLagMs { 0 };
    size_t prefixCacheTokens { 0 };
};

boost::program_options::options_description describe(EngineArguments& arguments, EngineOptions& options)
{
    namespace po = boost::program_options;
    po::options_description description("Stand-in for a model engine");
    description.add_options()("port", po::value(&arguments.port)->default_value(0), "port on 127.0.0.1; 0 for any free one");
    description.add_options()("name", po::value(&options.name)->default_value("engine"), "name of the backend server");
    description.add_options()("failure-domain", po::value(&options.failureDomain)->default_value("local"), "failure domain");
    description.add_options()("slots", po::value(&options.slots)->default_value(8), "requests that run at once");
    description.add_options()("default-max-tokens", po::value(&options.defaultTokens)->default_value(32), "answer's length without max_tokens");
    description.add_options()("first-token-ms", po::value(&arguments.firstTokenMs)->default_value(0), "time to the first token");
    description.add_options()("prefill-us-per-token", po::value(&arguments.prefillPerTokenUs)->default_value(0),
        "added to the time to the first token for each token that is not cached");
    description.add_options()("between-tokens-ms", po::value(&arguments.betweenTokensMs)->default_value(0), "time between tokens");
    description.add_options()("prefix-cache-tokens", po::value(&arguments.prefixCacheTokens)->default_value(65536), "size of the prefix cache");
    description.add_options()("load-lag-ms", po::value(&arguments.loadLagMs)->default_value(0), "age of the published load");
    description.add_options()("cache-lag-ms", po::value(&arguments.cacheLagMs)->default_value(0), "delay of cache events");
    description.add_options()("cache-gap-every", po::value(&options.cache.dropEveryNthEvent)->default_value(0), "drop every Nth cache event; 0 drops none");
    description.add_options()("checks-fencing", po::bool_switch(&options.checksFencing), "refuse orders with an old fencing number");
    return description;
}

} // namespace

int main(int argc, char** argv)
{
    using namespace siskinspread::standin;
    EngineArguments arguments;
    EngineOptions options;
    auto description = describe(arguments, options);
    if (auto exitCode = parseCommandLine(argc, argv, description)) {
        return *exitCode;
    }
    options.firstToken = std::chrono::milliseconds(arguments.firstTokenMs);
    options.prefillPerToken = std::chrono::microseconds(arguments.prefillPerTokenUs);
    options.betweenTokens = std::chrono::milliseconds(arguments.betweenTokensMs);
    options.loadLag = std::chrono::milliseconds(arguments.loadLagMs);
    options.cache.eventLag = std::chrono::milliseconds(arguments.cacheLagMs);
    options.cache.capacityBlocks = arguments.prefixCacheTokens / cacheBlockTokens;
    EventLoop loop;
    Engine engine(std::move(options), loop);
    return loop.serve(arguments.port, [&engine](const Call& call, const Responder& responder) { engine.handle(call, responder); });
}
