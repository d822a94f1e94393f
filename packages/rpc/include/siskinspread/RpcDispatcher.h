#pragma once

#include "siskinspread/RpcOutcome.h"

#include <functional>
#include <memory>
#include <string>

namespace siskinspread {

/**
 * Executes one method. Receives the parameters as JSON text ("null" where the request has none) and returns the result
 * as JSON text or a failure. Called on the thread that called RpcDispatcher::handle.
 */
using RpcHandler = std::function<RpcOutcome(const std::string& paramsJson)>;

/**
 * Server side of JSON-RPC 2.0 without sockets or threads: request text in, response text out. The protocol is
 * libjsonrpccpp's; the transport is the caller's.
 *
 * Thread safety: registerMethod must not run at the same time as any other call. handle may be called from several
 * threads at once if the handlers allow it.
 */
class RpcDispatcher {
public:
    RpcDispatcher();
    ~RpcDispatcher();
    RpcDispatcher(const RpcDispatcher&) = delete;
    RpcDispatcher& operator=(const RpcDispatcher&) = delete;

    /**
     * @param method the name in requests; not empty.
     * @param handler not empty.
     * @return false when the name is taken; the earlier handler then stays.
     */
    bool registerMethod(const std::string& method, RpcHandler handler);

    /**
     * Handles a request or a batch of requests.
     * @param requestJson any text; malformed text gets an error response.
     * @return the response; empty for a notification. A handler that throws or returns text that is no JSON is answered
     * with rpc_error::internalError.
     */
    std::string handle(const std::string& requestJson);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace siskinspread
