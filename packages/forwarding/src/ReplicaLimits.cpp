#include "siskinspread/ReplicaLimits.h"

#include <algorithm>
#include <cmath>

namespace siskinspread {

namespace {

    // The end of a limit is told to hosts that come back after a short cut.
    constexpr std::chrono::minutes endedLimitKept { 1 };
    // Of a replica that no host has had an answer from for so long, several rounds of holders have tried; it has ended.
    constexpr std::chrono::minutes limitKept { 30 };

    bool isRate(double value)
    {
        return std::isfinite(value) && value >= 0;
    }

} // namespace

ReplicaLimits::ReplicaLimits(const std::string& self)
    : m_hosts { .self = self, .all = { self }, .settledAt = m_startedAt }
{
}

void ReplicaLimits::setHosts(std::vector<std::string> hosts)
{
    if (hosts != m_hosts.all) {
        m_hosts.all = std::move(hosts);
        ++m_hosts.version;
    }
}

bool ReplicaLimits::noteNamed(uint64_t replica, double requestsPerSecond)
{
    const auto now = BootClock::now();
    const auto* known = find(replica);
    return note(replica, { .requestsPerSecond = requestsPerSecond, .at = now, .round = known != nullptr ? limitRound(*known, now) : 0 }, true);
}

bool ReplicaLimits::noteUnnamed(uint64_t replica, BootTime sentAt)
{
    return m_limits.contains(replica) && note(replica, { .at = sentAt }, true);
}

bool ReplicaLimits::noteTold(uint64_t replica, const LimitEvidence& evidence)
{
    if (evidence.requestsPerSecond ? !isRate(*evidence.requestsPerSecond) : !m_limits.contains(replica)) {
        return false;
    }
    return note(replica, evidence, false);
}

bool ReplicaLimits::note(uint64_t replica, const LimitEvidence& evidence, bool firstHand)
{
    auto& limit = m_limits[replica];
    limit.replica = replica;
    const auto now = BootClock::now();
    const bool changed = noteEvidence(limit, evidence, firstHand, now);
    refreshShare(limit, m_hosts, now);
    return changed;
}

bool ReplicaLimits::mayCall(uint64_t replica)
{
    const auto* limit = find(replica);
    return limit == nullptr || siskinspread::mayCall(*limit);
}

void ReplicaLimits::countCall(uint64_t replica)
{
    if (auto known = m_limits.find(replica); known != m_limits.end()) {
        siskinspread::countCall(known->second);
    }
}

const ReplicaLimit* ReplicaLimits::find(uint64_t replica)
{
    const auto known = m_limits.find(replica);
    if (known == m_limits.end() || !known->second.evidence->requestsPerSecond) {
        return nullptr;
    }
    refreshShare(known->second, m_hosts, BootClock::now());
    return &known->second;
}

size_t ReplicaLimits::namedCount() const
{
    return static_cast<size_t>(std::count_if(m_limits.begin(), m_limits.end(), [](const auto& entry) { return entry.second.evidence->requestsPerSecond.has_value(); }));
}

void ReplicaLimits::review()
{
    const auto now = BootClock::now();
    for (auto& [replica, limit] : m_limits) {
        refreshShare(limit, m_hosts, now);
    }
    std::erase_if(m_limits, [&](const auto& entry) {
        const auto& limit = entry.second;
        return limit.evidence->requestsPerSecond ? now - limit.evidence->at > limitKept : now - limit.changedAt > endedLimitKept;
    });
}

} // namespace siskinspread
