#include "siskinspread/PeerLoads.h"

namespace siskinspread {

namespace {

    void applyTo(const PeerLoads& loads, uint64_t identity, const ReplicaDirectory& replicas)
    {
        if (auto replica = replicas.findIdentity(identity)) {
            const auto sum = loads.sums.find(identity);
            replica->peerLoad = sum == loads.sums.end() ? ReplicaLoad {} : sum->second;
        }
    }

    void takeOff(PeerLoads& loads, const LoadsOfHost& told)
    {
        for (const auto& [identity, load] : told) {
            auto& sum = loads.sums[identity];
            sum.requests -= load.requests;
            sum.unreadTokens -= load.unreadTokens;
            sum.heldTokens -= load.heldTokens;
            if (sum.requests == 0 && sum.unreadTokens == 0 && sum.heldTokens == 0) {
                loads.sums.erase(identity);
            }
        }
    }

} // namespace

void replacePeerLoads(PeerLoads& loads, const std::string& host, LoadsOfHost&& told, const ReplicaDirectory& replicas)
{
    auto& known = loads.hosts[host];
    const auto before = std::move(known);
    known = std::move(told);
    takeOff(loads, before);
    for (const auto& [identity, load] : known) {
        auto& sum = loads.sums[identity];
        sum.requests += load.requests;
        sum.unreadTokens += load.unreadTokens;
        sum.heldTokens += load.heldTokens;
    }
    for (const auto& [identity, load] : before) {
        applyTo(loads, identity, replicas);
    }
    for (const auto& [identity, load] : known) {
        applyTo(loads, identity, replicas);
    }
}

bool forgetPeerLoads(PeerLoads& loads, const std::string& host, const ReplicaDirectory& replicas)
{
    auto known = loads.hosts.find(host);
    if (known == loads.hosts.end()) {
        return false;
    }
    const auto before = std::move(known->second);
    loads.hosts.erase(known);
    takeOff(loads, before);
    for (const auto& [identity, load] : before) {
        applyTo(loads, identity, replicas);
    }
    return true;
}

void applyPeerLoads(const PeerLoads& loads, const ReplicaDirectory& replicas)
{
    for (const auto& [instance, replica] : replicas.all()) {
        applyTo(loads, replica->identity, replicas);
    }
}

} // namespace siskinspread
