#include "siskinspread/Rollout.h"

#include <doctest/doctest.h>

#include <deque>
#include <functional>
#include <random>
#include <vector>

using namespace siskinspread;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

const RolloutOptions options;
constexpr double canarySlack = 50; // requests; the bound of the deployments
constexpr milliseconds rollBackBound { 5000 };
constexpr uint64_t badAnswersOfBound = 50;

/** What a version makes of one request. */
struct Fate {
    double failing { 0 }; /**< Share of its answers. */
    double slow { 0 };
};

/** A service of two routes whose order is played against the decisions. */
struct Play {
    size_t hosts { 7 };
    double requestsPerSecond { 400 };
    milliseconds within { 30s };
    milliseconds longestRequest { 3s };
    milliseconds told { 500 }; /**< From an answer until all hosts know of it. */
    std::function<Fate(milliseconds age, uint64_t route, double share)> candidate = [](auto...) { return Fate {}; };
    std::function<Fate(milliseconds age, uint64_t route, double share)> before = [](auto...) { return Fate { .failing = 0.002, .slow = 0.03 }; };

    uint64_t all { 0 };
    uint64_t atCandidate { 0 };
    uint64_t badOfCandidate { 0 };
    std::optional<milliseconds> boundFrom; /**< When the candidate had given as many bad answers as the bound names. */
    uint64_t afterBound { 0 };
    RolloutState state { RolloutState::InProgress };
    milliseconds endedAt { 0 };

    void run()
    {
        constexpr milliseconds turn { 50 };
        std::mt19937_64 random { 5 };
        const auto draw = [&](double share) { return std::uniform_real_distribution { 0.0, 1.0 }(random) < share; };
        std::vector<CanaryCredit> credits(hosts);
        std::deque<std::pair<milliseconds, RolloutEvidence>> onTheWay;
        RolloutEvidence known;
        double share = trialShare(options);
        milliseconds steppedAt { 0 };
        for (milliseconds age { 0 }; age < within + 5s && state == RolloutState::InProgress; age += turn) {
            while (!onTheWay.empty() && onTheWay.front().first <= age) {
                addEvidence(known, onTheWay.front().second);
                onTheWay.pop_front();
            }
            const bool isFaulty = faultOf(known, options).has_value();
            RolloutEvidence seen;
            const auto requests = static_cast<size_t>(requestsPerSecond * turn.count() / 1000);
            for (size_t number = 0; number < requests; ++number) {
                const uint64_t route = draw(0.2) ? 2 : 1;
                const bool takes = share >= 1.0 || takesCanary(credits[random() % hosts], share);
                const auto use = versionUse({ .state = state, .isFaulty = isFaulty, .hearsPeers = true }, share, true, takes);
                const bool isCandidate = use == VersionUse::CandidateFirst;
                const auto fate = (isCandidate ? candidate : before)(age, route, share);
                auto& answers = isCandidate ? seen[{ .route = route }].candidate : seen[{ .route = route }].before;
                const bool fails = draw(fate.failing);
                const bool isSlow = draw(fate.slow);
                ++answers.answers;
                answers.failed += fails ? 1 : 0;
                answers.slow += isSlow ? 1 : 0;
                note(age, isCandidate, isCandidate && (fails || isSlow));
            }
            onTheWay.emplace_back(age + told, seen);
            const auto step = nextStep({ .age = age, .within = within, .longestRequest = longestRequest, .share = share, .sinceStep = age - steppedAt, .allHostsFollow = age - steppedAt > told, .requestsBefore = share >= 1.0 && age - steppedAt > longestRequest ? 0U : 1U, .placesBefore = 100, .placesOfCandidate = 100 }, isFaulty, options);
            if (step.action == RolloutStep::Action::Move) {
                share = step.share;
                steppedAt = age;
            } else if (step.action != RolloutStep::Action::Wait) {
                state = step.action == RolloutStep::Action::Complete ? RolloutState::Complete : RolloutState::RolledBack;
                endedAt = age;
            }
        }
    }

    void note(milliseconds age, bool isCandidate, bool isBad)
    {
        ++all;
        atCandidate += isCandidate ? 1 : 0;
        badOfCandidate += isBad ? 1 : 0;
        if (badOfCandidate >= badAnswersOfBound && !boundFrom) {
            boundFrom = age;
        }
        afterBound += isCandidate && boundFrom && age > *boundFrom + rollBackBound ? 1 : 0;
    }

    /** Checks what callers may be exposed to, as the deployments' bounds put it. */
    void checkFaultyEnds() const
    {
        const double expected = requestsPerSecond * std::chrono::duration<double>(within).count();
        CHECK(state == RolloutState::RolledBack);
        CHECK(endedAt <= within);
        CHECK(static_cast<double>(atCandidate) <= options.canaryShare * expected + canarySlack);
        CHECK(afterBound == 0);
    }
};

} // namespace

// Guards against callers being moved to a version that fails, or is slow, in each way in which it may show.
TEST_CASE("a faulty version is rolled back within the bounds")
{
    Play play;
    SUBCASE("fails at once")
    {
        play.candidate = [](auto...) { return Fate { .failing = 0.2 }; };
    }
    SUBCASE("a small part fails")
    {
        play.candidate = [](auto...) { return Fate { .failing = 0.06 }; };
    }
    SUBCASE("a part is several times slower")
    {
        play.candidate = [](auto...) { return Fate { .slow = 0.3 }; };
    }
    SUBCASE("fails later")
    {
        play.candidate = [](milliseconds age, auto...) { return Fate { .failing = age > 10s ? 0.2 : 0.0, .slow = 0.03 }; };
    }
    SUBCASE("is slow under load only")
    {
        play.candidate = [](auto, auto, double share) { return Fate { .slow = share > 0.3 ? 0.4 : 0.03 }; };
    }
    SUBCASE("fails on one route only")
    {
        play.candidate = [](auto, uint64_t route, auto) { return Fate { .failing = route == 2 ? 0.3 : 0.0 }; };
    }
    SUBCASE("fails, before eighty hosts")
    {
        play.hosts = 80;
        play.candidate = [](auto...) { return Fate { .failing = 0.25 }; };
    }
    SUBCASE("fails, while hosts hear each other late")
    {
        play.told = 2s;
        play.candidate = [](auto...) { return Fate { .failing = 0.25 }; };
    }
    play.run();
    play.checkFaultyEnds();
}

// Guards against a good version being blamed for trouble that hits both, and against orders that miss their deadline.
TEST_CASE("a good version is complete by the deadline")
{
    Play play;
    play.candidate = play.before;
    SUBCASE("in calm") { }
    SUBCASE("beside trouble that hits both versions")
    {
        play.candidate = [](milliseconds age, auto...) { return Fate { .failing = age > 5s && age < 9s ? 0.15 : 0.002, .slow = age > 5s && age < 9s ? 0.3 : 0.03 }; };
        play.before = play.candidate;
    }
    SUBCASE("with requests that last as long as half of the time")
    {
        play.longestRequest = 15s;
    }
    SUBCASE("with few requests")
    {
        play.requestsPerSecond = 20;
    }
    SUBCASE("in a short time")
    {
        play.within = 8s;
    }
    SUBCASE("before eighty hosts that hear each other late")
    {
        play.hosts = 80;
        play.told = 1500ms;
    }
    play.run();
    CHECK(play.state == RolloutState::Complete);
    CHECK(play.endedAt <= play.within);
}

// Guards against a sum over all hosts that exceeds the share while they do not hear each other.
// Guards against a good version being rolled back for four slow answers: each counted at its first byte and at its end (soak, seed 5).
TEST_CASE("an answer that is slow from its first byte on counts as one")
{
    RolloutEvidence evidence;
    for (const bool isWhole : { false, true }) {
        evidence[{ .route = 1, .isWhole = isWhole }] = { .before = { .answers = 400 }, .candidate = { .answers = 150, .slow = 4 } };
    }
    CHECK_FALSE(faultOf(evidence, {}));
    evidence[{ .route = 2, .isWhole = true }] = { .before = { .answers = 400 }, .candidate = { .answers = 10, .slow = 4 } };
    CHECK(faultOf(evidence, {}));
}

TEST_CASE("a host never sends more than its share of its own requests to a candidate on trial")
{
    CanaryCredit credit;
    uint64_t taken = 0;
    for (uint64_t number = 1; number <= 1000; ++number) {
        taken += takesCanary(credit, trialShare(options)) ? 1 : 0;
        CHECK(static_cast<double>(taken) <= trialShare(options) * static_cast<double>(number));
    }
    CHECK(taken >= 49);
}

// Guards against hosts that nothing can stop: one that hears no peers, or repeats of a request.
TEST_CASE("the candidate gets nothing from hosts without peers, nor repeats, nor once it is rolled back or faulty")
{
    const RolloutView onTrial { .state = RolloutState::InProgress, .hearsPeers = true };
    CHECK(versionUse(onTrial, 0.05, true, true) == VersionUse::CandidateFirst);
    CHECK(versionUse(onTrial, 0.05, true, false) == VersionUse::BeforeOnly);
    CHECK(versionUse(onTrial, 0.05, false, true) == VersionUse::BeforeOnly);
    CHECK(versionUse(onTrial, 1.0, false, false) == VersionUse::CandidateFirst);
    CHECK(versionUse({ .state = RolloutState::InProgress, .hearsPeers = false }, 1.0, true, true) == VersionUse::BeforeOnly);
    CHECK(versionUse({ .state = RolloutState::InProgress, .isFaulty = true, .hearsPeers = true }, 1.0, true, true) == VersionUse::BeforeOnly);
    CHECK(versionUse({ .state = RolloutState::RolledBack, .hearsPeers = true }, 1.0, true, true) == VersionUse::BeforeOnly);
    CHECK(versionUse({ .state = RolloutState::Complete }, 0, false, false) == VersionUse::CandidateFirst);
}

// Guards against requests that are cut off at the end: the old replicas stop at once when an order is complete.
TEST_CASE("an order is not complete while requests are at replicas of the version before, nor before all hosts follow")
{
    RolloutProgress progress { .age = 25s, .within = 30s, .longestRequest = 3s, .share = 1.0, .sinceStep = 2s, .allHostsFollow = true, .requestsBefore = 0, .placesBefore = 10, .placesOfCandidate = 10 };
    CHECK(nextStep(progress, false, options).action == RolloutStep::Action::Complete);
    progress.requestsBefore = 1;
    CHECK(nextStep(progress, false, options).action == RolloutStep::Action::Wait);
    progress.requestsBefore = 0;
    progress.allHostsFollow = false;
    CHECK(nextStep(progress, false, options).action == RolloutStep::Action::Wait);
    progress.allHostsFollow = true;
    CHECK(nextStep(progress, true, options).action == RolloutStep::Action::RollBack);
}

// Guards against all traffic being moved to a version that nobody has, or to too few replicas of it.
TEST_CASE("traffic is not moved while the candidate lacks replicas")
{
    RolloutProgress progress { .age = 29s, .within = 30s, .longestRequest = 3s, .share = trialShare(options), .sinceStep = 29s, .allHostsFollow = true, .placesBefore = 100, .placesOfCandidate = 0 };
    CHECK(nextStep(progress, false, options).action == RolloutStep::Action::Wait);
    progress.placesOfCandidate = 30;
    CHECK(nextStep(progress, false, options).action == RolloutStep::Action::Wait);
    progress.placesOfCandidate = 60;
    CHECK(nextStep(progress, false, options).action == RolloutStep::Action::Move);
}

TEST_CASE("what is usual on a route follows the answers, and one in fifty slow ones does not change it")
{
    UsualTime usual;
    CHECK_FALSE(isSeveralTimesUsual(usual, 10s));
    for (int number = 0; number < 500; ++number) {
        noteUsualTime(usual, number % 50 == 0 ? 2s : 20ms + std::chrono::milliseconds { number % 10 });
    }
    CHECK(usual.milliseconds == doctest::Approx(24).epsilon(0.25));
    CHECK(isSeveralTimesUsual(usual, 90ms));
    CHECK_FALSE(isSeveralTimesUsual(usual, 50ms));
}
