#pragma once

#include "siskinspread/Time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

/** @file Which connection of a caller is closed when a host has no room for another. See docs/design/untrusted-clients.md. */

namespace siskinspread {

/** What a connection of a caller is doing. */
enum class CallerStage : uint8_t {
    NoRequestYet, /**< Nothing or a part of the first head has come. */
    Idle, /**< Between two requests. */
    ReadingRequest, /**< A part of a request has come. */
    WaitingForMemory, /**< A part of a large body has come, and the rest is not read before memory is free. */
    InProgress, /**< A whole request is being served; never closed for others. */
    WritingAnswer, /**< An answer has ended, and the caller has not taken all of it. */
};

struct SheddingCandidate {
    CallerStage stage { CallerStage::Idle };
    size_t heldBytes { 0 };
    size_t unreservedBytes { 0 }; /**< Of them, those outside the reservation of a large body. */
    MonotonicTime lastProgress {}; /**< Bytes were last taken from or by the caller. */
};

struct SheddingOptions {
    /**
     * A caller that has been silent for so long is closed when others wait for the memory that it holds. Shorter than the time that those
     * wait, and longer than the pauses of a caller on a slow path.
     */
    std::chrono::milliseconds stalledAfter { 2000 };
};

/** @return the connection to close for a new one: the one that has made no progress for longest, those that never sent a request first. Thread safety: reentrant. */
std::optional<size_t> shedForConnection(std::span<const SheddingCandidate>);

/** @return the connection to close for memory that small requests need: the one without progress for longest of those that hold any. Thread safety: reentrant. */
std::optional<size_t> shedForMemory(std::span<const SheddingCandidate>);

/** @return the connection to close for a large body that waits for memory: the one that has been stalled for longest. Thread safety: reentrant. */
std::optional<size_t> shedForLargeBody(std::span<const SheddingCandidate>, const SheddingOptions&, MonotonicTime now);

} // namespace siskinspread
