#pragma once

#include "siskinspread/HostContext.h"
#include "siskinspread/RpcDispatcher.h"

#include <chrono>
#include <functional>
#include <string>
#include <string_view>

namespace siskinspread {

/** @return the name of the host that an incarnation runs on. Thread safety: reentrant. */
std::string hostOf(const IncarnationId&);

/** @return the settings of the peer of this name, or null. Thread safety: reentrant. */
const schema::PeerSettings* findPeer(const schema::Settings&, std::string_view host);

/** Path of the JSON-RPC endpoint on the peer port. */
constexpr const char* rpcPath = "/rpc";

/** Longest time of one call to a peer. */
constexpr std::chrono::milliseconds peerCallTimeout { 1000 };

/**
 * JSON-RPC between entry hosts. Calls go out over the peers' client; requests that arrive are handled by the methods
 * registered with `methods`. Thread safety: decide thread only.
 */
class PeerCalls {
public:
    using Done = std::function<void(const RpcOutcome&)>;

    explicit PeerCalls(HostContext&);

    /**
     * Calls a method at a peer. `done` is called once, never before call returns; with rpc_error::internalError
     * when the peer is not known or did not answer in time.
     */
    void call(const std::string& host, const std::string& method, const std::string& paramsJson, Done done);

    /** The methods that peers may call here; they run on the decide thread and answer at once. */
    RpcDispatcher& methods() { return m_methods; }

    /** @return whether the request was a JSON-RPC request, which is then answered. */
    bool handle(const IncomingRequest&);

private:
    HostContext& m_context;
    RpcDispatcher m_methods;
    uint64_t m_lastCall { 0 };
};

} // namespace siskinspread
