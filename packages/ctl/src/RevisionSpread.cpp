#include "siskinspread/OperatorReports.h"

#include <algorithm>
#include <map>

namespace siskinspread {

namespace {

    bool isLive(const EntryHostStatus& host)
    {
        return host.state == "live" || host.state == "suspected";
    }

} // namespace

RevisionSpread revisionSpread(const std::vector<SystemStatus>& answers, uint64_t revision)
{
    std::map<std::string, uint64_t> revisions; // by incarnation
    for (const SystemStatus& answer : answers) {
        for (const EntryHostStatus& host : answer.entryHosts) {
            if (isLive(host)) {
                uint64_t& highest = revisions[host.incarnation];
                highest = std::max(highest, host.configurationRevision);
            }
        }
    }
    RevisionSpread spread { .liveHosts = static_cast<uint32_t>(revisions.size()) };
    for (const auto& [incarnation, inForce] : revisions) {
        spread.inForce += inForce >= revision;
    }
    return spread;
}

} // namespace siskinspread
