// Plays hosts that tell each other of crashes in messages that are late and sometimes lost.
#include "siskinspread/PromptQuarantine.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>

using namespace siskinspread;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds step { 50 };
constexpr milliseconds crashDelay { 60 }; // from the beginning of an answer to the crash that it causes
constexpr milliseconds downTime { 3400 };
constexpr milliseconds soundAfter { 500 };
constexpr milliseconds crashWindow { 1000 };
constexpr milliseconds answerTime { 2000 };
constexpr uint64_t firstCrashingPart = 1'000'000;
constexpr size_t mostAfterBound = 3;

const BootTime start { 1h };

struct Deployment {
    size_t hosts { 7 };
    size_t domains { 4 };
    size_t replicas { 18 };
    milliseconds turn { 200 }; /**< In which a host tells each of the others once. */
    milliseconds bound { 3000 }; /**< From the fifth crash on. */
    double soundPerSecond { 90 };
    double crashingPerSecond { 1.4 };
    size_t crashingParts { 1 };
    double lost { 0.05 }; /**< Share of messages. */
};

struct Host {
    CrashEvidence evidence;
    SuspectParts suspects;
    bool judged { true };
    bool cutOff { false };
};

struct Run {
    size_t host { 0 };
    std::vector<uint64_t> parts;
    bool crashing { false };
    uint64_t id { 0 };
    BootTime sentAt;
    BootTime beginsAt;
};

struct Replica {
    uint64_t identity { 0 };
    BootTime downUntil;
    std::vector<Run> runs;
};

struct Outcome {
    std::map<uint64_t, size_t> sentAfterBound; /**< Requests by the part that crashes replicas. */
    size_t soundSent { 0 };
    size_t soundHeld { 0 };
    bool anythingHeld { false };
};

class Play {
public:
    Play(const Deployment& deployment, uint64_t seed)
        : m_deployment(deployment)
        , m_random(seed)
        , m_hosts(deployment.hosts)
        , m_replicas(deployment.replicas)
    {
        for (auto& replica : m_replicas) {
            replica.identity = ++m_identities;
        }
    }

    /** @param crashing until when requests with parts that crash replicas come. */
    void run(BootTime until, BootTime crashing)
    {
        for (; m_now < until; m_now += step) {
            exchange();
            answer();
            arrive(m_deployment.soundPerSecond, 0);
            if (m_now < crashing) {
                arrive(m_deployment.crashingPerSecond, m_deployment.crashingParts);
            }
        }
    }

    void loseDomain(size_t domain)
    {
        for (size_t i = domain; i < m_replicas.size(); i += m_deployment.domains) {
            crash(i, m_now);
        }
    }

    BootTime now() const { return m_now; }
    std::vector<Host>& hosts() { return m_hosts; }
    const Outcome& outcome() const { return m_outcome; }

private:
    size_t draw(size_t count) { return std::uniform_int_distribution<size_t> { 0, count - 1 }(m_random); }

    bool holds(Host& host, const std::vector<uint64_t>& parts)
    {
        if (!host.judged) {
            host.suspects = suspectParts(host.evidence, m_options);
            host.judged = true;
        }
        std::vector<PromptPart> prompt;
        prompt.reserve(parts.size());
        for (const auto part : parts) {
            prompt.push_back({ .id = part });
        }
        return decisivePart(host.suspects, prompt, m_options).has_value();
    }

    void note(Host& host, CrashReport report)
    {
        if (noteCrash(host.evidence, std::move(report), m_options, m_now)) {
            host.judged = false;
        }
    }

    void arrive(double perSecond, size_t crashingParts)
    {
        const double share = std::chrono::duration<double>(step).count();
        const auto count = std::poisson_distribution<size_t> { perSecond * share }(m_random);
        for (size_t i = 0; i < count; ++i) {
            send(crashingParts);
        }
    }

    void send(size_t crashingParts)
    {
        // A few first parts that many requests share, and a subject that few do.
        Run run { .host = draw(m_hosts.size()), .parts = { draw(6), 100 + draw(300) }, .crashing = crashingParts > 0, .id = ++m_requests, .sentAt = m_now };
        if (run.crashing) {
            run.parts = { run.parts[0] % 2, firstCrashingPart + draw(crashingParts) };
        }
        const auto counted = m_crashesOfParts.find(run.parts.back());
        const bool isLate = counted != m_crashesOfParts.end() && counted->second.size() >= 5 && m_now >= counted->second[4] + m_deployment.bound;
        const bool isCounted = m_now >= start + 3 * m_deployment.bound;
        auto& host = m_hosts[run.host];
        if (holds(host, run.parts)) {
            m_outcome.anythingHeld = true;
            m_outcome.soundHeld += !run.crashing && isCounted ? 1 : 0;
            return;
        }
        m_outcome.soundSent += !run.crashing && isCounted ? 1 : 0;
        m_outcome.sentAfterBound[run.parts.back()] += run.crashing && isLate && !host.cutOff ? 1 : 0;
        std::vector<size_t> up;
        for (size_t i = 0; i < m_replicas.size(); ++i) {
            if (m_now >= m_replicas[i].downUntil) {
                up.push_back(i);
            }
        }
        if (!up.empty()) {
            run.beginsAt = m_now + milliseconds { 60 + draw(400) };
            m_replicas[up[draw(up.size())]].runs.push_back(std::move(run));
        }
    }

    void answer()
    {
        for (size_t i = 0; i < m_replicas.size(); ++i) {
            auto& runs = m_replicas[i].runs;
            const auto deadly = std::find_if(runs.begin(), runs.end(), [&](const Run& run) { return run.crashing && m_now >= run.beginsAt + crashDelay; });
            if (deadly != runs.end()) {
                m_crashesOfParts[deadly->parts.back()].push_back(m_now);
                crash(i, m_now);
                continue;
            }
            for (const auto& run : runs) {
                if (m_now >= run.beginsAt + soundAfter && m_now < run.beginsAt + soundAfter + step) {
                    for (const auto part : run.parts) {
                        if (noteSound(m_hosts[run.host].evidence, part, run.beginsAt, m_now)) {
                            m_hosts[run.host].judged = false;
                        }
                    }
                }
            }
            std::erase_if(runs, [&](const Run& run) { return m_now >= run.beginsAt + answerTime; });
        }
    }

    void crash(size_t index, BootTime at)
    {
        auto& replica = m_replicas[index];
        std::map<size_t, BootTime> answeredAt;
        for (const auto& run : replica.runs) {
            if (run.beginsAt <= at) {
                answeredAt[run.host] = std::max(answeredAt[run.host], run.sentAt);
            }
        }
        for (const auto& run : replica.runs) {
            if (at < run.beginsAt + crashWindow) {
                const auto answered = answeredAt.find(run.host);
                note(m_hosts[run.host], { .id = run.id, .replica = replica.identity, .failureDomain = index % m_deployment.domains, .sentAt = run.sentAt, .crashedAt = at, .answeredAt = answered == answeredAt.end() ? std::nullopt : std::optional { answered->second }, .parts = run.parts, .firstHand = true });
            }
        }
        replica = { .identity = ++m_identities, .downUntil = at + downTime };
    }

    /** Each host tells the others in turn, at times of its own. */
    void exchange()
    {
        const auto steps = static_cast<size_t>(m_deployment.turn / step);
        const auto now = static_cast<size_t>((m_now - start) / step);
        for (size_t from = 0; from < m_hosts.size(); ++from) {
            const auto told = evidenceToTell(m_hosts[from].evidence, false, now, m_options, m_now);
            if (told.reports.empty() && told.sound.empty()) {
                continue;
            }
            // The receivers change while this is told, the sender does not.
            for (size_t to = 0; to < m_hosts.size(); ++to) {
                const bool isTurn = (from * 7919 + to * 104729) % steps == now % steps;
                if (to != from && isTurn && !m_hosts[from].cutOff && !m_hosts[to].cutOff && !std::bernoulli_distribution { m_deployment.lost }(m_random)) {
                    tell(from, told, to);
                }
            }
        }
    }

    void tell(size_t from, const EvidenceToTell& told, size_t to)
    {
        auto& host = m_hosts[to];
        for (const auto* report : told.reports) {
            auto copy = *report;
            copy.firstHand = false;
            note(host, std::move(copy));
        }
        for (const auto part : told.sound) {
            if (noteSound(host.evidence, part, m_hosts[from].evidence.sound.at(part).begunAt, m_now)) {
                host.judged = false;
            }
        }
    }

    Deployment m_deployment;
    QuarantineOptions m_options;
    std::mt19937_64 m_random;
    std::vector<Host> m_hosts;
    std::vector<Replica> m_replicas;
    BootTime m_now { start };
    std::map<uint64_t, std::vector<BootTime>> m_crashesOfParts;
    Outcome m_outcome;
    uint64_t m_identities { 0 };
    uint64_t m_requests { 0 };
};

const Deployment small {};
const Deployment grown { .hosts = 77, .domains = 3, .replicas = 60, .turn = milliseconds { 600 }, .bound = milliseconds { 4000 }, .soundPerSecond = 400, .crashingPerSecond = 11 };
const Deployment large { .hosts = 295, .domains = 6, .replicas = 240, .turn = milliseconds { 2700 }, .bound = milliseconds { 5000 }, .soundPerSecond = 900, .crashingPerSecond = 15 };

void checkHeld(const Deployment& deployment, uint64_t seeds)
{
    for (uint64_t seed = 0; seed < seeds; ++seed) {
        CAPTURE(seed);
        Play play { deployment, seed };
        play.run(start + 20s, start + 20s);
        const auto& outcome = play.outcome();
        for (const auto& [part, sent] : outcome.sentAfterBound) {
            CHECK(sent <= mostAfterBound);
        }
        CHECK(outcome.soundHeld * 20 <= outcome.soundSent + outcome.soundHeld);
        CHECK(outcome.soundSent > 0);
    }
}

} // namespace

TEST_CASE("seven hosts hold back a part that crashes replicas, and nothing that shares its other parts")
{
    checkHeld(small, 20);
    auto seldom = small;
    seldom.crashingPerSecond = 0.4;
    checkHeld(seldom, 20);
    auto often = small;
    often.crashingPerSecond = 6;
    checkHeld(often, 20);
}

TEST_CASE("two parts that crash replicas at once are held back by seven hosts")
{
    auto both = small;
    both.crashingParts = 2;
    both.crashingPerSecond = 2.8;
    checkHeld(both, 20);
}

TEST_CASE("77 hosts hold back a part that crashes replicas")
{
    checkHeld(grown, 2);
}

TEST_CASE("295 hosts hold back a part that crashes replicas, of which most have seen no crash")
{
    checkHeld(large, 1);
}

TEST_CASE("without a part that crashes replicas the loss of failure domains holds nothing back")
{
    for (uint64_t seed = 0; seed < 20; ++seed) {
        CAPTURE(seed);
        auto calm = small;
        calm.crashingPerSecond = 0;
        Play play { calm, seed };
        for (size_t wave = 0; wave < 6; ++wave) {
            play.run(play.now() + 2s, start);
            play.loseDomain(wave % calm.domains);
            play.loseDomain((wave + 1) % calm.domains);
        }
        play.run(play.now() + 4s, start);
        CHECK_FALSE(play.outcome().anythingHeld);
    }
}

TEST_CASE("a host that was cut off learns what the others hold back")
{
    Play play { small, 1 };
    play.hosts()[0].cutOff = true;
    play.run(start + 10s, start + 10s);
    play.hosts()[0].cutOff = false;
    play.run(start + 11s, start + 10s);
    const QuarantineOptions options;
    const auto& suspects = suspectParts(play.hosts()[0].evidence, options);
    CHECK(suspects.contains(firstCrashingPart));
}
