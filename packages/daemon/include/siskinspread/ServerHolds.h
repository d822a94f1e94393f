#pragma once

#include "siskinspread/HostContext.h"
#include "siskinspread/PeerCalls.h"
#include "siskinspread/Timers.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace siskinspread {

/**
 * Takes backend servers out of routing at every live entry host for a while, by the JSON-RPC method "hold_server".
 *
 * A hold ends by itself some time after it was last told, so that a host that dies or is cut off while it holds a server
 * back leaves nothing behind. Thread safety: decide thread only.
 */
class ServerHolds {
public:
    struct Parts {
        Timers& timers;
        PeerCalls& calls;
        std::function<std::vector<std::string>()> otherHosts; /**< The live ones of all failure domains. */
    };

    /** @param confirmed whether every live host has answered; otherwise waiting for them was given up. */
    using Told = std::function<void(bool confirmed)>;

    ServerHolds(HostContext&, Parts);

    /** Begins to send what holdBack asks for. */
    void start();

    /** Takes the server out of routing until release or abandonAll; `told` is called once, from a timer. */
    void holdBack(const std::string& server, Told told);

    /** Puts the server back, at hosts that do not hear of it when the hold ends by itself. */
    void release(const std::string& server);

    /** Stops to prolong the holds of this host; they end by themselves. */
    void abandonAll() { m_own.clear(); }

    /** @return whether this host is to send the server no new work. */
    bool isHeldBack(const std::string& server) const;

private:
    /** A hold that this host asked for. */
    struct OwnHold {
        uint64_t number { 0 };
        std::set<std::string> waiting; /**< Hosts that have not confirmed. */
        MonotonicTime prolongAt {};
        MonotonicTime giveUpAt {};
        Told told; /**< Empty once called. */
    };

    void tick();
    void advance(const std::string& server, OwnHold&);
    void tell(const std::string& server, const std::string& host, std::chrono::milliseconds time, PeerCalls::Done);
    RpcOutcome takeHold(const std::string& params);
    void hold(const std::string& server, std::chrono::milliseconds time);

    HostContext& m_context;
    const Parts m_parts;
    uint64_t m_lastNumber { 0 };
    std::map<std::string, OwnHold> m_own; /**< By server. */
    std::map<std::string, MonotonicTime> m_ends; /**< When each hold ends, by server. */
};

} // namespace siskinspread
