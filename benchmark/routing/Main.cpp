#include "Report.h"

#include <boost/program_options.hpp>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>

namespace {

using namespace siskinspread::benchmark;
namespace options = boost::program_options;

constexpr uint64_t recordedSeed = 1;

std::filesystem::path tracePath(const std::filesystem::path& directory, std::string_view workload)
{
    return directory / (std::string(workload) + ".txt");
}

void writeTraces(const std::filesystem::path& directory)
{
    for (const std::string_view workload : workloads) {
        std::ofstream out(tracePath(directory, workload));
        writeTrace(out, generateTrace(workload, recordedSeed));
    }
}

/** The recorded trace for the first seed, generated ones for the others. */
Trace traceFor(const std::filesystem::path& directory, std::string_view workload, uint64_t seed)
{
    std::ifstream in(tracePath(directory, workload));
    if (seed != recordedSeed || !in) {
        return generateTrace(workload, seed);
    }
    return readTrace(in, workload);
}

bool isOurs(const Contestant& contestant)
{
    return contestant.policy == Policy::BoundedPrefix;
}

/** Sets one constant of the system's own policy by name, for trials. */
bool setConstant(Contestant& contestant, const std::string& name, double value)
{
    const std::map<std::string, double*> numbers {
        { "load-bound", &contestant.routing.loadBound },
        { "comfortable-use", &contestant.routing.comfortableUse },
        { "replica-slack", &contestant.routing.replicaSlack },
        { "unseen-credit", &contestant.routing.unseenCredit },
        { "others-share", &contestant.pool.othersShare },
        { "cheap-part", &contestant.routing.cheapPart },
        { "cheap-latency", &contestant.routing.cheapLatency },
        { "overcommit", &contestant.overcommit },
        { "reserved-share", &contestant.admissionOptions.reservedShare },
        { "slow-tolerance", &contestant.pool.slowTolerance },
        { "slow-start-floor", &contestant.pool.slowStartFloor },
    };
    if (name == "instruction-tokens") {
        contestant.instructionTokens = static_cast<uint32_t>(value);
        return true;
    }
    const std::map<std::string, std::chrono::milliseconds*> times {
        { "first-token-target", &contestant.routing.firstTokenTarget },
        { "full-batch-cost", &contestant.routing.fullBatchCost },
        { "price-spread", &contestant.routing.priceSpread },
        { "tie-spread", &contestant.routing.tieSpread },
        { "half-life", &contestant.popularity.halfLife },
        { "longest-wait", &contestant.admissionOptions.longestWait },
    };
    const std::map<std::string, bool*> switches {
        { "cache-events", &contestant.cacheEvents },
        { "own-hints", &contestant.ownHints },
        { "admission", &contestant.admission },
    };
    if (const auto number = numbers.find(name); number != numbers.end()) {
        *number->second = value;
    } else if (const auto time = times.find(name); time != times.end()) {
        *time->second = std::chrono::milliseconds(static_cast<int64_t>(value));
    } else if (const auto flag = switches.find(name); flag != switches.end()) {
        *flag->second = value != 0;
    } else {
        return false;
    }
    return true;
}

std::vector<Contestant> contestants()
{
    return {
        { .name = "siskinspread" },
        { .name = "round robin", .policy = Policy::RoundRobin },
        { .name = "least reported load", .policy = Policy::LeastReportedLoad },
        { .name = "least of two", .policy = Policy::LeastOfTwo },
        { .name = "plain prefix hash", .policy = Policy::PlainPrefixHash },
        { .name = "least load, no admission", .policy = Policy::LeastReportedLoad, .admission = false },
    };
}

bool setConstants(Contestant& contestant, const options::variables_map& given)
{
    if (!given.contains("set")) {
        return true;
    }
    for (const std::string& setting : given["set"].as<std::vector<std::string>>()) {
        const size_t equals = setting.find('=');
        if (equals == std::string::npos || !setConstant(contestant, setting.substr(0, equals), std::stod(setting.substr(equals + 1)))) {
            std::cerr << "no such constant: " << setting << '\n';
            return false;
        }
    }
    return true;
}

} // namespace

int main(int argc, char** argv)
{
    options::options_description description("Replays recorded traces through the routing decisions of seven entry hosts");
    description.add_options()("help", "show this text");
    description.add_options()("traces", options::value<std::string>()->default_value("benchmark/traces"), "directory of the recorded traces");
    description.add_options()("write-traces", "write the recorded traces and end");
    description.add_options()("seeds", options::value<uint64_t>()->default_value(5), "number of seeds, counted from 1");
    description.add_options()("scenario", options::value<std::string>()->default_value(""), "only this scenario");
    description.add_options()("ours", "only the system's own policy");
    description.add_options()("svg", options::value<std::string>()->default_value(""), "file for the plot");
    description.add_options()("set", options::value<std::vector<std::string>>()->composing(), "name=value: a constant of the system's own policy");
    options::variables_map given;
    options::store(options::parse_command_line(argc, argv, description), given);
    options::notify(given);
    if (given.contains("help")) {
        std::cout << description;
        return 0;
    }
    const std::filesystem::path directory = given["traces"].as<std::string>();
    if (given.contains("write-traces")) {
        writeTraces(directory);
        return 0;
    }

    std::vector<ScenarioResult> results;
    const auto only = given["scenario"].as<std::string>();
    for (const Scenario& scenario : scenarios()) {
        if (!only.empty() && scenario.name != only) {
            continue;
        }
        ScenarioResult result { .scenario = scenario.name, .rows = {} };
        for (Contestant contestant : contestants()) {
            if (given.contains("ours") && !isOurs(contestant)) {
                continue;
            }
            if (isOurs(contestant) && !setConstants(contestant, given)) {
                return 1;
            }
            ContestantResult row { .name = contestant.name, .seeds = {} };
            for (uint64_t seed = 1; seed <= given["seeds"].as<uint64_t>(); ++seed) {
                row.seeds.push_back(replay(scenario, traceFor(directory, scenario.workload, seed), contestant, seed));
            }
            result.rows.push_back(std::move(row));
        }
        printTable(std::cout, result);
        results.push_back(std::move(result));
    }
    if (const auto file = given["svg"].as<std::string>(); !file.empty()) {
        std::ofstream out(file);
        writePlot(out, results);
    }
    return 0;
}
