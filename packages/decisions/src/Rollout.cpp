#include "siskinspread/Rollout.h"

#include <algorithm>
#include <cmath>

namespace siskinspread {

namespace {

    using std::chrono::milliseconds;

    // Half of the traffic before all of it: a candidate that is slow under load only shows it while the rest is still served.
    constexpr double halfOfTraffic = 0.5;
    // Smallest part of the time after which the traffic is moved, where the time is short.
    constexpr int shortestTrialPart = 4;
    // A request that outlasts this part of the time is not waited for: the trial would become too short.
    constexpr int longestDrainPart = 3;
    constexpr double severalTimes = 3.0;
    constexpr uint64_t fewestForUsual = 20;
    constexpr double usualStep = 0.05; // of the estimate, for each answer: it follows a change of load within some 30 answers
    constexpr double shortestUsual = 1.0; // milliseconds; below it the time is the network's and the scheduler's

    /** @return whether so many bad answers of the candidate are more than chance, given those of the version before. */
    bool isWorse(uint64_t bad, uint64_t answers, uint64_t badBefore, uint64_t answersBefore, const RolloutOptions& options)
    {
        if (answers == 0 || bad < options.fewestBad) {
            return false;
        }
        const auto count = static_cast<double>(answers);
        const double share = static_cast<double>(bad) / count;
        if (answersBefore < options.fewestBaseline) {
            return bad >= options.fewestBadWithoutBaseline && share >= options.badWithoutBaseline;
        }
        const auto countBefore = static_cast<double>(answersBefore);
        const double shareBefore = static_cast<double>(badBefore) / countBefore;
        const double pooled = static_cast<double>(bad + badBefore) / (count + countBefore);
        const double deviation = std::sqrt(pooled * (1.0 - pooled) * (1.0 / count + 1.0 / countBefore));
        return share - shareBefore >= options.leastDifference && share - shareBefore >= options.significance * deviation;
    }

    std::optional<RolloutFault> faultOfRoute(uint64_t route, const RouteEvidence& evidence, const RolloutOptions& options)
    {
        const auto& [before, candidate] = evidence;
        if (isWorse(candidate.failed, candidate.answers, before.failed, before.answers, options)) {
            return RolloutFault { .route = route, .bad = candidate.failed, .answers = candidate.answers };
        }
        if (isWorse(candidate.slow, candidate.answers, before.slow, before.answers, options)) {
            return RolloutFault { .route = route, .isSlow = true, .bad = candidate.slow, .answers = candidate.answers };
        }
        return std::nullopt;
    }

    void add(VersionAnswers& sum, const VersionAnswers& part)
    {
        sum.answers += part.answers;
        sum.failed += part.failed;
        sum.slow += part.slow;
    }

    milliseconds stepOf(milliseconds within, const RolloutOptions& options)
    {
        return std::min(options.step, within / (2 * shortestTrialPart));
    }

} // namespace

void addEvidence(RolloutEvidence& sum, const RolloutEvidence& part)
{
    for (const auto& [route, evidence] : part) {
        add(sum[route].before, evidence.before);
        add(sum[route].candidate, evidence.candidate);
    }
}

std::optional<RolloutFault> faultOf(const RolloutEvidence& evidence, const RolloutOptions& options)
{
    RouteEvidence allBegun;
    RouteEvidence allWhole;
    for (const auto& [part, onRoute] : evidence) {
        if (auto fault = faultOfRoute(part.route, onRoute, options)) {
            return fault;
        }
        auto& all = part.isWhole ? allWhole : allBegun;
        add(all.before, onRoute.before);
        add(all.candidate, onRoute.candidate);
    }
    const auto fault = faultOfRoute(0, allBegun, options);
    return fault ? fault : faultOfRoute(0, allWhole, options);
}

double trialShare(const RolloutOptions& options)
{
    return options.canaryShare * options.trialPart;
}

milliseconds moveAt(milliseconds within, milliseconds longestRequest, const RolloutOptions& options)
{
    const auto draining = std::min(longestRequest, within / longestDrainPart);
    return std::max(within / shortestTrialPart, within - options.margin - draining - 2 * stepOf(within, options));
}

RolloutStep nextStep(const RolloutProgress& progress, bool isFaulty, const RolloutOptions& options)
{
    using Action = RolloutStep::Action;
    if (isFaulty) {
        return { .action = Action::RollBack };
    }
    const bool hasRoom = progress.placesOfCandidate > 0
        && static_cast<double>(progress.placesOfCandidate) >= options.leastCapacity * static_cast<double>(progress.placesBefore);
    if (!hasRoom || progress.age < moveAt(progress.within, progress.longestRequest, options)) {
        return {};
    }
    const bool isSettled = progress.allHostsFollow && progress.sinceStep >= stepOf(progress.within, options);
    if (progress.share < halfOfTraffic) {
        return { .action = Action::Move, .share = halfOfTraffic };
    }
    if (progress.share < 1.0) {
        return isSettled ? RolloutStep { .action = Action::Move, .share = 1.0 } : RolloutStep {};
    }
    const bool isLast = progress.age >= progress.within - options.margin;
    return isSettled && (progress.requestsBefore == 0 || isLast) ? RolloutStep { .action = Action::Complete } : RolloutStep {};
}

bool takesCanary(CanaryCredit& credit, double share)
{
    credit.requests = std::min(credit.requests + share, 1.0 + share); // unused credit does not add up to a burst
    if (credit.requests < 1.0) {
        return false;
    }
    credit.requests -= 1.0;
    return true;
}

VersionUse versionUse(const RolloutView& view, double share, bool isFirstAttempt, bool takesCanary)
{
    switch (view.state) {
    case RolloutState::Complete:
        return VersionUse::CandidateFirst;
    case RolloutState::RolledBack:
        return VersionUse::BeforeOnly;
    case RolloutState::Ordered:
    case RolloutState::InProgress:
        break;
    }
    if (view.isFaulty || !view.hearsPeers) {
        return VersionUse::BeforeOnly;
    }
    const bool isMoved = share >= 1.0;
    return isMoved || (isFirstAttempt && takesCanary) ? VersionUse::CandidateFirst : VersionUse::BeforeOnly;
}

void noteUsualTime(UsualTime& usual, std::chrono::microseconds took)
{
    const double ms = std::chrono::duration<double, std::milli>(took).count();
    ++usual.answers;
    if (usual.answers == 1) {
        usual.milliseconds = ms;
        return;
    }
    // Moves by a fixed factor up or down, so that it settles where half of the answers are on either side. Larger steps at first.
    const double factor = 1.0 + std::max(usualStep, 1.0 / static_cast<double>(usual.answers));
    usual.milliseconds = std::max(shortestUsual, ms > usual.milliseconds ? usual.milliseconds * factor : usual.milliseconds / factor);
}

bool isSeveralTimesUsual(const UsualTime& usual, std::chrono::microseconds took)
{
    return usual.answers >= fewestForUsual && std::chrono::duration<double, std::milli>(took).count() > severalTimes * usual.milliseconds;
}

std::string_view rolloutStateName(RolloutState state)
{
    switch (state) {
    case RolloutState::Ordered:
        return "ordered";
    case RolloutState::InProgress:
        return "in progress";
    case RolloutState::Complete:
        return "complete";
    case RolloutState::RolledBack:
        break;
    }
    return "rolled back";
}

} // namespace siskinspread
