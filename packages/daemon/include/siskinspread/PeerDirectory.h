#pragma once

#include "siskinspread/CloudApi.h"
#include "siskinspread/MembershipAdapter.h"
#include "siskinspread/PeerLiveness.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace siskinspread {

/**
 * Which incarnation runs at each peer and which have ended, from membership; the cloud API is asked about those of which
 * the hosts cannot tell. A verdict that an incarnation has ended may be wrong: it costs availability, never correctness
 * (docs/design/at-most-once.md). Thread safety: decide thread only.
 */
class PeerDirectory {
public:
    struct Parts {
        Timers& timers;
        PeerCalls& calls;
        const MembershipAdapter& membership;
    };

    /** Registers the method "goodbye". */
    PeerDirectory(HostContext&, Parts, CloudApiOptions);

    /** Begins to review the peers. */
    void start();

    /** @return this host and the peers within reach that are neither suspected nor leaving. */
    const std::vector<SliceOwnerCandidate>& live() const { return m_verdicts.live; }

    /** @return incarnations that have said goodbye, were replaced at their host, or are dead. */
    const std::set<IncarnationId>& ended() const { return m_verdicts.ended; }

    /** @return whether an incarnation can not act any more: it was replaced at its address, or its host has ended. */
    bool isGone(const IncarnationId& incarnation) const { return m_state.gone.contains(incarnation); }

    /** @return whether an incarnation has ended or its failure domain is out of reach. */
    bool isLost(const IncarnationId&) const;

    /** @return whether hosts that started together have had time to hear of each other. */
    bool hasJoined() const;

    /** Replaces the incarnations that the slice map names: each has to be known to its domain within some seconds. */
    void expect(const std::set<IncarnationId>& owners);

    /** Lets the cloud API be asked about a copy holder too, should it come to be in doubt. */
    void awaitVerdict(const IncarnationId& holder);

    /** Tells all peers that this incarnation takes no more work and has closed its log. */
    void sayGoodbye();

private:
    void review();
    ExpectedPeer expectedPeer(const IncarnationId&) const;
    void logChanges(const std::set<IncarnationId>& before) const;
    void askPlatform();
    void onHostState(const std::string& host, const TransferEnded&);

    HostContext& m_context;
    Parts m_parts;
    const CloudApiOptions m_cloud;
    const PeerLivenessOptions m_options;
    PeerLivenessState m_state;
    PeerVerdicts m_verdicts;
    std::vector<ExpectedPeer> m_expected;
    std::vector<ExpectedPeer> m_holders;
    std::map<std::string, MonotonicTime> m_askedAt; /**< By host, of the cloud API. */
    MonotonicTime m_startedAt {};
    bool m_ownsSlices { false };
};

} // namespace siskinspread
