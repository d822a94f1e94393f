#include "siskinspread/JsonItems.h"

#include <algorithm>

namespace siskinspread {

namespace {

    constexpr auto npos = std::string_view::npos;
    constexpr std::string_view whitespace = " \t\r\n";

    size_t skipSpace(std::string_view text, size_t at)
    {
        return std::min(text.size(), text.find_first_not_of(whitespace, at));
    }

    /** @param at of the opening quotation mark. @return behind the closing one; npos where there is none. */
    size_t endOfString(std::string_view text, size_t at)
    {
        for (++at; at < text.size(); ++at) {
            if (text[at] == '\\') {
                ++at;
            } else if (text[at] == '"') {
                return at + 1;
            }
        }
        return npos;
    }

    /** @return behind the value that begins here; npos where it does not end. What lies between need not be valid. */
    size_t endOfValue(std::string_view text, size_t at)
    {
        size_t depth = 0;
        while (at < text.size()) {
            const char next = text[at];
            if (next == '"') {
                at = endOfString(text, at);
                if (at == npos) {
                    return npos;
                }
            } else if (next == '{' || next == '[') {
                ++depth;
                ++at;
                continue;
            } else if (next == '}' || next == ']') {
                if (depth == 0) {
                    return at;
                }
                --depth;
                ++at;
            } else if (depth == 0 && (next == ',' || whitespace.find(next) != npos)) {
                return at;
            } else {
                ++at;
                continue;
            }
            if (depth == 0) {
                return at;
            }
        }
        return depth == 0 ? at : npos;
    }

    /**
     * Calls `take` at the beginning of each entry between these brackets; it returns where the entry ends.
     * @return whether the text is such a list.
     */
    template <typename Take>
    bool forEachEntry(std::string_view text, char open, char close, Take take)
    {
        size_t at = skipSpace(text, 0);
        if (at >= text.size() || text[at] != open) {
            return false;
        }
        at = skipSpace(text, at + 1);
        if (at < text.size() && text[at] == close) {
            return skipSpace(text, at + 1) == text.size();
        }
        while (at < text.size()) {
            const size_t end = take(at);
            if (end == npos || end == at) {
                return false;
            }
            at = skipSpace(text, end);
            if (at < text.size() && text[at] == close) {
                return skipSpace(text, at + 1) == text.size();
            }
            if (at >= text.size() || text[at] != ',') {
                return false;
            }
            at = skipSpace(text, at + 1);
        }
        return false;
    }

    bool isTooDeep(std::string_view text)
    {
        size_t depth = 0;
        for (size_t at = 0; at < text.size(); ++at) {
            if (text[at] == '"') {
                const auto end = endOfString(text, at);
                if (end == npos) {
                    return false;
                }
                at = end - 1;
            } else if (text[at] == '{' || text[at] == '[') {
                if (++depth > maxJsonDepth) {
                    return true;
                }
            } else if (text[at] == '}' || text[at] == ']') {
                depth -= std::min<size_t>(depth, 1);
            }
        }
        return false;
    }

} // namespace

std::optional<JsonFieldTexts> splitObject(std::string_view text)
{
    JsonFieldTexts fields;
    const bool isObject = forEachEntry(text, '{', '}', [&](size_t at) {
        const auto nameEnd = text[at] == '"' ? endOfString(text, at) : npos;
        const auto colon = nameEnd == npos ? npos : skipSpace(text, nameEnd);
        if (colon == npos || colon >= text.size() || text[colon] != ':') {
            return npos;
        }
        const auto begin = skipSpace(text, colon + 1);
        const auto end = endOfValue(text, begin);
        if (end == npos || end == begin) {
            return npos;
        }
        fields.emplace_back(text.substr(at + 1, nameEnd - at - 2), text.substr(begin, end - begin));
        return end;
    });
    return isObject ? std::optional { std::move(fields) } : std::nullopt;
}

std::optional<std::vector<std::string_view>> splitArray(std::string_view text)
{
    std::vector<std::string_view> items;
    const bool isArray = forEachEntry(text, '[', ']', [&](size_t at) {
        const auto end = endOfValue(text, at);
        if (end != npos) {
            items.push_back(text.substr(at, end - at));
        }
        return end;
    });
    return isArray ? std::optional { std::move(items) } : std::nullopt;
}

std::string_view fieldText(const JsonFieldTexts& fields, std::string_view name)
{
    const auto found = std::find_if(fields.rbegin(), fields.rend(), [name](const auto& field) { return field.first == name; });
    return found == fields.rend() ? std::string_view {} : found->second;
}

nlohmann::json parseJson(std::string_view text)
{
    if (isTooDeep(text)) {
        return nlohmann::json(nlohmann::json::value_t::discarded);
    }
    return nlohmann::json::parse(text, nullptr, false);
}

} // namespace siskinspread
