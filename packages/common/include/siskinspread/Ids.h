#pragma once

#include "siskinspread/LastReason.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace siskinspread {

/**
 * One run of a daemon process on an entry host. A host that starts again is another incarnation. The text form is the
 * host's name, a dot and 16 hexadecimal digits drawn at start, for example "gauteng-1a.00f3a1b2c4d5e6f7".
 */
struct IncarnationId {
    std::string text;
    auto operator<=>(const IncarnationId&) const = default; // NOLINT(modernize-use-nullptr): clang-tidy 14 takes the 0 of a rewritten comparison for a pointer
};

/** Identifies a request: the incarnation that accepted it and its sequence number there, counted from 1. */
struct RequestId {
    IncarnationId incarnation;
    uint64_t sequence { 0 };
    auto operator<=>(const RequestId&) const = default; // NOLINT(modernize-use-nullptr): clang-tidy 14 takes the 0 of a rewritten comparison for a pointer
};

/** @return the text form "INCARNATION-SEQUENCE". Thread safety: reentrant. */
std::string formatRequestId(const RequestId& id);

/**
 * @param text the text form of a request id.
 * @param reason set to UnknownRequest when the text is not an id.
 * Thread safety: reentrant.
 */
std::optional<RequestId> parseRequestId(std::string_view text, LastReason& reason);

} // namespace siskinspread

template <>
struct std::hash<siskinspread::IncarnationId> {
    size_t operator()(const siskinspread::IncarnationId& id) const noexcept { return std::hash<std::string> {}(id.text); }
};
