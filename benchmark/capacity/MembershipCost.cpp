#include "MembershipCost.h"

#include "HeapUse.h"
#include "MembershipNetwork.h"

#include "siskinspread/HeartbeatCodec.h"

#include <algorithm>
#include <ctime>

namespace siskinspread::benchmark {
namespace {

    using namespace std::chrono_literals;

    constexpr size_t domains = 8;
    constexpr size_t hostsOfDomain[] { 6, 12, 24, 48 };
    constexpr std::chrono::seconds settleTime { 60 };
    constexpr std::chrono::seconds measuredTime { 60 };
    constexpr size_t datagramHeaderBytes = 28; // IPv4 and UDP

    struct MembershipCost {
        double meanBytesPerSecond { 0 };
        double mostBytesPerSecond { 0 };
        double coreShare { 0 };
        double heapBytes { 0 };
    };

    schema::RevisionAdvertMessage advert()
    {
        schema::RevisionAdvertMessage message;
        message.set_host("gauteng-1a");
        message.set_failure_domain("gauteng-1");
        message.set_revision(1'000'000);
        message.set_store_contact_age_ms(1'000);
        message.set_store_contact_host("gauteng-1b");
        return message;
    }

    /** The network's names are shorter than those of a deployment. */
    void lengthenNames(MemberRecord& record)
    {
        record.address = "10.20.30.40:" + record.address;
        record.host = "gauteng-" + record.host;
        record.failureDomain = "gauteng-" + record.failureDomain;
        record.incarnation = "gauteng-" + record.incarnation + ".18a3f0c2d4e5";
    }

    template <typename Records>
    void lengthenAll(Records& records)
    {
        for (MemberRecord& record : records) {
            lengthenNames(record);
        }
    }

    /** Encodes and decodes, so that the processor time has both. */
    size_t encodedSize(const MembershipMessage& sent)
    {
        MembershipMessage message = sent;
        lengthenNames(message.sender);
        lengthenAll(message.rumours);
        for (DomainView& view : message.views) {
            view.failureDomain = "gauteng-" + view.failureDomain;
        }
        if (auto* records = std::get_if<DomainRecords>(&message.body)) {
            lengthenAll(records->records);
        } else if (auto* request = std::get_if<DomainRecordsRequest>(&message.body)) {
            lengthenAll(request->records);
        }
        static const schema::RevisionAdvertMessage revision = advert();
        const std::string bytes = heartbeatMessage(message, revision).SerializeAsString();
        schema::HeartbeatMessage decoded;
        const bool isReadable = decoded.ParseFromString(bytes) && membershipMessage(decoded);
        return isReadable ? bytes.size() + datagramHeaderBytes : 0;
    }

    MembershipCost measure(size_t hosts)
    {
        const int64_t heapBefore = heapBytes();
        MembershipNetwork network { domains, hosts };
        network.sizeOf = encodedSize;
        network.run(settleTime);
        network.forgetTraffic();
        const std::clock_t begin = std::clock();
        network.run(measuredTime);
        const double processorSeconds = static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
        const auto nodes = static_cast<double>(network.size());
        const auto seconds = static_cast<double>(measuredTime.count());
        MembershipCost cost { .coreShare = processorSeconds / seconds / nodes, .heapBytes = static_cast<double>(heapBytes() - heapBefore) / nodes };
        for (size_t i = 0; i < network.size(); ++i) {
            const double bytes = static_cast<double>(network.host(i).bytesSent) / seconds;
            cost.meanBytesPerSecond += bytes / nodes;
            cost.mostBytesPerSecond = std::max(cost.mostBytesPerSecond, bytes);
        }
        return cost;
    }

} // namespace

std::vector<CapacityLine> measureMembership(const Target& target)
{
    const std::string mechanism = "random probes, bounded rumours, relays (`Membership.h`)";
    const auto line = [&](const char* figure, double allowance) {
        return CapacityLine { .role = "peers: membership", .figure = figure, .sizeName = "nodes", .points = {}, .targetSize = target.nodes, .allowance = allowance, .mechanism = mechanism };
    };
    CapacityLine mean = line("bytes a second sent, mean of nodes", target.controlBytesPerSecond);
    CapacityLine most = line("bytes a second sent, busiest relay", target.controlBytesPerSecond);
    CapacityLine core = line("share of a core", target.coreShare);
    CapacityLine heap = line("bytes of memory", target.controlBytes);
    for (const size_t hosts : hostsOfDomain) {
        const MembershipCost cost = measure(hosts);
        const auto nodes = static_cast<double>(domains * hosts);
        mean.points.push_back({ nodes, cost.meanBytesPerSecond });
        most.points.push_back({ nodes, cost.mostBytesPerSecond });
        core.points.push_back({ nodes, cost.coreShare });
        heap.points.push_back({ nodes, cost.heapBytes });
    }
    return { mean, most, core, heap };
}

} // namespace siskinspread::benchmark
