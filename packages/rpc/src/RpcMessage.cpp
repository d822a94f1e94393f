#include "siskinspread/RpcMessage.h"

#include "RpcJson.h"

namespace siskinspread {

// The library's client owns a blocking connector and numbers every request 1, so requests are built here.

std::string makeRpcRequest(uint64_t id, const std::string& method, const std::string& paramsJson)
{
    Json::Value request;
    request["jsonrpc"] = "2.0";
    request["id"] = Json::Value::UInt64 { id };
    request["method"] = method;
    if (!paramsJson.empty()) {
        Json::Value params;
        if (!readJson(paramsJson, params) || (!params.isObject() && !params.isArray())) {
            return {};
        }
        request["params"] = params;
    }
    return writeJson(request);
}

RpcOutcome parseRpcResponse(uint64_t id, const std::string& responseJson)
{
    Json::Value response;
    if (!readJson(responseJson, response) || !response.isObject() || response["jsonrpc"] != "2.0") {
        return rpcFailure(rpc_error::invalidResponse, "the response is not JSON-RPC 2.0");
    }
    const bool hasResult = response.isMember("result");
    const bool hasError = response.isMember("error") && !response["error"].isNull();
    if (hasResult == hasError) {
        return rpcFailure(rpc_error::invalidResponse, "the response has neither or both of result and error");
    }
    // An error about a request that the server could not read has the id null.
    const bool unread = hasError && response["id"].isNull();
    if (!unread && (!response["id"].isUInt64() || response["id"].asUInt64() != id)) {
        return rpcFailure(rpc_error::invalidResponse, "the response answers another request");
    }
    if (hasResult) {
        return writeJson(response["result"]);
    }
    const Json::Value& error = response["error"];
    if (!error.isObject() || !error["code"].isInt() || !error["message"].isString() || !error["code"].asInt()) {
        return rpcFailure(rpc_error::invalidResponse, "the error of the response has no code and message");
    }
    return rpcFailure(error["code"].asInt(), error["message"].asString());
}

} // namespace siskinspread
