#include "siskinspread/HandedOverRequest.h"

#include "siskinspread/ChatRequest.h"

namespace siskinspread {

namespace {

    bool hasFields(const nlohmann::json& document)
    {
        return document.is_object() && document.contains("from") && document["from"].is_string()
            && document.contains("customer") && document["customer"].is_string() && document.contains("text") && document["text"].is_string()
            && document.contains("tokens_sent") && document["tokens_sent"].is_number_unsigned()
            && document.contains("time_left_ms") && document["time_left_ms"].is_number_integer()
            && document.contains("may_have_run") && document["may_have_run"].is_boolean()
            && document.contains("body") && isChatRequest(document["body"]);
    }

} // namespace

std::string encodeHandedOverRequest(const HandedOverRequest& request)
{
    return jsonText(nlohmann::json {
        { "from", formatRequestId(request.from) },
        { "customer", request.customer },
        { "body", request.body },
        { "tokens_sent", request.tokensSent },
        { "text", request.text },
        { "time_left_ms", request.timeLeft.count() },
        { "may_have_run", request.runState != RunState::NotRun },
    });
}

std::optional<HandedOverRequest> decodeHandedOverRequest(const std::string& text, LastReason& reason)
{
    nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
    if (!hasFields(document)) {
        return fail(reason, ResultCode::MalformedRequest, "a request that is handed over lacks a field");
    }
    const auto from = parseRequestId(document["from"].get<std::string>(), reason);
    if (!from) {
        return std::nullopt;
    }
    return HandedOverRequest {
        .from = *from,
        .customer = document["customer"],
        .body = std::move(document["body"]),
        .tokensSent = document["tokens_sent"],
        .text = document["text"],
        .timeLeft = std::chrono::milliseconds { document["time_left_ms"].get<int64_t>() },
        .runState = document["may_have_run"].get<bool>() ? RunState::MayHaveRun : RunState::NotRun,
    };
}

} // namespace siskinspread
