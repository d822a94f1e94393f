#include "siskinspread/PeerLiveness.h"

#include "MembershipNetwork.h"
#include "Script.h"

#include <doctest/doctest.h>

namespace siskinspread {

namespace {

    using namespace std::chrono_literals;

    /** Hosts that review each other, and beside them the naive verdict: no answer to the own question for five seconds. */
    class LivenessNetwork : public MembershipNetwork {
    public:
        LivenessNetwork(size_t domains, size_t hostsPerDomain, PeerLivenessOptions options = { .asksPlatform = true })
            : MembershipNetwork(domains, hostsPerDomain)
            , m_options(options)
            , m_states(size())
            , m_answeredAt(size(), std::vector<MonotonicTime>(size(), now()))
            , verdicts(size())
            , naiveEnded(size())
        {
            run(12s);
        }

        void run(std::chrono::milliseconds time)
        {
            for (const auto end = now() + time; now() < end;) {
                MembershipNetwork::run(500ms);
                for (size_t i = 0; i < size(); ++i) {
                    if (isAwake(i)) {
                        review(i);
                    }
                }
            }
        }

        /** The incarnation is in the slice map from now on. */
        IncarnationId expect(size_t index)
        {
            const MemberRecord& self = host(index).state.self;
            m_expected.push_back({ .incarnation = { self.incarnation }, .host = self.host, .failureDomain = self.failureDomain });
            return m_expected.back().incarnation;
        }

        /** Starts a new process, and the one before stays in the slice map. */
        void start(size_t index)
        {
            expect(index);
            MembershipNetwork::start(index);
            m_states[index % size()] = {};
        }

        /** @return whether those that were replaced count as ended everywhere. */
        bool areReplacedEnded()
        {
            return std::all_of(m_expected.begin(), m_expected.end(), [this](const ExpectedPeer& peer) {
                return judgesOf(peer.incarnation) == size();
            });
        }

        void cutBetween(const std::vector<size_t>& ones, const std::vector<size_t>& others)
        {
            for (const size_t one : ones) {
                for (const size_t other : others) {
                    cut(one, other);
                    cut(other, one);
                }
            }
        }

        bool isAwake(size_t index) { return host(index).running && !host(index).paused; }

        /** @return hosts at which another's incarnation counts as ended. */
        size_t judgesOf(const IncarnationId& incarnation)
        {
            size_t count = 0;
            for (size_t i = 0; i < size(); ++i) {
                count += isAwake(i) && verdicts[i].ended.contains(incarnation);
            }
            return count;
        }

        bool isGoneAt(size_t index, const IncarnationId& incarnation) const { return m_states[index].gone.contains(incarnation); }

        /** @return how often a host that runs counts as ended at another one. */
        size_t wrongVerdicts()
        {
            size_t count = 0;
            for (size_t i = 0; i < size(); ++i) {
                count += isAwake(i) ? judgesOf({ host(i).state.self.incarnation }) : 0;
            }
            return count;
        }

        size_t naiveVerdicts() const
        {
            size_t count = 0;
            for (const auto& ended : naiveEnded) {
                count += ended.size();
            }
            return count;
        }

        void platformSaysEnded(size_t index)
        {
            for (size_t i = 0; i < size(); ++i) {
                takeHostEnded(m_states[i], host(index).state.self.host);
            }
        }

    private:
        void review(size_t index)
        {
            verdicts[index] = reviewPeers(m_states[index], m_options, host(index).state, {}, m_expected, now());
            for (size_t peer = 0; peer < size(); ++peer) {
                if (isAwake(peer) && !isCut(index, peer) && !isCut(peer, index)) {
                    m_answeredAt[index][peer] = now();
                } else if (peer != index && now() > m_answeredAt[index][peer] + 5s) {
                    naiveEnded[index].insert(peer);
                }
            }
        }

        PeerLivenessOptions m_options;
        std::vector<PeerLivenessState> m_states;
        std::vector<ExpectedPeer> m_expected;
        std::vector<std::vector<MonotonicTime>> m_answeredAt;

    public:
        std::vector<PeerVerdicts> verdicts;
        std::vector<std::set<size_t>> naiveEnded;
    };

} // namespace

TEST_CASE("hosts of a failure domain that is cut off are not held to have ended, on either side")
{
    LivenessNetwork hosts { 2, 3 };
    hosts.expect(0);
    hosts.expect(4);
    hosts.cutBetween({ 0, 1, 2 }, { 3, 4, 5 });
    hosts.run(60s);
    CHECK(hosts.wrongVerdicts() == 0);
    CHECK(hosts.naiveVerdicts() == 18);
    CHECK(hosts.verdicts[0].live.size() == 3);
    CHECK(hosts.verdicts[0].inDoubt == std::set<std::string> { "h1004" });
    CHECK(hosts.verdicts[5].inDoubt == std::set<std::string> { "h1000" });
}

TEST_CASE("a host that hears nobody, or whom nobody hears, judges nobody")
{
    for (const bool isDeaf : { true, false }) {
        LivenessNetwork hosts { 2, 4 };
        for (size_t other = 1; other < hosts.size(); ++other) {
            hosts.cut(isDeaf ? other : 0, isDeaf ? 0 : other);
        }
        size_t wrong = 0;
        for (int i = 0; i < 60; ++i) {
            hosts.run(1s);
            wrong += hosts.verdicts[0].ended.size();
        }
        CHECK(wrong == 0);
        CHECK(hosts.naiveEnded[0].size() == 7);
        CHECK(hosts.judgesOf({ hosts.host(0).state.self.incarnation }) == 7); // nobody can be answered by it
    }
}

TEST_CASE("the two hosts of a failure domain that lost each other are vouched for by hosts of other domains")
{
    LivenessNetwork hosts { 3, 2 };
    hosts.cutBetween({ 0 }, { 1 });
    size_t wrong = 0;
    for (int i = 0; i < 60; ++i) {
        hosts.run(1s);
        wrong += hosts.wrongVerdicts();
    }
    CHECK(wrong == 0);
    CHECK(hosts.naiveVerdicts() == 2);
}

TEST_CASE("a host that died is ended at all others")
{
    LivenessNetwork hosts { 4, 2 };
    const IncarnationId dead = hosts.expect(0);
    hosts.stop(0);
    std::vector<int> seconds;
    for (int i = 1; i <= 20; ++i) {
        hosts.run(1s);
        if (hosts.judgesOf(dead) == 7) {
            seconds.push_back(i);
        }
    }
    REQUIRE_FALSE(seconds.empty());
    MESSAGE("ended at all seven others after ", seconds.front(), " s");
    CHECK(hosts.wrongVerdicts() == 0);
}

TEST_CASE("a host replaced at its address ends the former incarnation for certain, whichever name sorts first")
{
    LivenessNetwork hosts { 2, 3 };
    for (int i = 0; i < 3; ++i) {
        const size_t replaced = 1 + i % 2;
        const IncarnationId former { hosts.host(replaced).state.self.incarnation };
        hosts.MembershipNetwork::run(500ms); // between the probes of the others
        hosts.start(replaced);
        hosts.run(6s);
        CHECK(hosts.judgesOf(former) == 6);
        CHECK(hosts.isGoneAt(0, former));
        CHECK(hosts.isGoneAt(5, former));
        CHECK(hosts.wrongVerdicts() == 0);
    }
}

TEST_CASE("a paused host counts as ended, judges nobody when it wakes, and is back")
{
    LivenessNetwork hosts { 2, 3 };
    const IncarnationId paused = hosts.expect(1);
    hosts.pause(1);
    hosts.run(20s);
    CHECK(hosts.judgesOf(paused) == 5);
    hosts.resume(1, true);
    for (int i = 0; i < 30; ++i) {
        hosts.run(500ms);
        CHECK(hosts.verdicts[1].ended.empty());
    }
    CHECK(hosts.judgesOf(paused) == 0);
}

TEST_CASE("a failure domain that is lost whole is ended when the platform says so")
{
    LivenessNetwork hosts { 3, 2 };
    const IncarnationId lost = hosts.expect(1);
    hosts.stop(0);
    hosts.stop(1);
    hosts.run(60s);
    CHECK(hosts.judgesOf(lost) == 0);
    CHECK(hosts.verdicts[2].inDoubt.contains("h1001"));
    hosts.platformSaysEnded(1);
    hosts.run(1s);
    CHECK(hosts.judgesOf(lost) == 4);
    CHECK_FALSE(hosts.verdicts[2].inDoubt.contains("h1001"));
}

TEST_CASE("where no platform can be asked, the silence of a whole failure domain ends its hosts")
{
    LivenessNetwork hosts { 2, 1, { .asksPlatform = false } };
    const IncarnationId lost = hosts.expect(1);
    hosts.stop(1);
    hosts.run(8s);
    CHECK(hosts.judgesOf(lost) == 0);
    hosts.run(4s);
    CHECK(hosts.judgesOf(lost) == 1);
}

TEST_CASE("an incarnation that only the slice map names ends in time, and a goodbye ends one at once")
{
    PeerLivenessState state;
    MembershipState membership;
    membership.self = { .address = "1", .host = "a", .failureDomain = "d", .incarnation = "a.1" };
    const MonotonicTime start { 1h };
    const auto endedAfter = [&](const std::string& incarnation, std::chrono::milliseconds time) {
        const std::vector<ExpectedPeer> expected { { .incarnation = { incarnation }, .host = "b", .failureDomain = "d" } };
        return reviewPeers(state, {}, membership, {}, expected, start + time).ended.contains({ incarnation });
    };
    for (auto time = 0s; time < 10s; time += 1s) {
        CHECK_FALSE(endedAfter("b.1", time));
    }
    CHECK(endedAfter("b.1", 10s));
    takeGoodbye(state, { "b.2" });
    CHECK(endedAfter("b.2", 11s));
}

TEST_CASE("after any faults nobody who runs is held to have ended, and all that were replaced are")
{
    CHECK(rc::check([] {
        LivenessNetwork hosts { 2, 3 };
        for (const uint32_t choice : arbitraryScript(12)) {
            disturb(hosts, choice);
        }
        hosts.heal();
        hosts.run(60s);
        RC_ASSERT(hosts.wrongVerdicts() == 0U);
        RC_ASSERT(hosts.areReplacedEnded());
        for (const PeerVerdicts& verdicts : hosts.verdicts) {
            RC_ASSERT(verdicts.live.size() == hosts.size());
            RC_ASSERT(verdicts.inDoubt.empty());
        }
    }));
}

} // namespace siskinspread
