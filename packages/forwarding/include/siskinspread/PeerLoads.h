#pragma once

#include "siskinspread/ReplicaDirectory.h"

#include <map>
#include <string>
#include <unordered_map>

namespace siskinspread {

/** Requests of one host at replicas, by the replicas' identities. */
using LoadsOfHost = std::unordered_map<uint64_t, ReplicaLoad>;

/** What the other hosts have at replicas, with its sums, so that one host's message costs as much as it holds. */
struct PeerLoads {
    std::map<std::string, LoadsOfHost> hosts;
    LoadsOfHost sums;
};

/** Replaces what a host has told, and corrects the replicas concerned. Thread safety: safe while no other thread uses the arguments. */
void replacePeerLoads(PeerLoads&, const std::string& host, LoadsOfHost&&, const ReplicaDirectory&);

/** Forgets a host. @return whether it was known. Thread safety: as replacePeerLoads. */
bool forgetPeerLoads(PeerLoads&, const std::string& host, const ReplicaDirectory&);

/** Tells all replicas their sums: some may have become known after the hosts that use them had told of them. Thread safety: as replacePeerLoads. */
void applyPeerLoads(const PeerLoads&, const ReplicaDirectory&);

} // namespace siskinspread
