#include "BackendStatusCost.h"

#include "BackendStatusFleet.h"
#include "HeapUse.h"

#include <ctime>

namespace siskinspread::benchmark {
namespace {

    constexpr size_t hostsOfDomain[] { 6, 12, 24, 48 };
    constexpr std::chrono::seconds settleTime { 70 }; // gossip puts changed servers first for the first minute
    constexpr std::chrono::seconds measuredTime { 10 };
    constexpr std::chrono::milliseconds waveRound { 250 };
    constexpr std::chrono::seconds longestWave { 60 };

    struct FleetCost {
        double nodes { 0 };
        double bytesPerSecond { 0 };
        double coreShare { 0 };
        double heapBytes { 0 };
        double waveBytesPerSecond { 0 }; /**< Of the node that sends most, over the first 10 s of a wave. */
        double waveSeconds { 0 }; /**< From the notices until every host knows of every leave. */
    };

    /** Lets a domain's servers leave at once. */
    void measureWave(BackendStatusFleet& fleet, const FleetOptions& options, FleetCost& cost)
    {
        fleet.forgetTraffic();
        fleet.reclaimFirstDomain();
        std::chrono::milliseconds passed { 0 };
        bool isKnown = false;
        while (passed < longestWave && (!isKnown || passed < measuredTime)) {
            fleet.run(waveRound);
            passed += waveRound;
            if (!isKnown && fleet.hostsThatKnowOfLeave() == fleet.hostCount() * options.serversOfDomain) {
                isKnown = true;
                cost.waveSeconds = std::chrono::duration<double>(passed).count();
            }
        }
        cost.waveSeconds = isKnown ? cost.waveSeconds : std::chrono::duration<double>(longestWave).count();
        cost.waveBytesPerSecond = fleet.mostBytesSent() / std::chrono::duration<double>(passed).count();
    }

    FleetCost measure(const FleetOptions& options)
    {
        const int64_t heapBefore = heapBytes();
        BackendStatusFleet fleet { options };
        fleet.run(settleTime);
        fleet.forgetTraffic();
        const std::clock_t begin = std::clock();
        fleet.run(measuredTime);
        const double processorSeconds = static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
        const auto nodes = static_cast<double>(fleet.hostCount());
        const auto seconds = static_cast<double>(measuredTime.count());
        FleetCost cost { .nodes = nodes, .bytesPerSecond = fleet.meanBytesSent() / seconds, .coreShare = processorSeconds / seconds / nodes, .heapBytes = static_cast<double>(heapBytes() - heapBefore) / nodes };
        measureWave(fleet, options, cost);
        return cost;
    }

} // namespace

std::vector<CapacityLine> measureBackendStatus(const Target& target)
{
    const std::string mechanism = "two observers a server, reports in the domain, gossip between domains (`BackendServerStatus.h`)";
    const auto line = [&](const char* figure, double allowance) {
        return CapacityLine { .role = "backend servers: status", .figure = figure, .sizeName = "nodes with 1.75 replicas each", .points = {}, .targetSize = target.nodes, .allowance = allowance, .mechanism = mechanism };
    };
    CapacityLine bytes = line("bytes a second sent at rest, mean of nodes, probes left out", target.controlBytesPerSecond);
    CapacityLine core = line("share of a core at rest", target.coreShare);
    CapacityLine heap = line("bytes of memory", target.controlBytes);
    CapacityLine wave = line("bytes a second sent while a domain's servers leave, busiest node", target.controlBytesPerSecond);
    CapacityLine spread = line("seconds until all nodes know of a domain's leaves", 0);
    for (const size_t hosts : hostsOfDomain) {
        const auto servers = static_cast<size_t>(static_cast<double>(hosts) * target.replicas / target.nodes);
        const FleetCost cost = measure({ .failureDomains = static_cast<size_t>(target.failureDomains), .hostsOfDomain = hosts, .serversOfDomain = servers });
        bytes.points.push_back({ cost.nodes, cost.bytesPerSecond });
        core.points.push_back({ cost.nodes, cost.coreShare });
        heap.points.push_back({ cost.nodes, cost.heapBytes });
        wave.points.push_back({ cost.nodes, cost.waveBytesPerSecond });
        spread.points.push_back({ cost.nodes, cost.waveSeconds });
    }
    return { bytes, core, heap, wave, spread };
}

} // namespace siskinspread::benchmark
