#pragma once

#include "siskinspread/ResultCode.h"

#include <optional>
#include <string>
#include <utility>

namespace siskinspread {

/**
 * Why the last operation that returned std::nullopt failed. Functions that can fail return std::optional and take a
 * LastReason& that they set on failure and leave alone on success.
 */
struct LastReason {
    ResultCode code { ResultCode::Ok };
    std::string detail;
};

/**
 * Sets `reason` and returns std::nullopt, so that a failing function can say `return fail(reason, code, "...")`.
 * Thread safety: safe while no other thread uses `reason`.
 */
inline std::nullopt_t fail(LastReason& reason, ResultCode code, std::string detail)
{
    reason = LastReason { .code = code, .detail = std::move(detail) };
    return std::nullopt;
}

} // namespace siskinspread
