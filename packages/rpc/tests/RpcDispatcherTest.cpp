#include "siskinspread/RpcDispatcher.h"
#include "siskinspread/RpcMessage.h"

#include <doctest/doctest.h>

#include <limits>
#include <stdexcept>

namespace siskinspread {

namespace {

    void registerAll(RpcDispatcher& dispatcher)
    {
        dispatcher.registerMethod("echo", [](const std::string& params) { return params; });
        dispatcher.registerMethod("refuse", [](const std::string&) { return rpcFailure(502, "older revision"); });
        dispatcher.registerMethod("garbage", [](const std::string&) { return std::string { "{" }; });
        dispatcher.registerMethod("throw", [](const std::string&) -> RpcOutcome { throw std::runtime_error { "x" }; });
    }

    RpcOutcome call(const std::string& method, const std::string& params)
    {
        RpcDispatcher dispatcher;
        registerAll(dispatcher);
        return parseRpcResponse(7, dispatcher.handle(makeRpcRequest(7, method, params)));
    }

} // namespace

TEST_CASE("a call returns what its handler returned")
{
    CHECK(call("echo", R"({"revision":18446744073709551615})").resultJson == R"({"revision":18446744073709551615})");
    CHECK(call("echo", R"([1,"two"])").resultJson == R"([1,"two"])");
    CHECK(call("echo", "").resultJson == "null");
}

TEST_CASE("errors carry their code")
{
    const RpcOutcome refused = call("refuse", "{}");
    CHECK(refused.errorCode == 502);
    CHECK(refused.errorMessage == "older revision");
    CHECK(call("missing", "{}").errorCode == rpc_error::methodNotFound);
    CHECK(call("garbage", "{}").errorCode == rpc_error::internalError);
    CHECK(call("throw", "{}").errorCode == rpc_error::internalError);
}

TEST_CASE("malformed requests are answered with an error")
{
    RpcDispatcher dispatcher;
    registerAll(dispatcher);
    const std::string deep(5000, '[');
    for (const std::string& text : { std::string {}, std::string { "{" }, deep, std::string { "{} {}" } }) {
        CAPTURE(text);
        CHECK(parseRpcResponse(1, dispatcher.handle(text)).errorCode == rpc_error::parseError);
    }
    for (const char* text : { "{}", "3", R"({"jsonrpc":"2.0","id":1,"method":5})", R"({"jsonrpc":"1.0","id":1,"method":"echo"})",
             R"({"jsonrpc":"2.0","id":{},"method":"echo"})", R"({"jsonrpc":"2.0","id":1,"method":"echo","params":4})" }) {
        CAPTURE(text);
        const std::string response = dispatcher.handle(text);
        CAPTURE(response);
        CHECK(parseRpcResponse(1, response).errorCode == rpc_error::invalidRequest);
    }
}

TEST_CASE("a method name is registered once")
{
    RpcDispatcher dispatcher;
    registerAll(dispatcher);
    CHECK_FALSE(dispatcher.registerMethod("echo", [](const std::string&) { return std::string { "1" }; }));
    CHECK(parseRpcResponse(1, dispatcher.handle(makeRpcRequest(1, "echo", "{}"))).resultJson == "{}");
}

TEST_CASE("parameters must be an object or an array")
{
    CHECK(makeRpcRequest(1, "echo", "3").empty());
    CHECK(makeRpcRequest(1, "echo", "{").empty());
}

TEST_CASE("a response that does not answer the request is refused")
{
    const std::string largest = std::to_string(std::numeric_limits<uint64_t>::max());
    CHECK(parseRpcResponse(std::numeric_limits<uint64_t>::max(), R"({"jsonrpc":"2.0","result":0,"id":)" + largest + "}").ok());
    for (const char* text : { "", "[]", "null", R"({"jsonrpc":"2.0","id":2,"result":0})", R"({"id":1,"result":0})",
             R"({"jsonrpc":"2.0","id":1})", R"({"jsonrpc":"2.0","id":"1","result":0})", R"({"jsonrpc":"2.0","id":null,"result":0})",
             R"({"jsonrpc":"2.0","id":1,"result":0,"error":{"code":1,"message":""}})",
             R"({"jsonrpc":"2.0","id":1,"error":3})", R"({"jsonrpc":"2.0","id":1,"error":{"code":0,"message":""}})" }) {
        CAPTURE(text);
        CHECK(parseRpcResponse(1, text).errorCode == rpc_error::invalidResponse);
    }
}

} // namespace siskinspread
