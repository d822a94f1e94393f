#include "siskinspread/CrashWatch.h"

#include "siskinspread/DutyRank.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace siskinspread {

namespace {

    using std::chrono::milliseconds;

    // A replica that goes on for so long after an answer has begun did not crash because of it.
    constexpr milliseconds soundAfter { 500 };
    // A crash within this time after an answer has begun may have come from it.
    constexpr milliseconds crashWindow { 1000 };
    constexpr milliseconds forgetInterval { 1000 };
    // Between two reviews, after which the loop has stood still: what has broken meanwhile may not have been read yet. Answers are
    // not judged for as long after it.
    constexpr milliseconds longestPause { 250 };
    // For which an answer whose connection has closed waits for its replica to answer again: a few times the shortest time in which a
    // replica starts again, since the answer to the later request may itself take a while.
    constexpr milliseconds unprovenKept { 5000 };
    constexpr size_t maxUnproven { 1024 };
    // Answers that are judged later while the loop stands still again and again.
    constexpr size_t maxBegun { 4096 };
    // A trial whose answer has neither begun nor been cut off by then says nothing.
    constexpr std::chrono::seconds trialTime { 10 };

    // In which the peers of a host that has started tell it what they know, in several messages each.
    constexpr std::chrono::seconds joiningTime { 3 };

    constexpr size_t maxPartsLogged = 8;

} // namespace

std::string partName(uint64_t part)
{
    std::array<char, 16> digits {};
    return { digits.data(), std::to_chars(digits.data(), digits.data() + digits.size(), part, 16).ptr };
}

std::string partNames(std::span<const PromptPart> parts)
{
    std::string names;
    for (const auto& part : parts.first(std::min(parts.size(), maxPartsLogged))) {
        names.append(names.empty() ? "" : ",").append(partName(part.id));
    }
    return names;
}

CrashWatch::CrashWatch(std::string self)
    : m_self(std::move(self))
    , m_hosts { m_self }
    , m_startedAt(BootClock::now())
{
    m_evidence.isComplete = false;
}

const SuspectParts& CrashWatch::suspects()
{
    if (!m_suspectsCurrent) {
        m_suspects = suspectParts(m_evidence, m_options);
        m_suspectsCurrent = true;
    }
    return m_suspects;
}

void CrashWatch::report(const PromptAttempt& attempt, BootTime crashedAt)
{
    const auto running = m_running.find(attempt.replica);
    noteTold({
        .id = attempt.id,
        .replica = attempt.replica,
        .failureDomain = attempt.failureDomain,
        .sentAt = attempt.sentAt,
        .crashedAt = crashedAt,
        .answeredAt = running == m_running.end() ? std::nullopt : std::optional { running->second.answeredAt },
        .parts = attempt.parts,
        .firstHand = true,
    });
}

void CrashWatch::noteBegun(PromptAttempt attempt, std::weak_ptr<const ReplicaConnection> connection)
{
    noteRunning(attempt.replica, attempt.sentAt, BootClock::now());
    if (!attempt.parts.empty() && m_begun.size() < maxBegun) {
        m_begun.push_back({ .attempt = std::move(attempt), .begunAt = BootClock::now(), .connection = std::move(connection) });
    }
}

void CrashWatch::noteCut(const PromptAttempt& attempt, std::optional<BootTime> begunAt)
{
    const auto now = BootClock::now();
    if (!attempt.parts.empty() && (!begunAt || now - *begunAt < crashWindow)) {
        report(attempt, now);
    }
}

void CrashWatch::noteTold(CrashReport report)
{
    if (noteCrash(m_evidence, std::move(report), m_options, BootClock::now())) {
        m_suspectsCurrent = false;
    }
}

void CrashWatch::noteToldSound(uint64_t part, BootTime begunAt)
{
    if (noteSound(m_evidence, part, begunAt, BootClock::now())) {
        m_suspectsCurrent = false;
    }
}

void CrashWatch::noteAlive(uint64_t replica, BootTime sentAt)
{
    noteRunning(replica, sentAt, sentAt);
    if (siskinspread::noteAlive(m_evidence, replica, sentAt, m_options)) {
        m_suspectsCurrent = false;
    }
}

void CrashWatch::noteRunning(uint64_t replica, BootTime sentAt, BootTime seenAt)
{
    auto& running = m_running.try_emplace(replica, RunningSpan { .since = seenAt, .until = seenAt, .answeredAt = sentAt }).first->second;
    if (seenAt > running.until + m_options.shortestRestart) {
        running.since = seenAt;
    }
    running.until = std::max(running.until, seenAt);
    running.answeredAt = std::max(running.answeredAt, sentAt);
}

/**
 * The connection shows whether the replica went on, also where the answer was complete before the replica crashed. Where the connection
 * has closed, at the end of the answer or because the caller left, later answers of the replica show it.
 */
bool CrashWatch::wentOn(const BegunAnswer& answer) const
{
    if (const auto connection = answer.connection.lock(); connection && connection->isOpen()) {
        return true;
    }
    const auto running = m_running.find(answer.attempt.replica);
    return running != m_running.end() && running->second.since <= answer.begunAt && running->second.until >= answer.begunAt + soundAfter;
}

bool CrashWatch::judge(const BegunAnswer& answer, BootTime now)
{
    if (wentOn(answer)) {
        for (const auto part : answer.attempt.parts) {
            if (noteSound(m_evidence, part, answer.begunAt, now)) {
                m_suspectsCurrent = false;
            }
        }
        return true;
    }
    const auto crashedAt = crashOf(m_evidence, answer.attempt.replica, answer.begunAt);
    if (crashedAt && *crashedAt - answer.begunAt < crashWindow) {
        report(answer.attempt, *crashedAt);
    }
    return crashedAt.has_value();
}

bool CrashWatch::mayTry(uint64_t part, const SuspectPart& suspect, BootTime now) const
{
    const auto trial = m_trials.find(part);
    const bool isTrying = trial != m_trials.end() && now - trial->second < trialTime;
    const auto hosts = std::min(trialHosts(suspect, m_options, now), m_hosts.size());
    return !isTrying && hosts > 0 && dutyRank("prompt-trial/" + std::to_string(part), m_self, m_hosts, static_cast<uint32_t>(hosts));
}

std::optional<HeldPrompt> CrashWatch::heldFor(std::span<const PromptPart> prompt)
{
    if (suspects().empty()) {
        return std::nullopt;
    }
    const auto part = decisivePart(m_suspects, prompt, m_options);
    if (!part) {
        return std::nullopt;
    }
    const auto now = BootClock::now();
    const auto& suspect = m_suspects.at(*part);
    if (mayTry(*part, suspect, now)) {
        return std::nullopt;
    }
    const auto left = std::max<BootClock::duration>(suspect.heldUntil - now, m_options.trialInterval);
    return HeldPrompt { .part = *part, .comeBackAfter = std::chrono::duration_cast<milliseconds>(left) };
}

std::optional<uint64_t> CrashWatch::noteSent(std::span<const PromptPart> prompt)
{
    const auto part = suspects().empty() ? std::nullopt : decisivePart(m_suspects, prompt, m_options);
    if (part) {
        m_trials[*part] = BootClock::now();
    }
    return part;
}

void CrashWatch::judgeBegun(BootTime now)
{
    std::erase_if(m_unproven, [&](const BegunAnswer& answer) { return judge(answer, now) || now - answer.begunAt > unprovenKept; });
    while (!m_begun.empty() && now - m_begun.front().begunAt >= soundAfter) {
        if (!judge(m_begun.front(), now) && m_unproven.size() < maxUnproven) {
            m_unproven.push_back(std::move(m_begun.front()));
        }
        m_begun.pop_front();
    }
}

std::vector<SuspicionChange> CrashWatch::review()
{
    const auto now = BootClock::now();
    if (now - m_reviewedAt > longestPause) {
        m_judgeFrom = now + longestPause;
    }
    m_reviewedAt = now;
    if (!m_evidence.isComplete && now - m_startedAt >= joiningTime) {
        m_evidence.isComplete = true;
        m_suspectsCurrent = false;
    }
    if (now >= m_judgeFrom) {
        judgeBegun(now);
    }
    if (now - m_forgotAt >= forgetInterval) {
        m_forgotAt = now;
        forgetOld(m_evidence, suspects(), m_options, now);
        std::erase_if(m_running, [&](const auto& running) { return now - running.second.until > unprovenKept; });
        std::erase_if(m_trials, [&](const auto& trial) { return now - trial.second >= trialTime; });
        m_suspectsCurrent = m_evidence.reports.empty() && m_suspects.empty();
    }
    std::vector<SuspicionChange> changes;
    for (const auto& [part, suspect] : suspects()) {
        const auto told = m_told.find(part);
        if (told == m_told.end() || suspect.heldUntil > told->second.heldUntil) {
            changes.push_back({ .part = part, .suspected = true, .crashes = suspect.crashes.size(), .heldUntil = suspect.heldUntil });
        }
    }
    for (const auto& [part, suspect] : m_told) {
        if (!m_suspects.contains(part)) {
            changes.push_back({ .part = part });
        }
    }
    m_told = m_suspects;
    return changes;
}

} // namespace siskinspread
