#pragma once

#include <string>
#include <utility>

namespace siskinspread {

/** Error codes of JSON-RPC 2.0, section 5.1, and one of this package's own. Applications use positive codes. */
namespace rpc_error {
    constexpr int none = 0;
    constexpr int parseError = -32700;
    constexpr int invalidRequest = -32600;
    constexpr int methodNotFound = -32601;
    constexpr int invalidParams = -32602;
    constexpr int internalError = -32603;
    constexpr int invalidResponse = -32003; /**< The response is not JSON-RPC 2.0 or answers another request. */
}

/**
 * Result of one remote call: either `resultJson`, or an error code other than zero with its message. Daemons use the
 * numbers of the result table as codes. Converts from a string, so that a handler may simply return its result.
 */
struct RpcOutcome {
    RpcOutcome() = default;
    // NOLINTNEXTLINE(google-explicit-constructor): a handler returns its result as a string
    RpcOutcome(std::string result)
        : resultJson(std::move(result))
    {
    }

    /** @return whether the call succeeded. Thread safety: const. */
    bool ok() const { return errorCode == rpc_error::none; }

    std::string resultJson;
    int errorCode { rpc_error::none };
    std::string errorMessage;
};

/**
 * @param code any number but zero.
 * @return an outcome that carries an error. Thread safety: reentrant.
 */
inline RpcOutcome rpcFailure(int code, std::string message)
{
    RpcOutcome outcome;
    outcome.errorCode = code;
    outcome.errorMessage = std::move(message);
    return outcome;
}

} // namespace siskinspread
