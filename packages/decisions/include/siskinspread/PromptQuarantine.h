#pragma once

#include "siskinspread/BootClock.h"
#include "siskinspread/ReplicaPlacement.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace siskinspread {

/**
 * Prompt parts that crash replicas.
 *
 * A part of a prompt can crash each replica that begins to write an answer on it. The requests with that part arrive at any host, and
 * each crash cuts off requests that have nothing to do with it. So each host reports the requests whose answers had not begun, or
 * had just begun, when their replica crashed, and hosts tell each other these reports. A part is suspected when it was in progress at
 * several crashes that had no other cause in common, and no answer on it has been seen to go on since. Requests with a
 * suspected part are held back, until a while after the last crash a few hosts try one request each.
 */
struct QuarantineOptions {
    size_t crashesNeeded { 3 }; /**< Independent crashes after which a part is suspected. */
    /** Crashes after which a part without sound answers counts as another cause for one that has them. */
    size_t crashesOfOtherCause { 2 };
    /** Crashes in one failure domain that are closer to each other happen together: a part explains most of them or none. */
    std::chrono::milliseconds simultaneous { 100 };
    /** A replica that answers a request that was sent sooner after its connections broke has not crashed. */
    std::chrono::milliseconds shortestRestart { 1000 };
    /**
     * Crashes in one failure domain within this time count as one, since hosts may see the loss of a domain at different times. For a
     * part without sound answers, crashes count apart where the second replica answered a request that was sent after the first crash.
     */
    std::chrono::milliseconds domainLossTime { 1000 };
    /** As above in different failure domains, where both requests were in progress at the first crash. */
    std::chrono::milliseconds commonCauseTime { 500 };
    /** How far the times of two hosts' reports may be off. */
    std::chrono::milliseconds timeTolerance { 5 };
    std::chrono::seconds firstHold { 30 }; /**< From the last crash to the first trial; doubles with each trial that crashes a replica. */
    std::chrono::seconds firstHoldOfSound { 3 }; /**< In place of `firstHold` where this host has seen an answer on the part go on lately. */
    std::chrono::seconds longestHold { 3600 };
    /** In which the number of hosts that may try doubles: longer than it takes to tell all hosts what came of it. */
    std::chrono::milliseconds trialInterval { 4000 };
    std::chrono::minutes evidenceKept { 10 }; /**< From a crash, or from the end of the hold that it supports. */
    std::chrono::seconds soundKept { 60 }; /**< For which an answer that went on is remembered; longer than reports take to arrive. */
    std::chrono::seconds toldFor { 12 }; /**< Longer than three turns of the exchange between 380 hosts. */
    size_t maxReports { 1024 };
    size_t maxParts { 64 }; /**< Of one report. */
    size_t maxCrashes { 64 }; /**< Kept for one part; the newest. */
    size_t maxReplicas { 2048 }; /**< That are remembered as crashed. */
    size_t maxSound { 4096 }; /**< Parts. */
    size_t maxReportsTold { 12 }; /**< In one message. */
    size_t maxSoundTold { 16 }; /**< In one message, parts and replicas each. */
};

/** A request that was cut off by the crash of its replica before its answer began, or just after. */
struct CrashReport {
    uint64_t id { 0 }; /**< Hash of the request and the replica, the same on all hosts. */
    uint64_t replica { 0 }; /**< Identity of the incarnation. */
    uint64_t failureDomain { 0 }; /**< Hash of the name. */
    BootTime sentAt; /**< When the request was sent to the replica. */
    BootTime crashedAt;
    std::optional<BootTime> answeredAt; /**< When the newest request was sent that the replica answered or began to answer. */
    std::vector<uint64_t> parts; /**< Parts of the prompt without those on which answers have gone on since. */
    bool firstHand { false }; /**< The request was this host's. */
    BootTime notedAt; /**< When this host learned of it. */
};

/** The newest answer on a part that went on for a while. */
struct SoundAnswer {
    BootTime begunAt;
    std::optional<BootTime> clearedAt; /**< When it last took the part out of a report. */
};

/** A crash that some host has reported. */
struct ReplicaCrash {
    uint64_t failureDomain { 0 };
    BootTime at;
};

/** What a host knows of crashes and of the parts that may have caused them. */
struct CrashEvidence {
    std::unordered_map<uint64_t, ReplicaCrash> crashes; /**< By replica. */
    std::vector<CrashReport> reports; /**< In the order in which they were noted. */
    std::unordered_map<uint64_t, SoundAnswer> sound; /**< By part. */
    std::unordered_map<uint64_t, BootTime> aliveAt; /**< Replicas that had not crashed, by when the request was sent that showed it. */
    bool isComplete { true }; /**< Otherwise the host has just started: others have yet to tell it of crashes and of sound answers. */
};

/** A crash of a replica with requests in progress that had the same part. */
struct PartCrash {
    uint64_t replica { 0 };
    uint64_t failureDomain { 0 };
    BootTime sentAt; /**< Of the first request with the part. */
    BootTime crashedAt;
    std::optional<BootTime> answeredAt; /**< As CrashReport::answeredAt; the newest. */
};

/** Another part that may have caused some of the crashes of a part. */
struct OtherCause {
    uint64_t part { 0 };
    std::vector<uint64_t> replicas; /**< That crashed with both, in ascending order. */
};

/** A part that is suspected of crashing replicas. */
struct SuspectPart {
    std::vector<PartCrash> crashes; /**< Oldest first. */
    std::vector<OtherCause> otherCauses;
    BootTime heldUntil; /**< Requests with the part are held back; from then on some are tried. */
    bool mayBeSound { false }; /**< An answer on the part has gone on lately, as far as this host can know. */
};

/** The suspected parts by their ids. */
using SuspectParts = std::unordered_map<uint64_t, SuspectPart>;

/**
 * Takes in a report, of this host or another one. A report that is known already changes its times to the earlier ones.
 * @return whether it says something new. Thread safety: safe while no other thread uses `evidence`.
 */
bool noteCrash(CrashEvidence& evidence, CrashReport, const QuarantineOptions&, BootTime now);

/**
 * An answer on the part began at this time and went on without a crash of its replica: earlier crashes had another cause.
 * @return whether the part was in a report. Thread safety: as noteCrash.
 */
bool noteSound(CrashEvidence& evidence, uint64_t part, BootTime begunAt, BootTime now);

/**
 * The replica has answered a request that was sent at this time. Takes back a crash that was no crash, such as connections that
 * something on the way reset. @return whether it did. Thread safety: as noteCrash.
 */
bool noteAlive(CrashEvidence& evidence, uint64_t replica, BootTime sentAt, const QuarantineOptions&);

/** Forgets what is old or beyond the bounds. To be called every second or so. Thread safety: as noteCrash. */
void forgetOld(CrashEvidence& evidence, const SuspectParts&, const QuarantineOptions&, BootTime now);

/** @return when the replica crashed, at or after this time, where that is known. Thread safety: const. */
std::optional<BootTime> crashOf(const CrashEvidence&, uint64_t replica, BootTime notBefore);

/** @return the parts that are suspected. Thread safety: const. */
SuspectParts suspectParts(const CrashEvidence&, const QuarantineOptions&);

/**
 * @return the part for which a request is to be held back; of several the one held longest. A suspected part is passed over where parts
 * that the request lacks explain its crashes: a part that occurs beside the one that crashes replicas is suspected as well until an
 * answer on it alone goes on. For a part on which answers have gone on lately, the crashes that nothing else explains have to be as many
 * as for any suspicion: one reset connection would otherwise hold back all requests that share it. Thread safety: const.
 */
std::optional<uint64_t> decisivePart(const SuspectParts&, std::span<const PromptPart> parts, const QuarantineOptions&);

/** @return how many hosts may try a request with the part. Thread safety: const. */
size_t trialHosts(const SuspectPart&, const QuarantineOptions&, BootTime now);

/** What a message to another host holds. */
struct EvidenceToTell {
    std::vector<const CrashReport*> reports;
    std::vector<uint64_t> sound; /**< Parts. */
    std::vector<uint64_t> alive; /**< Replicas. */
};

/**
 * @param whole for a host that may not know what was told earlier.
 * @param turn number of the message: where there is more to tell than one holds, those that follow each other tell all of it.
 * @return what to tell; refers to `evidence`. Thread safety: const.
 */
EvidenceToTell evidenceToTell(const CrashEvidence& evidence, bool whole, uint64_t turn, const QuarantineOptions&, BootTime now);

} // namespace siskinspread
