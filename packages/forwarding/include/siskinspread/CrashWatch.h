#pragma once

#include "siskinspread/PromptQuarantine.h"
#include "siskinspread/ReplicaConnection.h"

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace siskinspread {

/** @return the id of a prompt part as it is logged. Thread safety: reentrant. */
std::string partName(uint64_t part);

/** @return the first of the parts as they are logged. Thread safety: reentrant. */
std::string partNames(std::span<const PromptPart> parts);

/** A request at a replica, as evidence of what its prompt does there. */
struct PromptAttempt {
    uint64_t id { 0 }; /**< As CrashReport::id. */
    uint64_t replica { 0 };
    uint64_t failureDomain { 0 };
    BootTime sentAt;
    std::vector<uint64_t> parts; /**< Ids; first the last part of the prompt, which few requests share, then the others. */
};

/** Why a request is held back. */
struct HeldPrompt {
    uint64_t part { 0 };
    std::chrono::milliseconds comeBackAfter { 0 };
};

/** A part that is suspected from now on, or no longer. */
struct SuspicionChange {
    uint64_t part { 0 };
    bool suspected { false };
    size_t crashes { 0 };
    BootTime heldUntil;
};

/**
 * Watches answers begin and replicas crash, and holds back requests with prompt parts that are suspected of it; what it decides is in
 * PromptQuarantine.h.
 * Thread safety: loop thread only.
 */
class CrashWatch {
public:
    /** @param self name of this host. */
    explicit CrashWatch(std::string self);

    /** @param hosts that may be calling replicas, this one included. */
    void setHosts(std::vector<std::string> hosts) { m_hosts = std::move(hosts); }

    /** The first bytes of the body of an answer have come. @param connection on which they came. */
    void noteBegun(PromptAttempt, std::weak_ptr<const ReplicaConnection> connection);
    /** The connection of a request ended before its answer did. @param begunAt when its body began; empty: not yet. */
    void noteCut(const PromptAttempt&, std::optional<BootTime> begunAt);
    /** A replica has answered a request, of this host or of another one, that was sent at this time. */
    void noteAlive(uint64_t replica, BootTime sentAt);
    /** What another host has told. */
    void noteTold(CrashReport);
    void noteToldSound(uint64_t part, BootTime begunAt);

    /** @return the part for which a request with this prompt may not be sent now; nothing where it may. */
    std::optional<HeldPrompt> heldFor(std::span<const PromptPart> prompt);
    /** A request with this prompt is sent. @return the suspected part that it tries. Precondition: it is not held back. */
    std::optional<uint64_t> noteSent(std::span<const PromptPart> prompt);

    /** Judges the answers that have begun a while ago, and forgets what is old. To be called every 50 ms or so. @return changes since the last call. */
    std::vector<SuspicionChange> review();

    /** @param turn number of the message. */
    EvidenceToTell evidenceToTell(bool whole, uint64_t turn) const { return siskinspread::evidenceToTell(m_evidence, whole, turn, m_options, BootClock::now()); }
    const CrashEvidence& evidence() const { return m_evidence; }
    size_t suspectCount() { return suspects().size(); }

private:
    struct BegunAnswer {
        PromptAttempt attempt;
        BootTime begunAt;
        std::weak_ptr<const ReplicaConnection> connection;
    };

    /** Times at which a replica was seen running, each followed by the next sooner than it could have restarted in between. */
    struct RunningSpan {
        BootTime since;
        BootTime until;
        BootTime answeredAt; /**< As CrashReport::answeredAt. */
    };

    const SuspectParts& suspects();
    bool mayTry(uint64_t part, const SuspectPart&, BootTime now) const;
    /** @return whether nothing more can be learnt from the answer. */
    bool judge(const BegunAnswer&, BootTime now);
    void judgeBegun(BootTime now);
    void noteRunning(uint64_t replica, BootTime sentAt, BootTime seenAt);
    bool wentOn(const BegunAnswer&) const;
    void report(const PromptAttempt&, BootTime crashedAt);

    std::string m_self;
    std::vector<std::string> m_hosts;
    BootTime m_startedAt;
    QuarantineOptions m_options;
    CrashEvidence m_evidence;
    SuspectParts m_suspects;
    bool m_suspectsCurrent { true };
    std::deque<BegunAnswer> m_begun; /**< Oldest first. */
    std::deque<BegunAnswer> m_unproven; /**< Whose connections have closed, until the replica answers again; oldest first. */
    std::unordered_map<uint64_t, RunningSpan> m_running; /**< By replica. */
    std::unordered_map<uint64_t, BootTime> m_trials; /**< When this host last tried a part. */
    SuspectParts m_told; /**< As of the last review. */
    BootTime m_forgotAt;
    BootTime m_reviewedAt;
    BootTime m_judgeFrom; /**< Later than now after the loop has stood still. */
};

} // namespace siskinspread
