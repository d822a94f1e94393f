#include "ControlTraffic.h"

#include "ProcessUsage.h"
#include "support/Deployment.h"

#include <thread>

namespace siskinspread::benchmark {
namespace {

    using testing::Deployment;

    constexpr size_t failureDomains = 4;
    constexpr size_t engines = 8;
    constexpr std::chrono::seconds settleTime { 20 };
    constexpr double millisecondsPerSecond = 1'000;

    struct Usage {
        double processorSeconds { 0 };
        double residentBytes { 0 };
        double bytesSent { 0 };
    };

    /** @return the sums over all entry hosts. */
    Usage usageOfHosts(const Deployment& deployment)
    {
        Usage sum;
        for (size_t i = 0; i < deployment.hostCount(); ++i) {
            const ProcessUsage usage = usageOf(deployment.host(i).process->pid());
            sum.processorSeconds += static_cast<double>(usage.processorTime.count()) / millisecondsPerSecond;
            sum.residentBytes += static_cast<double>(usage.residentBytes);
            sum.bytesSent += deployment.metric(i, "siskinspread_datagram_bytes_total", "sent");
        }
        return sum;
    }

} // namespace

std::vector<CapacityLine> measureControlTraffic(const Target& target, const ControlTrafficOptions& options)
{
    const std::string mechanism = "all control duties of the daemon, 8 engines";
    const auto line = [&](const char* figure, double allowance) {
        return CapacityLine { .role = "control of a daemon at rest", .figure = figure, .sizeName = "daemons", .points = {}, .targetSize = target.nodes, .allowance = allowance, .mechanism = mechanism };
    };
    CapacityLine core = line("share of a core", target.coreShare);
    CapacityLine memory = line("bytes resident", target.controlBytes);
    CapacityLine sent = line("bytes a second of datagrams sent", target.controlBytesPerSecond);
    for (const size_t hosts : options.hostsOfDomain) {
        const Deployment deployment { { .failureDomains = failureDomains, .hostsPerFailureDomain = hosts, .engines = engines } };
        std::this_thread::sleep_for(settleTime);
        const auto begin = std::chrono::steady_clock::now();
        const Usage before = usageOfHosts(deployment);
        std::this_thread::sleep_for(options.measuredTime);
        const Usage after = usageOfHosts(deployment);
        const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
        const auto nodes = static_cast<double>(deployment.hostCount());
        core.points.push_back({ nodes, (after.processorSeconds - before.processorSeconds) / seconds / nodes });
        memory.points.push_back({ nodes, after.residentBytes / nodes });
        sent.points.push_back({ nodes, (after.bytesSent - before.bytesSent) / seconds / nodes });
    }
    return { core, memory, sent };
}

} // namespace siskinspread::benchmark
