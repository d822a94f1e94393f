#include "siskinspread/EngineApi.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace siskinspread {

namespace {

    constexpr std::array<std::string_view, 3> roleNames { "mixed", "prefill", "decode" };

    constexpr std::array<const char*, 5> orderNames { "unload_adapter", "unload_model", "set_role", "load_model", "load_adapter" };

    bool isModelStep(EngineStepKind kind)
    {
        return kind == EngineStepKind::LoadModel || kind == EngineStepKind::UnloadModel;
    }

    /** Versions by name. JSON objects are kept sorted by the library. */
    std::optional<std::vector<EngineItem>> itemsOf(const nlohmann::json& versions)
    {
        if (!versions.is_object()) {
            return std::nullopt;
        }
        std::vector<EngineItem> items;
        for (const auto& [name, version] : versions.items()) {
            if (!version.is_string()) {
                return std::nullopt;
            }
            items.push_back({ .name = name, .version = version.get<std::string>() });
        }
        return items;
    }

    std::string describeItems(const std::vector<EngineItem>& items)
    {
        std::string text;
        for (const EngineItem& item : items) {
            text += item.name + " " + item.version + ", ";
        }
        return text;
    }

} // namespace

std::string_view engineRoleName(EngineRole role)
{
    return roleNames.at(static_cast<size_t>(role));
}

std::optional<EngineTarget> parseEngineState(const std::string& body)
{
    const auto state = nlohmann::json::parse(body, nullptr, false);
    if (!state.is_object()) {
        return std::nullopt;
    }
    const auto models = itemsOf(state.value("models", nlohmann::json {}));
    const auto adapters = itemsOf(state.value("adapters", nlohmann::json {}));
    const auto roleText = state.value("role", nlohmann::json {});
    const auto role = roleText.is_string() ? std::find(roleNames.begin(), roleNames.end(), roleText.get<std::string>()) : roleNames.end();
    if (!models || !adapters || role == roleNames.end()) {
        return std::nullopt;
    }
    return EngineTarget { .models = *models, .adapters = *adapters, .role = static_cast<EngineRole>(role - roleNames.begin()) };
}

std::string engineOrderBody(const EngineStep& step, uint64_t fencingNumber)
{
    nlohmann::json order { { "fencing", fencingNumber }, { "order", orderNames.at(static_cast<size_t>(step.kind)) } };
    if (step.kind == EngineStepKind::SetRole) {
        order["role"] = engineRoleName(step.role);
    } else {
        order[isModelStep(step.kind) ? "model" : "adapter"] = step.item.name;
        order["version"] = step.item.version;
    }
    return order.dump();
}

std::string describeTarget(const EngineTarget& target)
{
    return describeItems(target.models) + describeItems(target.adapters) + std::string { engineRoleName(target.role) };
}

} // namespace siskinspread
