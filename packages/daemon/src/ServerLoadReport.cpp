#include "siskinspread/ServerLoadReport.h"

#include <nlohmann/json.hpp>

namespace siskinspread {

namespace {

    constexpr uint64_t maxRequests = 1'000'000;
    constexpr uint64_t maxTokens = 1'000'000'000'000;
    constexpr size_t maxInstanceBytes = 200; // has to fit a datagram with others

    enum class Presence : uint8_t {
        Required,
        Optional,
    };

    template <typename Number>
    bool readNumber(const nlohmann::json& document, const char* name, uint64_t maximum, Presence presence, Number& number)
    {
        const auto member = document.find(name);
        if (member == document.end()) {
            return presence == Presence::Optional;
        }
        if (!member->is_number_unsigned() || member->get<uint64_t>() > maximum) {
            return false;
        }
        number = member->get<Number>();
        return true;
    }

    bool readInstance(const nlohmann::json& document, std::string& instance)
    {
        const auto member = document.find("instance");
        if (member == document.end()) {
            return true;
        }
        if (!member->is_string() || member->get_ref<const std::string&>().size() > maxInstanceBytes) {
            return false;
        }
        instance = member->get<std::string>();
        return true;
    }

    bool readLeaving(const nlohmann::json& document, bool& leaving)
    {
        const auto member = document.find("leaving");
        if (member == document.end()) {
            return true;
        }
        if (!member->is_boolean()) {
            return false;
        }
        leaving = member->get<bool>();
        return true;
    }

} // namespace

std::optional<ServerLoadReport> parseServerLoadReport(std::string_view body)
{
    const auto document = nlohmann::json::parse(body, nullptr, false);
    ServerLoadReport report;
    const bool isWhole = document.is_object()
        && readNumber(document, "running", maxRequests, Presence::Required, report.running)
        && readNumber(document, "queued", maxRequests, Presence::Required, report.queued)
        && readNumber(document, "slots", maxRequests, Presence::Optional, report.slots)
        && readNumber(document, "queued_prompt_tokens", maxTokens, Presence::Optional, report.queuedPromptTokens)
        && readInstance(document, report.instance)
        && readLeaving(document, report.leaving);
    return isWhole ? std::optional { report } : std::nullopt;
}

} // namespace siskinspread
