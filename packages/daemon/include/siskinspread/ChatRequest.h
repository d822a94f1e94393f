#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace siskinspread {

/** @return the parsed body; discarded when it is not JSON or nested too deeply to be written again by recursion. Reentrant. */
nlohmann::json parseChatBody(const std::string& text);

/** @return whether a parsed body has what a chat-completions request needs. Thread safety: reentrant. */
bool isChatRequest(const nlohmann::json& body);

/** What isChatRequest asks for, for the caller whose request it refuses. */
constexpr const char* chatRequestRule = "a chat-completions request has a model, a non-empty list of messages with role and content, a boolean stream and a max_tokens that counts";

/** @return the text whose common beginnings engines cache. Precondition: isChatRequest. Thread safety: reentrant. */
std::string promptText(const nlohmann::json& body);

/** @return JSON text; what is not UTF-8 in it is replaced. Thread safety: reentrant. */
std::string jsonText(const nlohmann::json&);

} // namespace siskinspread
