#pragma once

#include <chrono>
#include <cstdint>

namespace siskinspread {

/** What becomes of a request for an engine now. */
enum class EngineVerdict : uint8_t {
    Send,
    Hold, /**< Better places are likely to come in time. */
    Refuse, /**< Would be late wherever it goes, and delay those that can still be in time. */
};

/** The best placement of a request and its own state. */
struct EngineRequest {
    std::chrono::microseconds queueAhead { 0 }; /**< Time for the engine to read the prompts that it already has. */
    std::chrono::microseconds ownReading { 0 }; /**< Time for the engine to read this request's prompt. */
    std::chrono::microseconds waited { 0 }; /**< Since its arrival at this host. */
    std::chrono::microseconds target { 0 }; /**< To the first token, from its arrival. */
    uint32_t urgency { 0 }; /**< 0 is the most urgent. */
    bool placesFree { false }; /**< Less than half of all places of the service are taken. */
};

struct EngineAdmissionOptions {
    /**
     * Longest queue of prompts at an engine that a request is added to. Engines read prompts in the order of their arrival, so
     * that urgency counts only while a request waits here; long enough to keep an engine busy until the hosts know more.
     */
    std::chrono::microseconds queueLimit { 250000 };
    std::chrono::microseconds urgentQueueLimit { 400000 }; /**< For the most urgent requests. */
    std::chrono::microseconds sparseQueueLimit { 1000000 }; /**< While places are free: a refusal would leave them idle. */
};

/**
 * Decides for loads above what the engines can read: keeps their queues short, so that the most urgent requests are in time,
 * and refuses what cannot be in time any more. Thread safety: reentrant.
 */
EngineVerdict admitToEngine(const EngineRequest&, const EngineAdmissionOptions&);

} // namespace siskinspread
