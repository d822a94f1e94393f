#include "siskinspread/ChatRequest.h"

#include <algorithm>

namespace siskinspread {

namespace {

    constexpr int maxNesting = 64;

    bool isMessage(const nlohmann::json& message)
    {
        if (!message.is_object() || !message.contains("role") || !message["role"].is_string()) {
            return false;
        }
        // Absent or null beside a tool call, and a list where a message has several parts.
        const auto content = message.find("content");
        return content == message.end() || content->is_null() || content->is_string() || content->is_array();
    }

} // namespace

nlohmann::json parseChatBody(const std::string& text)
{
    bool isTooDeep = false;
    const auto limitDepth = [&isTooDeep](int depth, nlohmann::json::parse_event_t, const nlohmann::json&) {
        isTooDeep |= depth > maxNesting;
        return depth <= maxNesting;
    };
    auto body = nlohmann::json::parse(text, limitDepth, false);
    return isTooDeep ? nlohmann::json(nlohmann::json::value_t::discarded) : body;
}

bool isChatRequest(const nlohmann::json& body)
{
    return body.is_object() && body.contains("model") && body["model"].is_string() && body.contains("messages")
        && body["messages"].is_array() && !body["messages"].empty()
        && std::all_of(body["messages"].begin(), body["messages"].end(), isMessage)
        && (!body.contains("stream") || body["stream"].is_boolean())
        && (!body.contains("max_tokens") || body["max_tokens"].is_null() || body["max_tokens"].is_number_unsigned());
}

std::string promptText(const nlohmann::json& body)
{
    std::string prompt = body.value("model", "");
    for (const auto& message : body["messages"]) {
        prompt += '\n';
        prompt += message.dump();
    }
    return prompt;
}

std::string jsonText(const nlohmann::json& value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace siskinspread
