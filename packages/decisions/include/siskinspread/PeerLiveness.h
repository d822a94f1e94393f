#pragma once

#include "siskinspread/Membership.h"
#include "siskinspread/SliceMap.h"

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

/**
 * @file Which incarnations have ended, so that their logs may be closed and their slices taken over. A wrong verdict
 * costs availability, never correctness: closing the log is the fence. See docs/design/membership.md.
 */

namespace siskinspread {

/** An incarnation whose end matters, since it owns slices or holds copies, whether or not it has been heard of. */
struct ExpectedPeer {
    IncarnationId incarnation;
    std::string host;
    std::string failureDomain; /**< Empty when the settings do not name the host. */
};

struct PeerLivenessOptions {
    bool asksPlatform { false }; /**< A cloud API tells which hosts have ended; without one a long silence does. */
    std::chrono::milliseconds silenceTime { 4'000 }; /**< Without a cloud API: of an incarnation that has come to be in doubt. */
    std::chrono::milliseconds expectTime { 10'000 }; /**< For an incarnation to be known to the hosts of its domain. */
    std::chrono::milliseconds replacementTime { 3'000 }; /**< For the later of two processes at one host to say so. */
    std::chrono::milliseconds leaveTime { 10'000 }; /**< For a leaving host to close its log by itself. */
    std::chrono::milliseconds refutationTime { 3'000 }; /**< For a dead host that is still heard to hear of it and refute. */
    std::chrono::milliseconds isolationTime { 6'000 }; /**< A host whose pings nobody answered for so long judges nobody. */
    std::chrono::milliseconds pauseThreshold { 2'500 }; /**< A longer gap between reviews means that this process was paused. */
};

/** An incarnation that can not be judged by what the hosts say of each other, and since when. */
struct SilentPeer {
    std::string host;
    MonotonicTime since;
};

/** State of one host; default-constructed. */
struct PeerLivenessState {
    std::map<std::string, std::map<IncarnationId, uint32_t>> generations; /**< Of the processes seen at each address. */
    std::set<IncarnationId> gone; /**< For certain: replaced at their address, or their host has ended. */
    std::set<IncarnationId> goodbyes; /**< Closed their log themselves. */
    std::map<IncarnationId, MonotonicTime> absent; /**< Expected, and not known to membership, since then. */
    std::map<IncarnationId, SilentPeer> silent;
    std::optional<MonotonicTime> lastReviewAt;
};

/** What one host holds of the others' incarnations. */
struct PeerVerdicts {
    std::vector<SliceOwnerCandidate> live; /**< Those within reach that are not suspected; this one first. */
    std::set<IncarnationId> ended;
    std::set<std::string> inDoubt; /**< Hosts of expected incarnations that only the platform can tell of. */
};

/**
 * Judges all incarnations that membership knows of or the slice map names. To be called every 250 ms or so.
 * Thread safety: safe while no other thread uses `state`.
 */
PeerVerdicts reviewPeers(PeerLivenessState& state, const PeerLivenessOptions& options, const MembershipState& membership,
    const MembershipOptions& membershipOptions, const std::vector<ExpectedPeer>& expected, MonotonicTime now);

/** An incarnation said that it has closed its log. Thread safety: safe while no other thread uses `state`. */
void takeGoodbye(PeerLivenessState& state, const IncarnationId& incarnation);

/**
 * The platform said that a host has ended: what was in doubt at it, and still is, is gone.
 * Thread safety: safe while no other thread uses `state`.
 */
void takeHostEnded(PeerLivenessState& state, const std::string& host);

} // namespace siskinspread
