#include "ChatRequest.h"

#include <chrono>
#include <utility>

namespace siskinspread::standin {
namespace {

    /** @return the text of a message's content: a string, or the text parts of a list. */
    std::string contentText(const nlohmann::json& content)
    {
        if (content.is_string()) {
            return content.get<std::string>();
        }
        std::string text;
        if (content.is_array()) {
            for (const auto& part : content) {
                text += part.value("text", std::string());
            }
        }
        return text;
    }

    std::string finishReason(const ChatRequest& request)
    {
        return request.isBounded ? "length" : "stop";
    }

    nlohmann::json chunk(const ChatRequest& request, const std::string& completionId, nlohmann::json choices)
    {
        return { { "id", completionId }, { "object", "chat.completion.chunk" }, { "created", 0 }, { "model", request.model },
            { "choices", std::move(choices) } };
    }

    int64_t monotonicMicroseconds()
    {
        return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
    }

    std::string event(const nlohmann::json& data)
    {
        return "data: " + data.dump() + "\n\n";
    }

    nlohmann::json usageJson(const ChatUsage& usage)
    {
        return { { "prompt_tokens", usage.promptTokens }, { "completion_tokens", usage.completionTokens },
            { "total_tokens", usage.promptTokens + usage.completionTokens },
            { "prompt_tokens_details", { { "cached_tokens", usage.cachedTokens } } },
            { "recomputed_tokens", usage.recomputedTokens } };
    }

} // namespace

ChatRequest parseChatRequest(const Call& call, uint64_t defaultTokens)
{
    const auto body = nlohmann::json::parse(call.body);
    std::vector<ChatMessage> messages;
    for (const auto& message : body.at("messages")) {
        messages.push_back({ .role = message.at("role").get<std::string>(), .content = contentText(message.at("content")) });
    }
    ChatRequest request;
    request.requestId = call.header("x-request-id");
    request.model = body.at("model").get<std::string>();
    request.answer = answerHash(request.model, messages);
    request.words = promptWords(messages);
    request.blocks = blockHashes(request.model, request.words);
    request.isStream = body.value("stream", false);
    request.isBounded = body.contains("max_tokens");
    request.priority = body.value("priority", int64_t { 0 });
    request.tokenCount = body.value("max_tokens", defaultTokens);
    request.continueFrom = body.value("siskinspread_continue_from", uint64_t { 0 });
    request.kvHandle = body.value("siskinspread_kv_handle", std::string());
    return request;
}

std::string tokenEvent(const ChatRequest& request, const std::string& completionId, uint64_t index, bool hasBadIndex)
{
    nlohmann::json delta { { "content", answerToken(request.answer, index) } };
    if (index == request.continueFrom) {
        delta["role"] = "assistant";
    }
    const nlohmann::json choice { { "index", 0 }, { "delta", delta }, { "finish_reason", nullptr } };
    auto data = chunk(request, completionId, nlohmann::json::array({ choice }));
    data["siskinspread_token_index"] = hasBadIndex ? nlohmann::json("not a number") : nlohmann::json(index);
    data["siskinspread_emitted_us"] = monotonicMicroseconds();
    return event(data);
}

std::string endEvents(const ChatRequest& request, const std::string& completionId, const ChatUsage& usage)
{
    const nlohmann::json choice { { "index", 0 }, { "delta", nlohmann::json::object() }, { "finish_reason", finishReason(request) } };
    auto usageChunk = chunk(request, completionId, nlohmann::json::array());
    usageChunk["usage"] = usageJson(usage);
    return event(chunk(request, completionId, nlohmann::json::array({ choice }))) + event(usageChunk) + "data: [DONE]\n\n";
}

nlohmann::json wholeAnswer(const ChatRequest& request, const std::string& completionId, const ChatUsage& usage)
{
    const nlohmann::json message { { "role", "assistant" },
        { "content", answerText(request.answer, request.continueFrom, request.tokenCount) } };
    const nlohmann::json choice { { "index", 0 }, { "message", message }, { "finish_reason", finishReason(request) } };
    return { { "id", completionId }, { "object", "chat.completion" }, { "created", 0 }, { "model", request.model },
        { "choices", nlohmann::json::array({ choice }) }, { "usage", usageJson(usage) } };
}

} // namespace siskinspread::standin
