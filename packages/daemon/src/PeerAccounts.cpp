#include "siskinspread/PeerAccounts.h"

#include "siskinspread/Hex.h"
#include "siskinspread/RecordCodec.h"

#include <nlohmann/json.hpp>

namespace siskinspread {

namespace {

    constexpr const char* accountMethod = "account";

    nlohmann::json paramsOf(const IncarnationId& incarnation, const AccountQuery& query)
    {
        nlohmann::json params { { "incarnation", incarnation.text }, { "of", query.request.incarnation.text }, { "sequence", query.request.sequence } };
        if (query.key) {
            params["customer"] = query.key->customer;
            params["key"] = query.key->text;
        }
        return params;
    }

    AccountQuery queryOf(const nlohmann::json& params)
    {
        AccountQuery query;
        query.request = { .incarnation = { params.value("of", "") }, .sequence = params.value("sequence", uint64_t { 0 }) };
        if (params.contains("key")) {
            query.key = IdempotencyKey { .customer = params.value("customer", ""), .text = params.value("key", "") };
        }
        return query;
    }

} // namespace

PeerAccounts::PeerAccounts(HostContext& context, PeerCalls& calls, Local local)
    : m_context(context)
    , m_calls(calls)
    , m_local(std::move(local))
{
    m_calls.methods().registerMethod(accountMethod, [this](const std::string& params) { return answer(params); });
}

void PeerAccounts::ask(const IncarnationId& incarnation, const AccountQuery& query, Done done)
{
    m_calls.call(hostOf(incarnation), accountMethod, paramsOf(incarnation, query).dump(), [done = std::move(done)](const RpcOutcome& outcome) {
        const auto result = nlohmann::json::parse(outcome.resultJson, nullptr, false);
        if (!outcome.ok() || !result.is_string()) {
            done(std::nullopt);
            return;
        }
        LastReason reason;
        done(decodeAccountAnswer(fromHex(result.get<std::string>()), reason));
    });
}

RpcOutcome PeerAccounts::answer(const std::string& paramsJson) const
{
    const auto params = nlohmann::json::parse(paramsJson, nullptr, false);
    if (!params.is_object()) {
        return rpcFailure(rpc_error::invalidParams, "account takes an object");
    }
    if (params.value("incarnation", "") != m_context.incarnation.text) {
        return rpcFailure(static_cast<int>(ResultCode::UnknownRequest), "this host runs another incarnation");
    }
    return nlohmann::json(toHex(encodeAccountAnswer(m_local(queryOf(params))))).dump();
}

} // namespace siskinspread
