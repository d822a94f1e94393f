#include "MembershipNetwork.h"
#include "Script.h"

#include <doctest/doctest.h>

namespace siskinspread {

namespace {

    using namespace std::chrono_literals;

    MemberRecord record(uint32_t generation, uint32_t refutation, MemberStatus status, const std::string& incarnation = "a.1")
    {
        return { .address = "1", .host = "a", .failureDomain = "d", .incarnation = incarnation, .generation = generation, .refutation = refutation, .status = status };
    }

    /** Runs half of all ways between hosts cut in one direction, and some messages lost. @return hosts wrongly dead to all. */
    size_t wronglyDead(const MembershipOptions& options, uint32_t seed)
    {
        MembershipNetwork network { 1, 6, options };
        network.run(10s);
        std::mt19937 random { seed };
        for (size_t i = 0; i < network.size(); ++i) {
            network.cut(i, i + 2 + random() % 2);
        }
        network.setLossPercent(5);
        size_t dead = 0;
        for (int i = 0; i < 60; ++i) {
            network.run(500ms);
            for (size_t subject = 0; subject < network.size(); ++subject) {
                dead += network.isDeadToAll(subject);
            }
        }
        return dead;
    }

} // namespace

TEST_CASE("what is believed does not depend on the order in which it was heard")
{
    CHECK(rc::check([] {
        const auto seeds = arbitraryScript<uint8_t>(8);
        std::vector<MemberRecord> records;
        records.reserve(seeds.size());
        for (const uint8_t seed : seeds) {
            records.push_back(record(1 + seed % 2, (seed / 2) % 3, static_cast<MemberStatus>((seed / 8) % 4), seed & 64 ? "a.1" : "a.2"));
        }
        MembershipTable forward;
        MembershipTable backward;
        const MemberRecord first = record(1, 0, MemberStatus::Alive, "a.0");
        merge(forward, first, {});
        merge(backward, first, {});
        for (size_t i = 0; i < records.size(); ++i) {
            merge(forward, records[i], {});
            merge(backward, records[records.size() - 1 - i], {});
        }
        RC_ASSERT(forward.entries.at("1").record == backward.entries.at("1").record);
    }));
}

TEST_CASE("a raised refutation and a new process displace a death, and nothing displaces a leave")
{
    CHECK(supersedes(record(1, 1, MemberStatus::Alive), record(1, 0, MemberStatus::Dead)));
    CHECK(supersedes(record(1, 0, MemberStatus::Dead), record(1, 0, MemberStatus::Suspect)));
    CHECK(supersedes(record(2, 0, MemberStatus::Alive, "a.0"), record(1, 9, MemberStatus::Left)));
    CHECK(supersedes(record(1, 0, MemberStatus::Left), record(1, 9, MemberStatus::Alive)));
}

TEST_CASE("after any faults all hosts agree on who runs")
{
    CHECK(rc::check([] {
        MembershipNetwork network { 2, 3 };
        network.run(8s);
        for (const uint32_t choice : arbitraryScript(12)) {
            disturb(network, choice);
        }
        network.heal();
        network.run(60s);
        RC_ASSERT(network.agrees());
    }));
}

TEST_CASE("no live host that some reach is dead to all, as it is when the first miss kills")
{
    size_t naive = 0;
    for (uint32_t seed = 0; seed < 60; ++seed) {
        CHECK(wronglyDead({}, seed) == 0);
        naive += wronglyDead(firstMissOptions(), seed);
    }
    MESSAGE("killed on the first miss: ", naive, " wrong deaths seen by all");
    CHECK(naive > 0);
}

TEST_CASE("a paused host that returns is alive again everywhere and takes nobody for dead")
{
    MembershipNetwork network { 1, 5 };
    network.run(10s);
    network.pause(2);
    network.run(20s);
    CHECK(network.isDeadToAll(2));
    network.resume(2);
    network.run(1s);
    for (size_t i = 0; i < network.size(); ++i) {
        CHECK((i == 2 || network.believes(2, i) == MemberStatus::Alive));
    }
    network.run(10s);
    CHECK(network.agrees());
}

TEST_CASE("a paused host does not end the suspicions that it held while it could not hear a refutation")
{
    MembershipNetwork network { 1, 3 };
    network.run(10s);
    network.pause(1);
    network.run(4s);
    REQUIRE(network.believes(0, 1) == MemberStatus::Suspect);
    network.pause(0);
    network.resume(1);
    network.run(20s);
    network.resume(0, true);
    network.cut(1, 0);
    network.cut(2, 0);
    network.run(1s);
    CHECK(network.believes(0, 1) == MemberStatus::Suspect);
    network.heal();
    network.run(10s);
    CHECK(network.agrees());
}

TEST_CASE("a host replaced at the same address displaces the former one, also when that seemed alive")
{
    MembershipNetwork network { 2, 3 };
    network.run(10s);
    network.start(1);
    network.run(10s);
    CHECK(network.agrees());
}

TEST_CASE("whoever writes to a suspected host tells it so, and it refutes")
{
    MembershipState state;
    state.self.address = "2";
    state.self.failureDomain = "d";
    const MemberRecord suspect = record(1, 0, MemberStatus::Suspect);
    merge(state.table, suspect, {});
    state.table.rumours.clear();
    std::vector<MembershipAction> actions;
    const MembershipMessage ping { .sender = record(1, 0, MemberStatus::Alive), .views = {}, .rumours = {}, .body = Ping { 1 } };
    step(state, {}, MembershipReceived { ping }, MonotonicTime { 1h }, actions);
    REQUIRE(actions.size() == 1);
    const MembershipMessage ack = std::get<SendMembership>(actions[0]).message;
    CHECK(ack.rumours == std::vector { suspect });

    MembershipState suspected;
    suspected.self = ping.sender;
    step(suspected, {}, MembershipReceived { ack }, MonotonicTime { 1h }, actions);
    CHECK(suspected.self.refutation == 1);
}

TEST_CASE("a leaving host is out at once and stays out")
{
    MembershipNetwork network { 1, 5 };
    network.run(10s);
    network.leave(3);
    network.run(2s);
    CHECK(network.believes(0, 3) == MemberStatus::Left);
    network.stop(3);
    network.run(20s);
    CHECK(network.believes(0, 3) == MemberStatus::Left);
}

TEST_CASE("both sides of a cut between failure domains go on, and meet again although all relays were replaced")
{
    MembershipNetwork network { 2, 4 };
    network.run(10s);
    for (size_t i = 0; i < 4; ++i) {
        for (size_t j = 4; j < 8; ++j) {
            network.cut(i, j);
            network.cut(j, i);
        }
    }
    network.run(30s);
    CHECK(network.believes(0, 5) == MemberStatus::Alive);
    CHECK_FALSE(isDomainReachable(network.host(0).state, {}, "d1", network.now()));
    CHECK(presentMembers(network.host(0).state, "d0").size() == 4);
    for (const size_t i : { 0, 1, 2, 4, 5, 6 }) {
        network.start(i);
        network.run(10s);
    }
    network.heal();
    network.run(30s);
    CHECK(network.agrees());
    CHECK(isDomainReachable(network.host(0).state, {}, "d1", network.now()));
}

TEST_CASE("384 hosts in 8 failure domains stay within their bytes a second, whatever the number of hosts")
{
    for (const size_t hostsPerDomain : { 4U, 48U }) {
        MembershipNetwork network { 8, hostsPerDomain };
        network.run(20s);
        CHECK(network.agrees());
        network.forgetTraffic();
        network.run(10s);
        size_t most = 0;
        size_t total = 0;
        size_t messages = 0;
        for (size_t i = 0; i < network.size(); ++i) {
            most = std::max(most, network.host(i).bytesSent);
            total += network.host(i).bytesSent;
            messages += network.host(i).messagesSent;
        }
        MESSAGE(network.size(), " hosts at rest, sent in 10 s: mean ", total / network.size(), " bytes, most ", most, " bytes, mean ",
            static_cast<double>(messages) / static_cast<double>(network.size()), " messages");
        CHECK(most / 10 < 12'500); // half of 25 KB/s, the other half being for what is received
    }
}

} // namespace siskinspread
