#include "siskinspread/PeerLoads.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace siskinspread;

namespace {

ReplicaEntry entryOf(const std::string& instance)
{
    return { .instance = instance, .service = "model", .address = "127.0.0.1", .port = 1, .slots = 4 };
}

/** The sums as they are when they are added up anew. */
ReplicaLoad summed(const PeerLoads& loads, uint64_t identity)
{
    ReplicaLoad sum;
    for (const auto& [host, told] : loads.hosts) {
        if (auto load = told.find(identity); load != told.end()) {
            sum.requests += load->second.requests;
            sum.unreadTokens += load->second.unreadTokens;
            sum.heldTokens += load->second.heldTokens;
        }
    }
    return sum;
}

} // namespace

TEST_CASE("sums kept by differences are those added up anew")
{
    CHECK(rc::check("loads", [] {
        ReplicaDirectory replicas;
        replicas.apply(entryOf("a"));
        replicas.apply(entryOf("b"));
        PeerLoads loads;
        const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(rc::gen::tuple(rc::gen::inRange(0, 3), rc::gen::inRange(0, 4), rc::gen::inRange(0, 4)));
        for (const auto& [host, atA, atB] : steps) {
            LoadsOfHost told;
            if (atA > 0) {
                told[replicas.find("a")->identity] = { .requests = static_cast<uint32_t>(atA), .unreadTokens = 10 * static_cast<uint64_t>(atA), .heldTokens = 7 };
            }
            if (atB > 0) {
                told[replicas.find("b")->identity] = { .requests = static_cast<uint32_t>(atB), .unreadTokens = 3, .heldTokens = 5 * static_cast<uint64_t>(atB) };
            }
            if (atA == 3 && atB == 3) {
                forgetPeerLoads(loads, std::to_string(host), replicas);
            } else {
                replacePeerLoads(loads, std::to_string(host), std::move(told), replicas);
            }
            for (const auto& name : { "a", "b" }) {
                const auto replica = replicas.find(name);
                const auto sum = summed(loads, replica->identity);
                RC_ASSERT(replica->peerLoad.requests == sum.requests);
                RC_ASSERT(replica->peerLoad.unreadTokens == sum.unreadTokens);
                RC_ASSERT(replica->peerLoad.heldTokens == sum.heldTokens);
            }
        }
    }));
}

TEST_CASE("a replica that becomes known later learns what is at it already")
{
    ReplicaDirectory known;
    known.apply(entryOf("a"));
    const auto identity = known.find("a")->identity;
    ReplicaDirectory replicas;
    PeerLoads loads;
    replacePeerLoads(loads, "host", { { identity, { .requests = 2 } } }, replicas);
    replicas.apply(entryOf("a"));
    CHECK(replicas.find("a")->peerLoad.requests == 0);
    applyPeerLoads(loads, replicas);
    CHECK(replicas.find("a")->peerLoad.requests == 2);
    CHECK(forgetPeerLoads(loads, "host", replicas));
    CHECK(replicas.find("a")->peerLoad.requests == 0);
    CHECK_FALSE(forgetPeerLoads(loads, "host", replicas));
}
