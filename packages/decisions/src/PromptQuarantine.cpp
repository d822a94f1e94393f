#include "siskinspread/PromptQuarantine.h"

#include <algorithm>
#include <iterator>
#include <unordered_set>
#include <utility>

namespace siskinspread {

namespace {

    /** Crashes by part, oldest first. */
    using CrashesOfParts = std::unordered_map<uint64_t, std::vector<PartCrash>>;

    /** Replicas of one failure domain that crashed at the same time. */
    struct CrashGroups {
        std::unordered_map<uint64_t, size_t> ofReplica;
        std::vector<size_t> sizes;
    };

    CrashGroups groupsOf(const CrashEvidence& evidence, const QuarantineOptions& options)
    {
        std::vector<std::pair<uint64_t, ReplicaCrash>> inOrder { evidence.crashes.begin(), evidence.crashes.end() };
        std::sort(inOrder.begin(), inOrder.end(), [](const auto& a, const auto& b) { return std::pair { a.second.failureDomain, a.second.at } < std::pair { b.second.failureDomain, b.second.at }; });
        CrashGroups groups;
        for (size_t i = 0; i < inOrder.size(); ++i) {
            const auto& [replica, crash] = inOrder[i];
            const bool isTogether = i > 0 && crash.failureDomain == inOrder[i - 1].second.failureDomain && crash.at - inOrder[i - 1].second.at <= options.simultaneous;
            if (!isTogether) {
                groups.sizes.push_back(0);
            }
            ++groups.sizes.back();
            groups.ofReplica[replica] = groups.sizes.size() - 1;
        }
        return groups;
    }

    /** Leaves out crashes that happened together with as many at which the part was not in progress: it does not explain those. */
    std::vector<PartCrash> withoutLostDomains(const std::vector<PartCrash>& crashes, const CrashGroups& groups)
    {
        std::unordered_map<size_t, size_t> withPart;
        for (const auto& crash : crashes) {
            if (const auto group = groups.ofReplica.find(crash.replica); group != groups.ofReplica.end()) {
                ++withPart[group->second];
            }
        }
        std::vector<PartCrash> kept;
        std::copy_if(crashes.begin(), crashes.end(), std::back_inserter(kept), [&](const PartCrash& crash) {
            const auto group = groups.ofReplica.find(crash.replica);
            return group == groups.ofReplica.end() || withPart[group->second] * 2 > groups.sizes[group->second];
        });
        return kept;
    }

    CrashesOfParts crashesOfParts(const CrashEvidence& evidence)
    {
        CrashesOfParts crashes;
        for (const auto& report : evidence.reports) {
            for (const auto part : report.parts) {
                auto& known = crashes[part];
                auto same = std::find_if(known.begin(), known.end(), [&](const PartCrash& crash) { return crash.replica == report.replica; });
                if (same == known.end()) {
                    known.push_back({ .replica = report.replica, .failureDomain = report.failureDomain, .sentAt = report.sentAt, .crashedAt = report.crashedAt, .answeredAt = report.answeredAt });
                } else {
                    same->sentAt = std::min(same->sentAt, report.sentAt);
                    same->crashedAt = std::min(same->crashedAt, report.crashedAt);
                    same->answeredAt = std::max(same->answeredAt, report.answeredAt);
                }
            }
        }
        for (auto& [part, known] : crashes) {
            std::sort(known.begin(), known.end(), [](const PartCrash& a, const PartCrash& b) { return a.crashedAt < b.crashedAt; });
        }
        return crashes;
    }

    /**
     * @return whether one event, such as the loss of a failure domain, cannot have been behind both crashes. A domain whose replicas are
     * lost one after the other brings no part under suspicion on which answers have gone on lately.
     */
    bool isIndependent(const PartCrash& later, const PartCrash& earlier, bool mayBeSound, const QuarantineOptions& options)
    {
        const auto between = later.crashedAt - earlier.crashedAt;
        if (later.failureDomain == earlier.failureDomain) {
            const bool answeredBetween = !mayBeSound && later.answeredAt && *later.answeredAt > earlier.crashedAt + options.timeTolerance;
            return between > (answeredBetween ? options.simultaneous : options.domainLossTime);
        }
        const bool wasInProgress = later.sentAt + options.timeTolerance < earlier.crashedAt;
        return between > (wasInProgress ? options.commonCauseTime : std::chrono::milliseconds { 0 });
    }

    /** @return when the hold of the part ends; nothing while there are too few crashes to suspect it. */
    std::optional<BootTime> heldUntil(const std::vector<PartCrash>& crashes, bool mayBeSound, std::chrono::seconds firstHold, const QuarantineOptions& options)
    {
        std::vector<const PartCrash*> independent;
        auto hold = firstHold;
        std::optional<BootTime> last;
        for (const auto& crash : crashes) {
            if (last && crash.crashedAt - *last >= hold) {
                hold = std::clamp(hold * 2, options.firstHold, options.longestHold);
            }
            if (std::all_of(independent.begin(), independent.end(), [&](const PartCrash* counted) { return isIndependent(crash, *counted, mayBeSound, options); })) {
                independent.push_back(&crash);
            }
            if (independent.size() >= options.crashesNeeded) {
                last = crash.crashedAt;
            }
        }
        return last ? std::optional { *last + hold } : std::nullopt;
    }

    /** @return the other parts that may have caused some of the crashes of a suspected part. */
    std::vector<OtherCause> otherCauses(uint64_t part, const SuspectPart& suspect, const CrashesOfParts& crashes, const SuspectParts& suspects, const CrashEvidence& evidence, const QuarantineOptions& options)
    {
        std::vector<OtherCause> causes;
        for (const auto& [other, crashesOfOther] : crashes) {
            const bool isStronger = suspect.mayBeSound && !evidence.sound.contains(other) && crashesOfOther.size() >= options.crashesOfOtherCause;
            if (other == part || !(isStronger || suspects.contains(other))) {
                continue;
            }
            OtherCause cause { .part = other };
            for (const auto& crash : crashesOfOther) {
                if (std::any_of(suspect.crashes.begin(), suspect.crashes.end(), [&](const PartCrash& own) { return own.replica == crash.replica; })) {
                    cause.replicas.push_back(crash.replica);
                }
            }
            if (!cause.replicas.empty()) {
                std::sort(cause.replicas.begin(), cause.replicas.end());
                causes.push_back(std::move(cause));
            }
        }
        return causes;
    }

    /** @return whether the part may have caused crashes under a request with these parts. */
    bool isDecisive(const SuspectPart& suspect, std::span<const PromptPart> parts, const QuarantineOptions& options)
    {
        const auto isInRequest = [&](uint64_t part) { return std::any_of(parts.begin(), parts.end(), [part](const PromptPart& other) { return other.id == part; }); };
        auto unexplained = suspect.crashes;
        for (const auto& cause : suspect.otherCauses) {
            if (!isInRequest(cause.part)) {
                std::erase_if(unexplained, [&](const PartCrash& crash) { return std::binary_search(cause.replicas.begin(), cause.replicas.end(), crash.replica); });
            }
        }
        return suspect.mayBeSound ? heldUntil(unexplained, true, options.firstHold, options).has_value() : !unexplained.empty();
    }

    void dropEmpty(CrashEvidence& evidence)
    {
        std::erase_if(evidence.reports, [](const CrashReport& report) { return report.parts.empty(); });
    }

    /** Takes parts out of a report on which answers have gone on since. */
    void clearSound(CrashReport& report, CrashEvidence& evidence, BootTime now)
    {
        std::erase_if(report.parts, [&](uint64_t part) {
            const auto sound = evidence.sound.find(part);
            const bool cleared = sound != evidence.sound.end() && sound->second.begunAt >= report.crashedAt;
            if (cleared) {
                sound->second.clearedAt = now;
            }
            return cleared;
        });
    }

    /** Last parts of prompts are many, and few come again; parts that many requests share have newer answers. */
    void dropOldestSound(CrashEvidence& evidence, const QuarantineOptions& options)
    {
        if (evidence.sound.size() <= options.maxSound) {
            return;
        }
        std::vector<BootTime> begun;
        begun.reserve(evidence.sound.size());
        std::transform(evidence.sound.begin(), evidence.sound.end(), std::back_inserter(begun), [](const auto& entry) { return entry.second.begunAt; });
        const auto firstKept = begun.begin() + static_cast<std::ptrdiff_t>(begun.size() - options.maxSound);
        std::nth_element(begun.begin(), firstKept, begun.end());
        std::erase_if(evidence.sound, [oldest = *firstKept](const auto& entry) { return entry.second.begunAt < oldest; });
    }

    bool supports(const CrashReport& report, const SuspectParts& suspects)
    {
        return std::any_of(report.parts.begin(), report.parts.end(), [&](uint64_t part) { return suspects.contains(part); });
    }

    /** Makes room for further reports; those that support a suspicion stay as long as there are others. */
    void dropOldest(CrashEvidence& evidence, const QuarantineOptions& options)
    {
        const auto suspects = suspectParts(evidence, options);
        const auto first = evidence.reports.begin();
        std::stable_partition(first, evidence.reports.end(), [&](const CrashReport& report) { return !supports(report, suspects); });
        evidence.reports.erase(first, first + static_cast<std::ptrdiff_t>(std::max<size_t>(1, options.maxReports / 4)));
    }

    /** @return the parts that were in progress at more than one crash. */
    std::unordered_set<uint64_t> repeatedParts(const CrashEvidence& evidence)
    {
        std::unordered_map<uint64_t, uint64_t> firstReplica;
        std::unordered_set<uint64_t> repeated;
        for (const auto& report : evidence.reports) {
            for (const auto part : report.parts) {
                if (firstReplica.try_emplace(part, report.replica).first->second != report.replica) {
                    repeated.insert(part);
                }
            }
        }
        return repeated;
    }

    std::unordered_set<uint64_t> reportedParts(const CrashEvidence& evidence)
    {
        std::unordered_set<uint64_t> parts;
        for (const auto& report : evidence.reports) {
            parts.insert(report.parts.begin(), report.parts.end());
        }
        return parts;
    }

    /** Keeps the entries that are told in this turn, so that all are told in turns that follow each other. */
    template <typename Entry>
    void takeTurn(std::vector<Entry>& entries, uint64_t turn, size_t most)
    {
        if (entries.size() <= most) {
            return;
        }
        const auto first = static_cast<std::ptrdiff_t>(turn % entries.size() * most % entries.size());
        std::rotate(entries.begin(), entries.begin() + first, entries.end());
        entries.resize(most);
    }

    /** Keeps the newest crashes of each part only. */
    void trimCrashes(CrashEvidence& evidence, const QuarantineOptions& options)
    {
        for (const auto& [part, crashes] : crashesOfParts(evidence)) {
            if (crashes.size() <= options.maxCrashes) {
                continue;
            }
            const auto oldestKept = crashes[crashes.size() - options.maxCrashes].crashedAt;
            for (auto& report : evidence.reports) {
                if (report.crashedAt < oldestKept) {
                    std::erase(report.parts, part);
                }
            }
        }
        dropEmpty(evidence);
    }

} // namespace

bool noteCrash(CrashEvidence& evidence, CrashReport report, const QuarantineOptions& options, BootTime now)
{
    if (const auto alive = evidence.aliveAt.find(report.replica); alive != evidence.aliveAt.end() && alive->second >= report.crashedAt) {
        return false;
    }
    if (evidence.crashes.size() < options.maxReplicas) {
        auto& crash = evidence.crashes.try_emplace(report.replica, ReplicaCrash { .failureDomain = report.failureDomain, .at = report.crashedAt }).first->second;
        crash.at = std::min(crash.at, report.crashedAt);
    }
    report.parts.resize(std::min(report.parts.size(), options.maxParts));
    clearSound(report, evidence, now);
    auto known = std::find_if(evidence.reports.begin(), evidence.reports.end(), [&](const CrashReport& other) { return other.id == report.id; });
    if (known != evidence.reports.end()) {
        known->sentAt = std::min(known->sentAt, report.sentAt);
        known->crashedAt = std::min(known->crashedAt, report.crashedAt);
        known->answeredAt = std::max(known->answeredAt, report.answeredAt);
        return false;
    }
    if (report.parts.empty()) {
        return false;
    }
    if (evidence.reports.size() >= options.maxReports) {
        dropOldest(evidence, options);
    }
    report.notedAt = now;
    evidence.reports.push_back(std::move(report));
    return true;
}

bool noteSound(CrashEvidence& evidence, uint64_t part, BootTime begunAt, BootTime now)
{
    auto& sound = evidence.sound[part];
    sound.begunAt = std::max(sound.begunAt, begunAt);
    bool cleared = false;
    for (auto& report : evidence.reports) {
        if (report.crashedAt <= begunAt) {
            cleared = std::erase(report.parts, part) > 0 || cleared;
        }
    }
    if (cleared) {
        sound.clearedAt = now;
        dropEmpty(evidence);
    }
    return cleared;
}

bool noteAlive(CrashEvidence& evidence, uint64_t replica, BootTime sentAt, const QuarantineOptions& options)
{
    const auto crash = evidence.crashes.find(replica);
    if (crash == evidence.crashes.end() || sentAt < crash->second.at || sentAt - crash->second.at > options.shortestRestart) {
        return false;
    }
    evidence.aliveAt[replica] = sentAt;
    // It may have crashed since, after its connections had broken once for another reason.
    std::erase_if(evidence.reports, [&](const CrashReport& report) { return report.replica == replica && report.crashedAt <= sentAt; });
    std::optional<BootTime> crashedSince;
    for (const auto& report : evidence.reports) {
        if (report.replica == replica) {
            crashedSince = std::min(report.crashedAt, crashedSince.value_or(report.crashedAt));
        }
    }
    if (crashedSince) {
        crash->second.at = *crashedSince;
    } else {
        evidence.crashes.erase(crash);
    }
    return true;
}

void forgetOld(CrashEvidence& evidence, const SuspectParts& suspects, const QuarantineOptions& options, BootTime now)
{
    trimCrashes(evidence, options);
    std::erase_if(evidence.reports, [&](const CrashReport& report) {
        auto neededUntil = report.crashedAt;
        for (const auto part : report.parts) {
            if (const auto suspect = suspects.find(part); suspect != suspects.end()) {
                neededUntil = std::max(neededUntil, suspect->second.heldUntil);
            }
        }
        return now - neededUntil > options.evidenceKept;
    });
    std::erase_if(evidence.crashes, [&](const auto& entry) { return now - entry.second.at > options.evidenceKept; });
    std::erase_if(evidence.aliveAt, [&](const auto& entry) { return now - entry.second > options.soundKept; });
    std::erase_if(evidence.sound, [&](const auto& entry) {
        const auto& sound = entry.second;
        return now - sound.begunAt > options.soundKept && (!sound.clearedAt || now - *sound.clearedAt > options.evidenceKept);
    });
    dropOldestSound(evidence, options);
}

std::optional<BootTime> crashOf(const CrashEvidence& evidence, uint64_t replica, BootTime notBefore)
{
    const auto crash = evidence.crashes.find(replica);
    return crash != evidence.crashes.end() && crash->second.at >= notBefore ? std::optional { crash->second.at } : std::nullopt;
}

SuspectParts suspectParts(const CrashEvidence& evidence, const QuarantineOptions& options)
{
    SuspectParts suspects;
    const auto groups = groupsOf(evidence, options);
    const auto crashesByPart = crashesOfParts(evidence);
    for (const auto& [part, crashes] : crashesByPart) {
        const auto counted = withoutLostDomains(crashes, groups);
        const bool wasSound = evidence.sound.contains(part);
        const bool mayBeSound = wasSound || !evidence.isComplete;
        const auto until = heldUntil(counted, mayBeSound, wasSound ? options.firstHoldOfSound : options.firstHold, options);
        if (until) {
            suspects[part] = { .crashes = crashes, .heldUntil = *until, .mayBeSound = mayBeSound };
        }
    }
    for (auto& [part, suspect] : suspects) {
        suspect.otherCauses = otherCauses(part, suspect, crashesByPart, suspects, evidence, options);
    }
    return suspects;
}

std::optional<uint64_t> decisivePart(const SuspectParts& suspects, std::span<const PromptPart> parts, const QuarantineOptions& options)
{
    auto longest = suspects.end();
    for (const auto& part : parts) {
        const auto suspect = suspects.find(part.id);
        const bool isLonger = suspect != suspects.end() && (longest == suspects.end() || suspect->second.heldUntil > longest->second.heldUntil);
        if (isLonger && isDecisive(suspect->second, parts, options)) {
            longest = suspect;
        }
    }
    return longest == suspects.end() ? std::nullopt : std::optional { longest->first };
}

size_t trialHosts(const SuspectPart& suspect, const QuarantineOptions& options, BootTime now)
{
    if (now < suspect.heldUntil) {
        return 0;
    }
    constexpr int64_t mostDoublings = 20; // a million hosts
    const auto doublings = std::min<int64_t>(mostDoublings, (now - suspect.heldUntil) / options.trialInterval);
    return size_t { 1 } << static_cast<unsigned>(doublings);
}

EvidenceToTell evidenceToTell(const CrashEvidence& evidence, bool whole, uint64_t turn, const QuarantineOptions& options, BootTime now)
{
    EvidenceToTell told;
    const auto repeated = repeatedParts(evidence);
    for (const auto& report : evidence.reports) {
        const bool isRecent = now - report.notedAt < options.toldFor;
        const bool isRepeated = std::any_of(report.parts.begin(), report.parts.end(), [&](uint64_t part) { return repeated.contains(part); });
        // One crash says little, so only the host that saw it tells of it.
        if (isRepeated ? isRecent || whole : isRecent && report.firstHand) {
            told.reports.push_back(&report);
        }
    }
    // A host that joins has seen no answers yet: without these it would take each part of the reports for one that never had any.
    const auto reported = whole ? reportedParts(evidence) : std::unordered_set<uint64_t> {};
    for (const auto& [part, sound] : evidence.sound) {
        if ((sound.clearedAt && now - *sound.clearedAt < options.toldFor) || reported.contains(part)) {
            told.sound.push_back(part);
        }
    }
    for (const auto& [replica, at] : evidence.aliveAt) {
        if (now - at < options.toldFor) {
            told.alive.push_back(replica);
        }
    }
    takeTurn(told.reports, turn, options.maxReportsTold);
    takeTurn(told.sound, turn, options.maxSoundTold);
    takeTurn(told.alive, turn, options.maxSoundTold);
    return told;
}

} // namespace siskinspread
