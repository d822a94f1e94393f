#pragma once

#include "siskinspread/HttpServer.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace siskinspread {

/** How a model's answer ended. */
struct ModelAnswerEnd {
    std::string requestId;
    std::string model;
    std::string finishReason;
    nlohmann::json usage;
};

/** @return the head of a stream of server-sent events. Thread safety: reentrant. */
StartStream streamHead(ExchangeId, const std::string& requestId);

/** @return the event of one token; its id is `eventId`. Thread safety: reentrant. */
std::string tokenEvent(uint32_t eventId, const nlohmann::json& chunk);

/** @return the last events of a whole answer: finish reason, usage and the end mark. Thread safety: reentrant. */
std::string endEvents(const ModelAnswerEnd&);

/** @return the event that ends a stream without its whole answer. Thread safety: reentrant. */
std::string errorEvent(const std::string& refusalJson);

/** @return the response to a caller that did not ask for a stream. Thread safety: reentrant. */
RespondWhole wholeAnswer(ExchangeId, const ModelAnswerEnd&, const std::string& text);

} // namespace siskinspread
