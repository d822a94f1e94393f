#pragma once

#include "siskinspread/BootClock.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace siskinspread {

/** What an answer of a replica showed of its limit. */
struct LimitEvidence {
    std::optional<double> requestsPerSecond; /**< That the replica takes from all hosts together. Empty: it named no limit. */
    /**
     * When the answer came. For an answer without a limit, when its request was sent: it may have been made at any time after,
     * before a limit that another answer has named since.
     */
    BootTime at;
    uint32_t round { 0 }; /**< Of the holders of shares, see ReplicaLimit. */
};

/** The hosts among which limits are shared, as one of them knows them. */
struct LimitHosts {
    std::string self;
    std::vector<std::string> all; /**< In any order; without `self` when this host stops. */
    uint64_t version { 0 }; /**< Differs whenever `all` does. */
    BootTime settledAt; /**< Before, other hosts may not know this one yet and hold its shares. */
};

/**
 * The limit of one incarnation of a replica and this host's share of it.
 *
 * No host sees in time what the others send, and a limit can lie far below one request a second for each host. So a few hosts
 * hold equal shares and the others send the replica nothing. The holders follow from the replica, the names of the hosts and a
 * round, without any messages. A round ends when no host has had an answer of the replica for a while: the holders may have no
 * callers, or may not reach it.
 */
struct ReplicaLimit {
    uint64_t replica { 0 }; /**< Identity of the incarnation. */
    std::optional<LimitEvidence> evidence; /**< The newest. Its round is the highest of any evidence. */
    bool firstHand { false }; /**< This host has had an answer that showed the limit as it is. */
    BootTime changedAt; /**< When `evidence` last changed in more than its age. */

    uint32_t holders { 0 }; /**< Hosts over which the limit is divided; zero before the share was first determined. */
    bool holdsShare { false }; /**< This host is one of them. */
    double calls { 0 }; /**< That this host may make now. */
    BootTime refilledAt; /**< When `calls` was last brought up to date; in the future while this host settles. */
    uint32_t sharedRound { 0 }; /**< Round for which the holders were determined. */
    uint64_t sharedVersion { 0 }; /**< Version of the hosts for which the holders were determined. */
};

/** @return over how many hosts a limit is divided. Thread safety: reentrant. */
uint32_t limitHolders(double requestsPerSecond, size_t hosts);

/** @return the round that the holders are in. Precondition: a limit is named. Thread safety: const. */
uint32_t limitRound(const ReplicaLimit&, BootTime now);

/**
 * Takes in what an answer showed here, or what another host was shown; older evidence than the known one changes nothing but the
 * round. @return whether the limit is another one now. Thread safety: safe while no other thread uses `limit`.
 */
bool noteEvidence(ReplicaLimit& limit, const LimitEvidence&, bool firstHand, BootTime now);

/** Determines the holders anew where hosts or round have changed, and refills the share. Thread safety: as noteEvidence. */
void refreshShare(ReplicaLimit& limit, const LimitHosts&, BootTime now);

/** @return whether this host may call the replica now. Precondition: refreshed. Thread safety: const. */
bool mayCall(const ReplicaLimit&);

/** @return how many calls this host may make within this time. Precondition: refreshed, and a limit is named. Thread safety: const. */
uint64_t callsWithin(const ReplicaLimit&, std::chrono::microseconds, BootTime now);

/** Counts a call of any kind. Precondition: mayCall. Thread safety: as noteEvidence. */
void countCall(ReplicaLimit& limit);

} // namespace siskinspread
