#include "siskinspread/PromptQuarantine.h"

#include <doctest/doctest.h>

using namespace siskinspread;
using namespace std::chrono_literals;

namespace {

constexpr uint64_t firstPart = 0xa1;
constexpr uint64_t crashingPart = 0xdd;
constexpr uint64_t otherPart = 0xee;

const BootTime start { 1h };

std::vector<PromptPart> prompt(std::initializer_list<uint64_t> parts)
{
    std::vector<PromptPart> result;
    for (const auto part : parts) {
        result.push_back({ .id = part, .tokens = 10 });
    }
    return result;
}

/** A host's knowledge, and the crashes that it sees. */
struct Observer {
    QuarantineOptions options;
    CrashEvidence evidence;
    uint64_t replicas { 0 };

    /** A replica of the failure domain crashes with one request in progress that was sent 100 ms before. */
    void crash(BootTime at, uint64_t domain, std::vector<uint64_t> parts, std::chrono::milliseconds inProgress = 100ms)
    {
        ++replicas;
        noteCrash(evidence, { .id = replicas * 100, .replica = replicas, .failureDomain = domain, .sentAt = at - inProgress, .crashedAt = at, .parts = std::move(parts), .firstHand = true }, options, at);
    }

    bool holds(std::initializer_list<uint64_t> parts) const { return decisivePart(suspectParts(evidence, options), prompt(parts), options).has_value(); }
};

/** Three replicas crash under the part, a second apart. */
Observer afterThreeCrashes(const std::vector<uint64_t>& parts = { crashingPart })
{
    Observer observer;
    for (uint64_t i = 0; i < 3; ++i) {
        observer.crash(start + i * 1s, i, parts);
    }
    return observer;
}

} // namespace

TEST_CASE("a part is suspected after three crashes and not before")
{
    Observer observer;
    observer.crash(start, 0, { crashingPart });
    observer.crash(start + 1s, 1, { crashingPart });
    CHECK_FALSE(observer.holds({ crashingPart }));
    observer.crash(start + 2s, 2, { crashingPart });
    CHECK(observer.holds({ crashingPart }));
    CHECK(observer.holds({ firstPart, crashingPart }));
    CHECK_FALSE(observer.holds({ firstPart }));
}

TEST_CASE("replicas of one failure domain that crash together count as one crash")
{
    Observer observer;
    for (int i = 0; i < 8; ++i) {
        observer.crash(start + i * 100ms, 0, { crashingPart }, 10ms);
    }
    CHECK_FALSE(observer.holds({ crashingPart }));
}

// Guards against a part that crashes the replicas of one failure domain fast: five crashes within 0.9 s counted as one (soak, seed 9103).
TEST_CASE("crashes in one failure domain count apart where each replica answered after the one before")
{
    Observer observer;
    const auto crash = [&](std::chrono::milliseconds after, std::optional<std::chrono::milliseconds> answeredAfter) {
        observer.crash(start + after, 0, { crashingPart }, 40ms);
        if (answeredAfter) {
            observer.evidence.reports.back().answeredAt = start + *answeredAfter;
        }
    };
    crash(0ms, -40ms);
    crash(353ms, 313ms);
    CHECK_FALSE(observer.holds({ crashingPart }));
    SUBCASE("not where the last one did not answer in between")
    {
        crash(885ms, 300ms);
        CHECK_FALSE(observer.holds({ crashingPart }));
    }
    SUBCASE("not where nothing is known of its answers")
    {
        crash(885ms, std::nullopt);
        CHECK_FALSE(observer.holds({ crashingPart }));
    }
    SUBCASE("not where they crashed together")
    {
        crash(440ms, 400ms);
        CHECK_FALSE(observer.holds({ crashingPart }));
    }
    SUBCASE("not where an answer on the part has gone on lately")
    {
        noteSound(observer.evidence, crashingPart, start - 1s, start - 500ms);
        crash(885ms, 845ms);
        CHECK_FALSE(observer.holds({ crashingPart }));
    }
    SUBCASE("where all of them did")
    {
        crash(885ms, 845ms);
        CHECK(observer.holds({ crashingPart }));
    }
}

TEST_CASE("replicas of several failure domains that crash while all requests are in progress count as one crash")
{
    Observer observer;
    for (uint64_t i = 0; i < 8; ++i) {
        observer.crash(start + i * 10ms, i, { crashingPart }, 100ms);
    }
    CHECK_FALSE(observer.holds({ crashingPart }));
}

TEST_CASE("a request that is repeated after each crash makes crashes that count apart")
{
    Observer observer;
    for (uint64_t i = 0; i < 3; ++i) {
        observer.crash(start + i * 50ms, i, { crashingPart }, 45ms);
    }
    CHECK(observer.holds({ crashingPart }));
}

TEST_CASE("several requests at one replica are one crash")
{
    Observer observer;
    for (uint64_t i = 0; i < 5; ++i) {
        noteCrash(observer.evidence, { .id = i, .replica = 1, .failureDomain = 0, .sentAt = start, .crashedAt = start + i * 2s, .parts = { crashingPart } }, observer.options, start);
    }
    CHECK_FALSE(observer.holds({ crashingPart }));
}

TEST_CASE("an answer that begins after the crashes and goes on ends the suspicion")
{
    auto observer = afterThreeCrashes();
    CHECK(noteSound(observer.evidence, crashingPart, start + 3s, start + 4s));
    CHECK_FALSE(observer.holds({ crashingPart }));
    SUBCASE("also where a report comes later")
    {
        observer.crash(start + 2500ms, 7, { crashingPart });
        CHECK(observer.evidence.reports.empty());
    }
    SUBCASE("but says nothing of later crashes")
    {
        for (uint64_t i = 0; i < 3; ++i) {
            observer.crash(start + 5s + i * 1s, i, { crashingPart });
        }
        CHECK(observer.holds({ crashingPart }));
    }
}

TEST_CASE("an answer that began before a crash does not clear it")
{
    auto observer = afterThreeCrashes();
    CHECK(noteSound(observer.evidence, crashingPart, start + 500ms, start + 4s));
    observer.crash(start + 3s, 3, { crashingPart });
    CHECK(observer.holds({ crashingPart }));
}

TEST_CASE("a replica that answers soon after its connections broke has not crashed")
{
    auto observer = afterThreeCrashes();
    const auto report = observer.evidence.reports.back();
    CHECK_FALSE(noteAlive(observer.evidence, report.replica, report.crashedAt - 1ms, observer.options));
    CHECK_FALSE(noteAlive(observer.evidence, report.replica, report.crashedAt + 3s, observer.options)); // it may have started again
    CHECK(observer.holds({ crashingPart }));
    CHECK(noteAlive(observer.evidence, report.replica, report.crashedAt + 200ms, observer.options));
    CHECK_FALSE(observer.holds({ crashingPart }));
    CHECK_FALSE(noteCrash(observer.evidence, report, observer.options, start + 3s));
    CHECK(evidenceToTell(observer.evidence, false, 0, observer.options, start + 3s).alive == std::vector<uint64_t> { report.replica });
}

// Guards against crashes being forgotten: an answer from before a crash took it back where the connections had been reset a moment earlier.
TEST_CASE("an answer takes back what it follows and not a crash after it")
{
    auto observer = afterThreeCrashes();
    const auto last = observer.evidence.reports.back();
    auto reset = last;
    reset.id += 1;
    reset.crashedAt = last.crashedAt - 400ms;
    reset.sentAt = reset.crashedAt - 50ms;
    noteCrash(observer.evidence, reset, observer.options, last.crashedAt);
    CHECK(noteAlive(observer.evidence, last.replica, last.crashedAt - 200ms, observer.options));
    CHECK(observer.holds({ crashingPart }));
    CHECK(crashOf(observer.evidence, last.replica, start) == last.crashedAt);
}

TEST_CASE("replicas of one failure domain that crash together count once for a part at most of them, and not at all for others")
{
    Observer observer;
    for (uint64_t burst = 0; burst < 3; ++burst) {
        for (uint64_t i = 0; i < 3; ++i) {
            observer.crash(start + burst * 2s + i * 30ms, 0, { crashingPart, otherPart + i });
        }
    }
    CHECK(observer.holds({ crashingPart }));
    CHECK_FALSE(observer.holds({ otherPart }));
}

TEST_CASE("a part on which answers have gone on lately is tried sooner, once")
{
    auto observer = afterThreeCrashes();
    noteSound(observer.evidence, crashingPart, start - 1s, start);
    const auto& options = observer.options;
    const auto until = suspectParts(observer.evidence, options).at(crashingPart).heldUntil;
    CHECK(until == start + 2s + options.firstHoldOfSound);
    observer.crash(until + 1s, 1, { crashingPart });
    CHECK(suspectParts(observer.evidence, options).at(crashingPart).heldUntil == until + 1s + options.firstHold);
}

TEST_CASE("a part beside the one that crashes replicas is served without it")
{
    auto observer = afterThreeCrashes({ firstPart, crashingPart });
    CHECK(observer.holds({ firstPart, crashingPart }));
    CHECK_FALSE(observer.holds({ firstPart }));
    SUBCASE("until it crashes replicas by itself")
    {
        observer.crash(start + 3s, 3, { firstPart });
        CHECK(observer.holds({ firstPart }));
    }
}

// Guards against sound requests being refused: a reset on the way beside three crashes of one part held back every request of its customer.
TEST_CASE("a part with sound answers is suspected only for crashes that no other part explains")
{
    Observer observer;
    noteSound(observer.evidence, firstPart, start - 1s, start - 500ms);
    for (uint64_t i = 0; i < 3; ++i) {
        observer.crash(start + i * 1s, i, { firstPart, crashingPart });
    }
    observer.crash(start + 3s, 3, { firstPart });
    observer.crash(start + 4s, 4, { firstPart });
    CHECK_FALSE(observer.holds({ firstPart }));
    CHECK(observer.holds({ firstPart, crashingPart }));
    observer.crash(start + 5s, 5, { firstPart });
    CHECK(observer.holds({ firstPart }));
}

// Guards against the same while a report of the crashing part has not arrived yet, so that this part is not suspected itself.
TEST_CASE("a part with sound answers is not suspected for crashes at two of which a part without any was in progress")
{
    Observer observer;
    noteSound(observer.evidence, firstPart, start - 1s, start - 500ms);
    observer.crash(start, 0, { firstPart, crashingPart });
    observer.crash(start + 1s, 1, { firstPart, crashingPart });
    observer.crash(start + 2s, 2, { firstPart });
    CHECK_FALSE(observer.holds({ firstPart }));
}

// Guards against the same while a host that has just started knows a part of the reports only, and no sound answers.
TEST_CASE("a host that has just started takes a part for a suspect only for crashes that no other part explains")
{
    Observer observer;
    observer.evidence.isComplete = false;
    observer.crash(start, 0, { firstPart, crashingPart });
    observer.crash(start + 1s, 1, { firstPart, crashingPart });
    observer.crash(start + 2s, 2, { firstPart });
    CHECK_FALSE(observer.holds({ firstPart }));
    observer.crash(start + 3s, 3, { firstPart, crashingPart });
    CHECK_FALSE(observer.holds({ firstPart }));
    CHECK(observer.holds({ firstPart, crashingPart }));
    observer.evidence.isComplete = true;
    CHECK(observer.holds({ firstPart }));
}

// Guards against sound requests being refused at a host that has just started: it has seen no answers, and learnt of the crashes only.
TEST_CASE("a host that joins learns which parts of the reports have had sound answers")
{
    Observer observer;
    for (uint64_t i = 0; i < 3; ++i) {
        observer.crash(start + i * 1s, i, { firstPart, crashingPart });
    }
    observer.crash(start + 3s, 3, { firstPart });
    noteSound(observer.evidence, firstPart, start - 1s, start);
    noteSound(observer.evidence, otherPart, start - 1s, start);
    CHECK(evidenceToTell(observer.evidence, true, 0, observer.options, start + 4s).sound == std::vector<uint64_t> { firstPart });
    CHECK(evidenceToTell(observer.evidence, false, 0, observer.options, start + 4s).sound.empty());
}

TEST_CASE("two parts that crash replicas do not bring the part that they share under suspicion")
{
    Observer observer;
    for (uint64_t i = 0; i < 6; ++i) {
        observer.crash(start + i * 1s, i, { firstPart, i % 2 == 0 ? crashingPart : otherPart });
    }
    CHECK(observer.holds({ firstPart, crashingPart }));
    CHECK(observer.holds({ firstPart, otherPart }));
    CHECK_FALSE(observer.holds({ firstPart }));
}

TEST_CASE("a hold ends, one host may try first, and a further crash doubles the next hold")
{
    auto observer = afterThreeCrashes();
    const auto& options = observer.options;
    const auto lastCrash = start + 2s;
    const auto suspect = suspectParts(observer.evidence, options).at(crashingPart);
    CHECK(suspect.heldUntil == lastCrash + options.firstHold);
    CHECK(trialHosts(suspect, options, suspect.heldUntil - 1ms) == 0);
    CHECK(trialHosts(suspect, options, suspect.heldUntil) == 1);
    CHECK(trialHosts(suspect, options, suspect.heldUntil + 2 * options.trialInterval) == 4);
    CHECK(trialHosts(suspect, options, suspect.heldUntil + 24h) > 380);
    const auto trialCrash = suspect.heldUntil + 1s;
    observer.crash(trialCrash, 1, { crashingPart });
    CHECK(suspectParts(observer.evidence, options).at(crashingPart).heldUntil == trialCrash + 2 * options.firstHold);
}

TEST_CASE("what is told again neither doubles a report nor changes its crash")
{
    auto observer = afterThreeCrashes();
    auto again = observer.evidence.reports.front();
    again.crashedAt += 3ms;
    CHECK_FALSE(noteCrash(observer.evidence, again, observer.options, start + 10s));
    CHECK(observer.evidence.reports.size() == 3);
    CHECK(observer.evidence.reports.front().crashedAt == start);
}

TEST_CASE("reports are bounded and those of suspected parts stay")
{
    auto observer = afterThreeCrashes();
    for (uint64_t i = 0; i < 2 * observer.options.maxReports; ++i) {
        observer.crash(start + 3s, 9, { 1000 + i });
    }
    CHECK(observer.evidence.reports.size() <= observer.options.maxReports);
    CHECK(observer.holds({ crashingPart }));
    std::vector<uint64_t> many(10 * observer.options.maxParts);
    observer.crash(start + 4s, 9, many);
    CHECK(observer.evidence.reports.back().parts.size() == observer.options.maxParts);
}

TEST_CASE("of a part that crashes many replicas the newest crashes are kept")
{
    Observer observer;
    constexpr uint64_t crashes = 200;
    for (uint64_t i = 0; i < crashes; ++i) {
        observer.crash(start + i * 1s, i, { crashingPart });
    }
    const auto lastCrash = start + (crashes - 1) * 1s;
    forgetOld(observer.evidence, suspectParts(observer.evidence, observer.options), observer.options, lastCrash);
    CHECK(observer.evidence.reports.size() == observer.options.maxCrashes);
    CHECK(suspectParts(observer.evidence, observer.options).at(crashingPart).heldUntil == lastCrash + observer.options.firstHold);
}

// Guards against shared parts being forgotten for the last parts of prompts, which are as many as requests.
TEST_CASE("of too many parts with sound answers those with the newest answers are kept")
{
    Observer observer;
    const auto most = observer.options.maxSound;
    noteSound(observer.evidence, firstPart, start, start + 1s);
    for (uint64_t i = 0; i < most; ++i) {
        noteSound(observer.evidence, 1000 + i, start + i * 1ms, start + 5s);
    }
    noteSound(observer.evidence, firstPart, start + 5s, start + 5s);
    forgetOld(observer.evidence, {}, observer.options, start + 6s);
    CHECK(observer.evidence.sound.size() == most);
    CHECK(observer.evidence.sound.contains(firstPart));
    CHECK_FALSE(observer.evidence.sound.contains(1000));
}

TEST_CASE("reports and sound answers are forgotten in the end")
{
    auto observer = afterThreeCrashes();
    noteSound(observer.evidence, otherPart, start, start);
    const auto forgetAt = [&](BootTime now) { forgetOld(observer.evidence, suspectParts(observer.evidence, observer.options), observer.options, now); };
    forgetAt(start + observer.options.evidenceKept + 10s);
    CHECK(observer.holds({ crashingPart }));
    CHECK(observer.evidence.sound.empty());
    forgetAt(start + observer.options.evidenceKept + observer.options.firstHold + 10s);
    CHECK(observer.evidence.reports.empty());
}

TEST_CASE("one crash is told by the host that saw it, several by all hosts, and all of them to a host that joins")
{
    Observer observer;
    const auto& options = observer.options;
    const auto told = [&](bool whole, BootTime now) { return evidenceToTell(observer.evidence, whole, 0, options, now).reports.size(); };
    noteCrash(observer.evidence, { .id = 1, .replica = 1, .failureDomain = 0, .sentAt = start, .crashedAt = start, .parts = { crashingPart } }, options, start);
    CHECK(told(true, start) == 0);
    observer.crash(start + 1s, 1, { otherPart });
    CHECK(told(false, start + 1s) == 1);
    observer.crash(start + 2s, 2, { crashingPart });
    CHECK(told(false, start + 2s) == 3);
    const auto later = start + 3s + options.toldFor;
    CHECK(told(false, later) == 0);
    CHECK(told(true, later) == 2);
}

TEST_CASE("a host that joins learns all suspected parts, also where there is more to tell than a message holds")
{
    constexpr uint64_t suspects = 5;
    constexpr uint64_t messages = 8;
    Observer observer;
    for (uint64_t i = 0; i < 8 * suspects; ++i) {
        observer.crash(start + i * 1s, i, { 100 + i / 8 });
    }
    const auto now = start + 100s;
    Observer joining;
    for (uint64_t turn = 0; turn < messages; ++turn) {
        for (const auto* report : evidenceToTell(observer.evidence, true, turn, observer.options, now).reports) {
            noteCrash(joining.evidence, *report, joining.options, now);
        }
    }
    CHECK(suspectParts(joining.evidence, joining.options).size() == suspects);
}

TEST_CASE("a host that has seen an answer go on tells those that report a crash with it")
{
    Observer observer;
    noteSound(observer.evidence, crashingPart, start + 1s, start + 2s);
    CHECK(evidenceToTell(observer.evidence, false, 0, observer.options, start + 2s).sound.empty());
    observer.crash(start, 0, { crashingPart });
    CHECK(evidenceToTell(observer.evidence, false, 0, observer.options, start + 2s).sound == std::vector<uint64_t> { crashingPart });
    CHECK(evidenceToTell(observer.evidence, false, 0, observer.options, start + 2s + observer.options.toldFor).sound.empty());
}
