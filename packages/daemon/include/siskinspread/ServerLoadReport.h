#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace siskinspread {

/** What a backend server says of itself at /load. */
struct ServerLoadReport {
    std::string instance; /**< Empty where the server names no run of its own. */
    bool leaving { false };
    uint32_t running { 0 };
    uint32_t queued { 0 };
    uint32_t slots { 0 }; /**< 0 when it does not say. */
    uint64_t queuedPromptTokens { 0 };
};

/**
 * @return the report, or nothing when the text is not one: `running` and `queued` are required, the rest may be absent,
 * and a member of the wrong type or beyond any real server's size makes the whole report malformed.
 * Never throws. Thread safety: reentrant.
 */
std::optional<ServerLoadReport> parseServerLoadReport(std::string_view body);

} // namespace siskinspread
