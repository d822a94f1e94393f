#include "siskinspread/ModelAnswers.h"

#include "siskinspread/CallerResponse.h"
#include "siskinspread/ChatRequest.h"

namespace siskinspread {

namespace {

    constexpr int statusOk = 200;

} // namespace

StartStream streamHead(ExchangeId exchange, const std::string& requestId)
{
    return {
        .exchange = exchange,
        .status = statusOk,
        .headers = {
            { .name = "Content-Type", .value = "text/event-stream" },
            { .name = "Cache-Control", .value = "no-cache" },
            { .name = header::requestId, .value = requestId },
        },
    };
}

std::string tokenEvent(uint32_t eventId, const nlohmann::json& chunk)
{
    return "id: " + std::to_string(eventId) + "\ndata: " + jsonText(chunk) + "\n\n";
}

std::string endEvents(const ModelAnswerEnd& end)
{
    nlohmann::json last { { "id", end.requestId }, { "object", "chat.completion.chunk" }, { "model", end.model } };
    last["choices"] = { { { "index", 0 }, { "delta", nlohmann::json::object() }, { "finish_reason", end.finishReason } } };
    last["usage"] = end.usage;
    return "data: " + jsonText(last) + "\n\ndata: [DONE]\n\n";
}

std::string errorEvent(const std::string& refusalJson)
{
    return "event: error\ndata: " + refusalJson + "\n\n";
}

RespondWhole wholeAnswer(ExchangeId exchange, const ModelAnswerEnd& end, const std::string& text)
{
    nlohmann::json answer { { "id", end.requestId }, { "object", "chat.completion" }, { "model", end.model } };
    answer["choices"] = { { { "index", 0 }, { "message", { { "role", "assistant" }, { "content", text } } }, { "finish_reason", end.finishReason } } };
    answer["usage"] = end.usage;
    return {
        .exchange = exchange,
        .status = statusOk,
        .headers = {
            { .name = "Content-Type", .value = "application/json" },
            { .name = header::requestId, .value = end.requestId },
        },
        .body = jsonText(answer),
    };
}

} // namespace siskinspread
