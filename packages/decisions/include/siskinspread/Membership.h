#pragma once

#include "siskinspread/MembershipTable.h"

#include <chrono>
#include <set>
#include <variant>

namespace siskinspread {

/** What the sender knows of one failure domain. */
struct DomainView {
    std::string failureDomain;
    std::chrono::milliseconds age { 0 }; /**< Since anyone in the sender's domain heard from it; zero for its own. */
    uint64_t digest { 0 }; /**< Of its live and suspected members. */
};

/** Are you there? */
struct Ping {
    uint64_t sequence { 0 };
};
/** Answers Ping, also on behalf of a target that was pinged on request. */
struct PingAck {
    uint64_t sequence { 0 };
};
/** Ping `target` for the sender, whose own ping got no answer. */
struct PingRequest {
    uint64_t sequence { 0 };
    std::string target;
};
/** The sender's records of a domain on which the digests differ; answered by DomainRecords. */
struct DomainRecordsRequest {
    std::string failureDomain;
    std::vector<MemberRecord> records;
};
struct DomainRecords {
    std::string failureDomain;
    std::vector<MemberRecord> records;
};
/** From a relay of one domain to a relay of another; the header says it all. */
struct DomainSummary { };

using MembershipBody = std::variant<Ping, PingAck, PingRequest, DomainRecordsRequest, DomainRecords, DomainSummary>;

/**
 * A message between hosts. Bounded but for the record lists, which go over a stream transport; the others fit a datagram.
 */
struct MembershipMessage {
    MemberRecord sender;
    std::vector<DomainView> views;
    std::vector<MemberRecord> rumours;
    MembershipBody body;
};

/** An address at which a host may run, from the settings or the platform's list. */
struct MembershipHint {
    std::string address;
    std::string failureDomain;
};

/** Time passed; to be sent every 100 ms or so. */
struct MembershipTick { };
struct MembershipReceived {
    MembershipMessage message;
};
/** Replaces the hints. They are tried now and then, and prove nothing about who is alive. */
struct MembershipHints {
    std::vector<MembershipHint> hints;
};
/** This host stops; tells others once and goes on answering. */
struct MembershipLeave { };

using MembershipEvent = std::variant<MembershipTick, MembershipReceived, MembershipHints, MembershipLeave>;

struct SendMembership {
    std::string address;
    MembershipMessage message;
};
/** A host's status or process has changed. */
struct MemberChanged {
    MemberRecord record;
};

using MembershipAction = std::variant<SendMembership, MemberChanged>;

struct MembershipOptions {
    std::chrono::milliseconds period { 1'000 }; /**< One member is probed in each. */
    std::chrono::milliseconds pingTimeout { 300 }; /**< Before others are asked to probe the member; below period. */
    std::chrono::milliseconds suspicionTime { 6'000 }; /**< For a suspected member to refute. */
    uint32_t indirectProbes { 3 }; /**< By hosts of the own domain, filled up with hosts of others. */
    uint32_t joinPeriods { 5 }; /**< In the first periods several absent addresses are tried in each. */
    size_t joinProbes { 8 };
    uint32_t rejoinPeriods { 4 }; /**< Every so many periods a dead or hinted address is tried. */
    uint32_t rumourFactor { 3 }; /**< A record is passed on this often, times the logarithm of the members. */
    size_t maxRumours { 8 }; /**< Records in a message. */
    uint32_t relayCount { 2 }; /**< Hosts of a domain that talk to other domains. */
    std::chrono::milliseconds syncInterval { 2'000 }; /**< Shortest time between two exchanges of a domain's records. */
    std::chrono::milliseconds domainSilence { 6'000 }; /**< After which another domain counts as out of reach. */
    std::chrono::milliseconds pauseThreshold { 2'500 }; /**< A longer gap between ticks means that this process was paused. */
    std::chrono::milliseconds forgetTime { 600'000 }; /**< Dead records are kept this long. */
};

/** The unsafe reference for tests: a member is dead at the first probe without an answer. Thread safety: reentrant. */
MembershipOptions firstMissOptions();

struct DirectProbe {
    uint64_t sequence { 0 };
    std::string address;
    MonotonicTime sentAt;
    bool askedOthers { false };
};

struct RequestedProbe {
    std::string requester;
    uint64_t requesterSequence { 0 };
    MonotonicTime sentAt;
};

/** State of one host. `self` and `seed` are set at start, the rest is kept by step. */
struct MembershipState {
    MemberRecord self;
    uint64_t seed { 0 }; /**< Spreads the choice of targets; differs between hosts. */
    MembershipTable table; /**< The others. */
    std::vector<MembershipHint> hints;
    std::map<std::string, MonotonicTime> domainHeardAt; /**< Other domains, by anyone in the own one. */

    uint64_t sequence { 0 };
    uint64_t round { 0 };
    std::vector<std::string> probeOrder; /**< Members still to be probed in this cycle, last first. */
    std::optional<DirectProbe> probe;
    std::map<uint64_t, RequestedProbe> requestedProbes;
    MonotonicTime nextPeriodAt;
    std::optional<MonotonicTime> lastTickAt;
    std::optional<MonotonicTime> answeredAt; /**< When an answer to a ping of this host last arrived. */
    std::map<std::string, MonotonicTime> nextSyncAt; /**< By domain. */
};

/**
 * Membership by random probes with suspicion (A. Das, I. Gupta, A. Motivala: SWIM: scalable weakly-consistent
 * infection-style process group membership protocol, DSN 2002) inside a failure domain; a few relay hosts exchange
 * digests, and on a difference records, between domains. Only hosts of its own domain declare a host dead, so a cut
 * between domains kills nobody on either side.
 *
 * Each host sends a constant number of messages a period, whatever the number of hosts.
 * Thread safety: safe while no other thread uses `state`.
 */
void step(MembershipState& state, const MembershipOptions& options, const MembershipEvent& event, MonotonicTime now,
    std::vector<MembershipAction>& actions);

/** @return live and suspected hosts of a failure domain, the own one included, ordered by address. Thread safety: const. */
std::vector<MemberRecord> presentMembers(const MembershipState& state, const std::string& failureDomain);

/** @return the hosts of a domain that talk to other domains; at most `count`. Thread safety: const. */
std::vector<std::string> relayAddresses(const MembershipState& state, const std::string& failureDomain, uint32_t count);

/** @return whether another domain was heard from lately, directly or by way of a relay. Thread safety: const. */
bool isDomainReachable(const MembershipState& state, const MembershipOptions& options, const std::string& failureDomain, MonotonicTime now);

} // namespace siskinspread
