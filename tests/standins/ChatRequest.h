#pragma once

#include "EventLoop.h"
#include "ModelAnswer.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace siskinspread::standin {

/** A call of POST /v1/chat/completions. */
struct ChatRequest {
    std::string requestId; /**< The header X-Request-Id; may be empty. */
    std::string model;
    std::string answer; /**< Hash that names the answer. */
    std::vector<std::string> words; /**< Of the prompt. */
    std::vector<uint64_t> blocks; /**< Of the prompt. */
    bool isStream { false };
    bool isBounded { false }; /**< Whether max_tokens was given. */
    int64_t priority { 0 }; /**< Lower runs first. */
    uint64_t tokenCount { 0 }; /**< Tokens of the whole answer. */
    uint64_t continueFrom { 0 }; /**< Tokens that were delivered before. */
    std::string kvHandle; /**< An imported cache entry; may be empty. */
};

/** What a run of a request used. */
struct ChatUsage {
    uint64_t promptTokens { 0 };
    uint64_t cachedTokens { 0 };
    uint64_t completionTokens { 0 };
    uint64_t recomputedTokens { 0 };
};

/** @return the request; throws for a malformed body. `defaultTokens` is the answer's length without max_tokens. */
ChatRequest parseChatRequest(const Call& call, uint64_t defaultTokens);

/** @return the server-sent event of one token, where asked with a text for its number. */
std::string tokenEvent(const ChatRequest& request, const std::string& completionId, uint64_t index, bool hasBadIndex = false);

/** @return the last events of a stream: the finish reason, the usage and the end mark. */
std::string endEvents(const ChatRequest& request, const std::string& completionId, const ChatUsage& usage);

/** @return the body of a whole answer. */
nlohmann::json wholeAnswer(const ChatRequest& request, const std::string& completionId, const ChatUsage& usage);

} // namespace siskinspread::standin
