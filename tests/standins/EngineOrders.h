#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace siskinspread::standin {

/** What the orders so far have made of an engine. */
struct EngineState {
    bool checksFencing { false };
    uint64_t highestFencing { 0 };
    uint64_t obeyed { 0 };
    uint64_t refused { 0 };
    uint64_t received { 0 }; /**< Orders that arrived, also those that the fault keep_orders keeps. */
    uint64_t stale { 0 }; /**< Orders that would have taken effect after one with a higher fencing number, refused or not. */
    uint64_t underStreams { 0 }; /**< Obeyed orders that took a model, an adapter, a version or the role away while requests were open. */
    std::map<std::string, std::string> models {}; /**< Version by model. */
    std::map<std::string, std::string> adapters {}; /**< Version by adapter. */
    std::string role { "mixed" };
};

/**
 * Obeys one order: {"fencing": N, "order": "load_model" | "unload_model" | "load_adapter" | "unload_adapter" |
 * "set_role", "model" | "adapter" | "role": NAME, "version": TEXT}.
 * @param openRequests that are queued or running.
 * @return false when the engine checks fencing numbers and has seen a higher one. Throws for a malformed order.
 */
bool obeyOrder(EngineState& state, const nlohmann::json& order, size_t openRequests);

/** @return the state as GET /orders reports it. */
nlohmann::json describeState(const EngineState& state);

/** @return whether the engine serves the model; while none is loaded by name it serves any. */
bool servesModel(const EngineState& state, const std::string& model);

} // namespace siskinspread::standin
