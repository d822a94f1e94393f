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
    std::map<std::string, std::string> models {}; /**< Version by model. */
    std::map<std::string, std::string> adapters {}; /**< Version by adapter. */
    std::string role { "serve" };
};

/**
 * Obeys one order: {"fencing": N, "order": "load_model" | "unload_model" | "load_adapter" | "unload_adapter" |
 * "set_role", "model" | "adapter" | "role": NAME, "version": TEXT}.
 * @return false when the engine checks fencing numbers and has seen a higher one. Throws for a malformed order.
 */
bool obeyOrder(EngineState& state, const nlohmann::json& order);

/** @return the state as GET /orders reports it. */
nlohmann::json describeState(const EngineState& state);

/** @return whether the engine serves the model; while none is loaded by name it serves any. */
bool servesModel(const EngineState& state, const std::string& model);

} // namespace siskinspread::standin
