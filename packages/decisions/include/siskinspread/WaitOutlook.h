#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace siskinspread {

/** What a request without a place may hope for. */
struct WaitOutlook {
    size_t replicas { 0 }; /**< Serving, and not sent the request yet. */
    size_t accepting { 0 }; /**< Of these, those that have not asked for a pause. */
    std::optional<std::chrono::microseconds> pauseEndsIn; /**< Until the first pause is over. */
    std::chrono::microseconds patienceLeft { 0 }; /**< For which the request may still wait. */
};

enum class WaitVerdict : uint8_t {
    Wait,
    NoReplica, /**< Nothing that waiting could free. */
    AllPaused, /**< The first replica that takes requests again does so too late. */
};

/**
 * Decides for a service whose replicas are lost or overloaded: a request that no replica can take in time is told so at once
 * rather than at the end of its patience. Thread safety: reentrant.
 */
WaitVerdict judgeWait(const WaitOutlook&);

} // namespace siskinspread
