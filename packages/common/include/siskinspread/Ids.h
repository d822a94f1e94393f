#pragma once

#include "siskinspread/LastReason.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace siskinspread {

/**
 * One run of a daemon process on an entry host. A host that starts again is another incarnation. The text form is the
 * host's name, a dot and 16 hexadecimal digits drawn at start, for example "gauteng-1a.00f3a1b2c4d5e6f7".
 */
struct IncarnationId {
    std::string text;
    bool operator==(const IncarnationId&) const = default;
    bool operator<(const IncarnationId& other) const { return text < other.text; }
};

/** Identifies a request: the incarnation that accepted it and its sequence number there, counted from 1. */
struct RequestId {
    IncarnationId incarnation;
    uint64_t sequence { 0 };
    bool operator==(const RequestId&) const = default;
    bool operator<(const RequestId& other) const { return std::tie(incarnation, sequence) < std::tie(other.incarnation, other.sequence); }
};

/** @return the text form "INCARNATION-SEQUENCE". Thread safety: reentrant. */
std::string formatRequestId(const RequestId& id);

/** Stands before the number in the id of a refusal, "INCARNATION-rNUMBER": it names no accepted request and leaves no record. */
constexpr std::string_view refusalMark = "-r";

/**
 * @param first the request that holds the idempotency key.
 * @param refusalId issued for this try.
 * @return the id of a second try with the key, which leads to the account of the first. Thread safety: reentrant.
 */
std::string formatRepeatId(const RequestId& first, std::string_view refusalId);

/**
 * @param text any id that a caller was told.
 * @param reason set to UnknownRequest when no account can stand under it, with the reason why.
 * @return the id under which the account stands: of a second try, that of the first. Thread safety: reentrant.
 */
std::optional<RequestId> parseAccountId(std::string_view text, LastReason& reason);

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
