#pragma once

#include "siskinspread/PeerCalls.h"
#include "siskinspread/SliceMap.h"
#include "siskinspread/Timers.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace siskinspread {

/**
 * Which incarnation runs at each peer, asked by JSON-RPC. A verdict that an incarnation has ended may be wrong: it costs
 * availability, never correctness (docs/design/at-most-once.md). Thread safety: decide thread only.
 */
class PeerDirectory {
public:
    /** Registers the methods "identity" and "goodbye". */
    PeerDirectory(HostContext&, Timers&, PeerCalls&);

    /** Begins to ask. */
    void start();

    /** @return this host and the peers that have answered lately and are not leaving. */
    std::vector<SliceOwnerCandidate> live() const;

    /** @return incarnations that have said goodbye, were replaced at their host, or have not answered for a while. */
    const std::set<IncarnationId>& ended() const { return m_ended; }

    /** Counts an incarnation that is known only from the slice map: it has to answer within the usual time. */
    void expect(const IncarnationId&);

    /** Tells all peers that this incarnation takes no more work and has closed its log. */
    void sayGoodbye();

private:
    struct Peer {
        IncarnationId incarnation;
        MonotonicTime answeredAt {};
    };

    void askAll();
    void onIdentity(const std::string& host, const RpcOutcome&);
    void forgiveOwnPause();
    void judgeSilence();
    void markEnded(const IncarnationId&);

    HostContext& m_context;
    Timers& m_timers;
    PeerCalls& m_calls;
    std::map<std::string, Peer> m_peers;
    std::optional<MonotonicTime> m_askedAt;
    std::map<IncarnationId, MonotonicTime> m_expected; /**< Since when an answer is awaited. */
    std::set<IncarnationId> m_ended;
    std::set<IncarnationId> m_final; /**< Those of `m_ended` that cannot come back: replaced, or said goodbye. */
};

} // namespace siskinspread
