#include "EngineOrders.h"

#include <algorithm>
#include <stdexcept>

namespace siskinspread::standin {
namespace {

    void apply(EngineState& state, const std::string& name, const nlohmann::json& order)
    {
        const std::string version = order.value("version", std::string());
        if (name == "load_model") {
            state.models[order.at("model").get<std::string>()] = version;
        } else if (name == "unload_model") {
            state.models.erase(order.at("model").get<std::string>());
        } else if (name == "load_adapter") {
            state.adapters[order.at("adapter").get<std::string>()] = version;
        } else if (name == "unload_adapter") {
            state.adapters.erase(order.at("adapter").get<std::string>());
        } else if (name == "set_role") {
            state.role = order.at("role").get<std::string>();
        } else {
            throw std::invalid_argument("unknown order: " + name);
        }
    }

    /** @return whether `to` lacks something of `from`. */
    bool takesAway(const EngineState& from, const EngineState& to)
    {
        const auto lacks = [](const auto& before, const auto& after) {
            return std::any_of(before.begin(), before.end(), [&after](const auto& item) { return !after.count(item.first) || after.at(item.first) != item.second; });
        };
        return lacks(from.models, to.models) || lacks(from.adapters, to.adapters) || from.role != to.role;
    }

} // namespace

bool obeyOrder(EngineState& state, const nlohmann::json& order, size_t openRequests)
{
    const auto fencing = order.at("fencing").get<uint64_t>();
    state.stale += fencing < state.highestFencing;
    if (state.checksFencing && fencing < state.highestFencing) {
        ++state.refused;
        return false;
    }
    const EngineState before = state;
    apply(state, order.at("order").get<std::string>(), order);
    state.underStreams += openRequests > 0 && takesAway(before, state);
    state.highestFencing = std::max(state.highestFencing, fencing);
    ++state.obeyed;
    return true;
}

nlohmann::json describeState(const EngineState& state)
{
    return { { "fencing", state.highestFencing }, { "checks_fencing", state.checksFencing }, { "obeyed", state.obeyed },
        { "refused", state.refused }, { "received", state.received }, { "stale", state.stale },
        { "under_streams", state.underStreams }, { "models", state.models }, { "adapters", state.adapters }, { "role", state.role } };
}

bool servesModel(const EngineState& state, const std::string& model)
{
    return state.models.empty() || state.models.count(model) > 0;
}

} // namespace siskinspread::standin
