#pragma once

#include "siskinspread/RpcOutcome.h"

#include <cstdint>
#include <string>

namespace siskinspread {

/**
 * Client side of JSON-RPC 2.0: builds the text of a request, to be sent by any transport.
 *
 * @param id echoed by the response; the caller chooses it, unique among its open calls on one connection.
 * @param method name of the method, not empty.
 * @param paramsJson a JSON object or array; empty for no parameters.
 * @return the request; empty when `paramsJson` is neither an object nor an array.
 * Thread safety: reentrant.
 */
std::string makeRpcRequest(uint64_t id, const std::string& method, const std::string& paramsJson);

/**
 * Reads the response to one request.
 *
 * @param id the id of the request that this must answer.
 * @param responseJson any text.
 * @return the result or the error of the call; rpc_error::invalidResponse for text that is not a response to `id`.
 * Thread safety: reentrant.
 */
RpcOutcome parseRpcResponse(uint64_t id, const std::string& responseJson);

} // namespace siskinspread
