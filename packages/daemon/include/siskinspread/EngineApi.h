#pragma once

#include "siskinspread/EngineOrders.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace siskinspread {

/** @return "mixed", "prefill" or "decode". Thread safety: reentrant. */
std::string_view engineRoleName(EngineRole);

/** @return what an engine's answer to GET /orders says that it has loaded; nothing when it is malformed. Thread safety: reentrant. */
std::optional<EngineTarget> parseEngineState(const std::string& body);

/** @return the body of POST /orders for one step. Thread safety: reentrant. */
std::string engineOrderBody(const EngineStep&, uint64_t fencingNumber);

/** @return a short text such as "drafts 7, terse 1, mixed", for operators and logs. Thread safety: reentrant. */
std::string describeTarget(const EngineTarget&);

} // namespace siskinspread
