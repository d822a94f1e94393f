#include "siskinspread/RpcDispatcher.h"

#include "RpcJson.h"

#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <map>

namespace siskinspread {

namespace {

    std::string errorResponse(int code, const std::string& message)
    {
        Json::Value response;
        response["jsonrpc"] = "2.0";
        response["id"] = Json::Value::null;
        response["error"]["code"] = code;
        response["error"]["message"] = message;
        return writeJson(response);
    }

} // namespace

class RpcDispatcher::Impl : public jsonrpc::IProcedureInvokationHandler {
public:
    Impl()
        : m_protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, *this))
    {
    }

    bool add(const std::string& method, RpcHandler handler)
    {
        if (!m_handlers.emplace(method, std::move(handler)).second) {
            return false;
        }
        // No parameter list: the handler checks its own parameters.
        m_protocol->AddProcedure(jsonrpc::Procedure(method, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, NULL));
        return true;
    }

    std::string handle(const std::string& requestJson)
    {
        Json::Value parsed;
        if (!readJson(requestJson, parsed)) {
            return errorResponse(rpc_error::parseError, "the request is not valid JSON");
        }
        std::string response;
        m_protocol->HandleRequest(requestJson, response);
        return response;
    }

    void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input, Json::Value& output) override
    {
        const RpcOutcome outcome = m_handlers.at(procedure.GetProcedureName())(writeJson(input));
        if (!outcome.ok()) {
            throw jsonrpc::JsonRpcException(outcome.errorCode, outcome.errorMessage);
        }
        if (!readJson(outcome.resultJson, output)) {
            throw jsonrpc::JsonRpcException(rpc_error::internalError, "the method returned no valid JSON");
        }
    }

    void HandleNotificationCall(jsonrpc::Procedure&, const Json::Value&) override { }

private:
    std::map<std::string, RpcHandler> m_handlers;
    std::unique_ptr<jsonrpc::IProtocolHandler> m_protocol;
};

RpcDispatcher::RpcDispatcher()
    : m_impl(std::make_unique<Impl>())
{
}

RpcDispatcher::~RpcDispatcher() = default;

bool RpcDispatcher::registerMethod(const std::string& method, RpcHandler handler)
{
    return m_impl->add(method, std::move(handler));
}

std::string RpcDispatcher::handle(const std::string& requestJson)
{
    try {
        return m_impl->handle(requestJson);
    } catch (const std::exception& error) {
        return errorResponse(rpc_error::internalError, error.what());
    }
}

} // namespace siskinspread
