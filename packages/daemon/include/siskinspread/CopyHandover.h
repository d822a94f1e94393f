#pragma once

#include "siskinspread/CopyHolder.h"
#include "siskinspread/HostContext.h"
#include "siskinspread/PeerCalls.h"
#include "siskinspread/PeerDirectory.h"
#include "siskinspread/Timers.h"

#include <map>
#include <set>
#include <vector>

namespace siskinspread {

/** JSON-RPC method by which a host that leaves hands a part of the copies that it holds to another. */
constexpr const char* adoptMethod = "adopt";

/**
 * Hands over the copies of a host that leaves to two hosts that stay, of other failure domains where there are any.
 * Thread safety: decide thread only.
 */
class CopyHandover {
public:
    CopyHandover(HostContext&, Timers&, PeerCalls&, PeerDirectory&);

    /** Offers the parts until the process ends. Call it once. */
    void begin(std::vector<CopiesPart> parts);

    /** @return whether one host has all parts. */
    bool isDone() const;

private:
    std::vector<IncarnationId> heirs() const;
    void offerAll();
    void offer(const IncarnationId& to, size_t index);

    HostContext& m_context;
    Timers& m_timers;
    PeerCalls& m_calls;
    PeerDirectory& m_peers;
    std::vector<CopiesPart> m_parts;
    std::map<IncarnationId, std::set<size_t>> m_taken; /**< Indexes into `m_parts` by the host that has taken them. */
    std::set<IncarnationId> m_unwilling; /**< Hosts that refused an offer. */
};

} // namespace siskinspread
