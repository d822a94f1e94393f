#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace siskinspread {

/** What a request without a place may hope for. */
struct WaitOutlook {
    size_t replicas { 0 }; /**< Serving, and not sent the request yet. */
    size_t accepting { 0 }; /**< Of these, those that have neither asked for a pause nor named a limit. */
    std::optional<std::chrono::microseconds> pauseEndsIn; /**< Until the first pause is over. */
    size_t limited { 0 }; /**< Of the replicas, those that have named a limit. */
    uint64_t limitedCalls { 0 }; /**< That this host may make to them while the request may wait. */
    uint64_t ahead { 0 }; /**< Requests that wait for the same service and are sent first. */
    std::chrono::microseconds patienceLeft { 0 }; /**< For which the request may still wait. */
};

enum class WaitVerdict : uint8_t {
    Wait,
    NoReplica, /**< Nothing that waiting could free. */
    AllPaused, /**< The first replica that takes requests again does so too late. */
    OverLimit, /**< This host's shares of the replicas' limits are used up by the requests ahead. */
};

/**
 * Decides for a service whose replicas are lost or overloaded: a request that no replica can take in time is told so at once
 * rather than at the end of its patience. Thread safety: reentrant.
 */
WaitVerdict judgeWait(const WaitOutlook&);

} // namespace siskinspread
