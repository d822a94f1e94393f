#include "siskinspread/JsonFields.h"

#include <algorithm>

namespace siskinspread {

namespace {

    const nlohmann::json* fieldOf(const nlohmann::json& document, const char* name)
    {
        if (!document.is_object()) {
            return nullptr;
        }
        auto found = document.find(name);
        return found == document.end() ? nullptr : &*found;
    }

} // namespace

std::string textField(const nlohmann::json& document, const char* name)
{
    const auto* field = fieldOf(document, name);
    return field != nullptr && field->is_string() ? field->get<std::string>() : std::string {};
}

double numberField(const nlohmann::json& document, const char* name, double fallback)
{
    const auto* field = fieldOf(document, name);
    return field != nullptr && field->is_number() ? field->get<double>() : fallback;
}

uint64_t countField(const nlohmann::json& document, const char* name, uint64_t fallback)
{
    const auto* field = fieldOf(document, name);
    return field != nullptr && field->is_number_unsigned() ? field->get<uint64_t>() : fallback;
}

std::chrono::milliseconds millisecondsField(const nlohmann::json& document, const char* name, std::chrono::milliseconds fallback)
{
    constexpr std::chrono::milliseconds longest { std::chrono::hours { 24 * 365 } };
    const auto value = numberField(document, name, static_cast<double>(fallback.count()));
    return std::chrono::milliseconds { static_cast<int64_t>(std::clamp(value, 0.0, static_cast<double>(longest.count()))) };
}

bool flagField(const nlohmann::json& document, const char* name)
{
    const auto* field = fieldOf(document, name);
    return field != nullptr && field->is_boolean() && field->get<bool>();
}

} // namespace siskinspread
