#pragma once

#include "siskinspread/ReplicaLimit.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace siskinspread {

/**
 * The limits that replicas have named, by identity of the incarnation. They are kept beyond the entry of a replica: one that is
 * lost and comes back is the same incarnation with the same limit.
 * Thread safety: loop thread only.
 */
class ReplicaLimits {
public:
    /** @param self name of this host; until others are set it holds all shares. */
    explicit ReplicaLimits(const std::string& self);

    /** @param hosts that may be calling replicas, in a fixed order; without this one when it stops. */
    void setHosts(std::vector<std::string> hosts);
    /** @param delay from the start of this process, after which the other hosts know it. */
    void setSettlingTime(std::chrono::milliseconds delay) { m_hosts.settledAt = m_startedAt + delay; }

    /** An answer names a limit. @return whether that is new. */
    bool noteNamed(uint64_t replica, double requestsPerSecond);
    /** An answer names none. @param sentAt when its request was sent. @return whether that is new. */
    bool noteUnnamed(uint64_t replica, BootTime sentAt);
    /** Another host tells what it knows; a limit that is negative or not finite is passed over. @return whether that is new. */
    bool noteTold(uint64_t replica, const LimitEvidence&);

    /** @return whether the replica may be called now, with a call of any kind. */
    bool mayCall(uint64_t replica);
    /** Counts a call that is made. */
    void countCall(uint64_t replica);
    /** @return the limit and the share of it, up to date; null when none is named. */
    const ReplicaLimit* find(uint64_t replica);

    /** @return how many limits are named. */
    size_t namedCount() const;
    /** What is known, also of limits that have ended lately; shares as of the last review. */
    const std::unordered_map<uint64_t, ReplicaLimit>& all() const { return m_limits; }
    /** Brings all shares up to date and forgets what has ended long ago. To be called every second or so. */
    void review();

private:
    bool note(uint64_t replica, const LimitEvidence&, bool firstHand);

    BootTime m_startedAt { BootClock::now() };
    LimitHosts m_hosts;
    std::unordered_map<uint64_t, ReplicaLimit> m_limits;
};

} // namespace siskinspread
