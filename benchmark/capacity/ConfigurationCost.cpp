#include "ConfigurationCost.h"

#include "FeedNetwork.h"
#include "HeapUse.h"

#include <ctime>

namespace siskinspread::benchmark {
namespace {

    using namespace std::chrono_literals;

    constexpr size_t domains = 8;
    constexpr size_t hostsOfDomain[] { 6, 12, 24, 48 };
    constexpr std::chrono::seconds settleTime { 30 };
    constexpr std::chrono::seconds measuredTime { 60 };
    constexpr std::chrono::seconds returnTime { 14 };
    constexpr std::chrono::milliseconds pollTime { 250 };
    constexpr std::chrono::seconds longestWait { 120 };

    double callsPerSecond(FeedNetwork& network, std::chrono::seconds time)
    {
        const size_t before = network.storeCalls();
        network.runWithoutFaults(time);
        return static_cast<double>(network.storeCalls() - before) / static_cast<double>(time.count());
    }

    /** @return the time from a publish until it is in force on all hosts, or the longest wait. */
    double secondsToInForce(FeedNetwork& network)
    {
        network.publish();
        std::chrono::milliseconds waited { 0 };
        while (network.hostsInForce(network.storeRevision()) < network.hostCount() && waited < longestWait) {
            network.runWithoutFaults(pollTime);
            waited += pollTime;
        }
        return std::chrono::duration<double>(waited).count();
    }

} // namespace

std::vector<CapacityLine> measureConfiguration(const Target& target)
{
    const std::string mechanism = "one watcher a failure domain, passed on by peers (`ConfigurationFeed.h`)";
    const auto line = [&](const char* role, const char* figure, double allowance) {
        return CapacityLine { .role = role, .figure = figure, .sizeName = "nodes", .points = {}, .targetSize = target.nodes, .allowance = allowance, .mechanism = mechanism };
    };
    CapacityLine inForce = line("configuration", "seconds from publish to in force on all nodes", target.secondsToInForce);
    CapacityLine atRest = line("store: configuration", "calls a second at rest", target.storeReadsPerSecond);
    CapacityLine away = line("store: configuration", "calls a second while the store is away", target.storeReadsPerSecond);
    CapacityLine back = line("store: configuration", "calls a second in the 14 s after its return", target.storeReadsPerSecond);
    CapacityLine core = line("configuration", "share of a core at rest", target.coreShare);
    CapacityLine heap = line("configuration", "bytes of memory without the body", target.controlBytes);
    for (const size_t hosts : hostsOfDomain) {
        const auto nodes = static_cast<double>(domains * hosts);
        const int64_t heapBefore = heapBytes();
        FeedNetwork network { domains, hosts };
        network.runWithoutFaults(settleTime);
        const std::clock_t begin = std::clock();
        atRest.points.push_back({ nodes, callsPerSecond(network, measuredTime) });
        const double processorSeconds = static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
        core.points.push_back({ nodes, processorSeconds / static_cast<double>(measuredTime.count()) / nodes });
        inForce.points.push_back({ nodes, secondsToInForce(network) });
        heap.points.push_back({ nodes, static_cast<double>(heapBytes() - heapBefore) / nodes });
        network.setStoreUp(false);
        network.runWithoutFaults(settleTime);
        away.points.push_back({ nodes, callsPerSecond(network, measuredTime) });
        network.setStoreUp(true);
        back.points.push_back({ nodes, callsPerSecond(network, returnTime) });
    }
    return { inForce, core, heap, atRest, away, back };
}

} // namespace siskinspread::benchmark
