#include "siskinspread/ReplicaLimit.h"

#include "siskinspread/DutyRank.h"

#include <algorithm>
#include <cmath>

namespace siskinspread {

namespace {

    using std::chrono::microseconds;
    using Seconds = std::chrono::duration<double>;

    // Calls that all holders together may make at once, beside the limit L: one for each of 3 + L holders. In a window of w seconds
    // they make 3 + (w + 1) L at most, which leaves room for a few more holders while hosts know different sets of hosts.
    constexpr uint32_t fewestHolders = 3;
    // Requests a second, over all hosts. With less, the end of the limit would not be seen.
    constexpr double lowestRate = 0.05;
    constexpr double highestRate = 1e6; // more than any replica takes
    // Longer than it takes to tell all hosts of an answer, so that all change holders at about the same time.
    constexpr Seconds shortestRound { 60.0 };
    constexpr double callsInRound = 2.0; // of each holder, at least
    constexpr double wholeCall = 1.0 - 1e-9;

    double rateOf(const ReplicaLimit& limit)
    {
        return std::clamp(*limit.evidence->requestsPerSecond, lowestRate, highestRate);
    }

    double shareOf(const ReplicaLimit& limit)
    {
        return rateOf(limit) / limit.holders;
    }

    double wantedHolders(double rate)
    {
        return fewestHolders + std::floor(rate);
    }

    /** @return calls that a holder may make at once; more than one where there are fewer hosts than holders are wanted. */
    double burstOf(const ReplicaLimit& limit)
    {
        return wantedHolders(rateOf(limit)) / limit.holders;
    }

    bool isNamed(const ReplicaLimit& limit)
    {
        return limit.evidence && limit.evidence->requestsPerSecond;
    }

    bool isNewer(const LimitEvidence& evidence, const LimitEvidence& known)
    {
        return evidence.at > known.at || (evidence.at == known.at && evidence.requestsPerSecond && !known.requestsPerSecond);
    }

} // namespace

uint32_t limitHolders(double requestsPerSecond, size_t hosts)
{
    const double most = static_cast<double>(std::max<size_t>(1, hosts));
    return static_cast<uint32_t>(std::min(most, wantedHolders(std::max(lowestRate, requestsPerSecond))));
}

uint32_t limitRound(const ReplicaLimit& limit, BootTime now)
{
    const auto round = std::max(shortestRound, Seconds { callsInRound * std::max(limit.holders, fewestHolders) / rateOf(limit) });
    const auto age = std::max(Seconds { 0 }, Seconds { now - limit.evidence->at });
    return limit.evidence->round + static_cast<uint32_t>(age / round);
}

bool noteEvidence(ReplicaLimit& limit, const LimitEvidence& evidence, bool firstHand, BootTime now)
{
    const uint32_t round = std::max(evidence.round, limit.evidence ? limit.evidence->round : 0);
    if (limit.evidence && !isNewer(evidence, *limit.evidence)) {
        limit.evidence->round = round;
        return false;
    }
    const bool wasNamed = isNamed(limit);
    const bool changed = !limit.evidence || limit.evidence->requestsPerSecond != evidence.requestsPerSecond;
    limit.evidence = evidence;
    limit.evidence->round = round;
    limit.firstHand = firstHand || (limit.firstHand && !changed);
    if (changed) {
        limit.changedAt = now;
    }
    if (!wasNamed) {
        limit.holders = 0; // the holders begin anew
    }
    return changed;
}

void refreshShare(ReplicaLimit& limit, const LimitHosts& hosts, BootTime now)
{
    if (!isNamed(limit)) {
        return;
    }
    const bool isFirst = limit.holders == 0;
    const auto holders = limitHolders(rateOf(limit), hosts.all.size());
    const auto round = holders < hosts.all.size() ? limitRound(limit, now) : limit.evidence->round;
    if (isFirst || holders != limit.holders || round != limit.sharedRound || hosts.version != limit.sharedVersion) {
        const auto rank = dutyRank("replica-limit/" + std::to_string(limit.replica) + "/" + std::to_string(round), hosts.self, hosts.all, holders);
        if (!rank || !limit.holdsShare || isFirst) {
            // Holders that begin together take turns; one that is added later begins with an empty share.
            limit.calls = rank && isFirst ? static_cast<double>(holders - 1 - *rank) / holders : 0;
            limit.refilledAt = std::max(now, hosts.settledAt);
        }
        limit.holdsShare = rank.has_value();
        limit.holders = holders;
        limit.sharedRound = round;
        limit.sharedVersion = hosts.version;
    }
    if (limit.holdsShare && now > limit.refilledAt) {
        limit.calls = std::min(burstOf(limit), limit.calls + shareOf(limit) * Seconds { now - limit.refilledAt }.count());
        limit.refilledAt = now;
    }
}

bool mayCall(const ReplicaLimit& limit)
{
    return !isNamed(limit) || (limit.holdsShare && limit.calls >= wholeCall);
}

uint64_t callsWithin(const ReplicaLimit& limit, microseconds time, BootTime now)
{
    if (!limit.holdsShare) {
        return 0;
    }
    const auto settling = std::max(Seconds { 0 }, Seconds { limit.refilledAt - now });
    return static_cast<uint64_t>(std::max(0.0, limit.calls + shareOf(limit) * std::max(0.0, (Seconds { time } - settling).count())));
}

void countCall(ReplicaLimit& limit)
{
    if (isNamed(limit)) {
        limit.calls -= 1.0;
    }
}

} // namespace siskinspread
