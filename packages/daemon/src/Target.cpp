#include "siskinspread/Target.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace siskinspread {

namespace {

    constexpr int hexadecimal = 16;

    constexpr size_t escapeLength = 3; // a percent sign and two digits

    /** @return the character that an escape at the start of the text stands for, or nothing. */
    std::optional<char> escapedCharacter(std::string_view text)
    {
        if (text.size() < escapeLength) {
            return std::nullopt;
        }
        unsigned value = 0;
        if (std::from_chars(&text[1], &text[1] + 2, value, hexadecimal).ptr != &text[1] + 2) {
            return std::nullopt;
        }
        return static_cast<char>(value);
    }

    std::optional<std::string> unescape(std::string_view text)
    {
        std::string result;
        for (size_t i = 0; i < text.size(); ++i) {
            if (text[i] != '%') {
                result += text[i];
                continue;
            }
            const auto character = escapedCharacter(text.substr(i));
            if (!character) {
                return std::nullopt;
            }
            result += *character;
            i += escapeLength - 1;
        }
        return result;
    }

    /** @return whether a character may only stand in a path as itself, or would cut it into other segments. */
    bool needsNoEscape(char character)
    {
        const auto byte = static_cast<unsigned char>(character);
        return std::isalnum(byte) || std::string_view { "-._~/\\" }.find(character) != std::string_view::npos;
    }

    bool hasNeedlessEscape(std::string_view path)
    {
        for (size_t at = path.find('%'); at != std::string_view::npos; at = path.find('%', at + 1)) {
            const auto character = escapedCharacter(path.substr(at));
            if (!character || needsNoEscape(*character)) {
                return true;
            }
        }
        return false;
    }

} // namespace

Target splitTarget(std::string_view target)
{
    const size_t mark = target.find('?');
    if (mark == std::string_view::npos) {
        return { .path = target, .query = {} };
    }
    return { .path = target.substr(0, mark), .query = target.substr(mark + 1) };
}

bool isCanonicalPath(std::string_view path)
{
    if (!path.starts_with('/') || path.find('\\') != std::string_view::npos || hasNeedlessEscape(path)) {
        return false;
    }
    while (!path.empty()) {
        path.remove_prefix(1);
        const size_t end = std::min(path.find('/'), path.size());
        const std::string_view segment = path.substr(0, end);
        const bool isLast = end == path.size();
        if (segment == "." || segment == ".." || (segment.empty() && !isLast)) {
            return false;
        }
        path.remove_prefix(end);
    }
    return true;
}

std::optional<std::string> queryParameter(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const size_t end = query.find('&');
        const std::string_view pair = query.substr(0, end);
        const size_t equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
            return unescape(pair.substr(equals + 1));
        }
        query = end == std::string_view::npos ? std::string_view {} : query.substr(end + 1);
    }
    return std::nullopt;
}

} // namespace siskinspread
