#pragma once

#include "siskinspread/Ids.h"
#include "siskinspread/LastReason.h"
#include "siskinspread/ResultCode.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace siskinspread {

/** What a host needs to go on with a model request of another one. */
struct HandedOverRequest {
    RequestId from; /**< Its id at the host that hands it over. */
    std::string customer;
    nlohmann::json body; /**< As the caller sent it. */
    uint32_t tokensSent { 0 }; /**< The most that any caller was sent; where the answer is not streamed, those in `text`. */
    std::string text; /**< The answer so far, where it is not streamed. */
    std::chrono::milliseconds timeLeft { 0 };
    RunState runState { RunState::NotRun };
};

/** @return the JSON text that carries the request between hosts. Thread safety: reentrant. */
std::string encodeHandedOverRequest(const HandedOverRequest&);

/** @return the request, or nothing with MalformedRequest. Thread safety: reentrant. */
std::optional<HandedOverRequest> decodeHandedOverRequest(const std::string& text, LastReason&);

} // namespace siskinspread
