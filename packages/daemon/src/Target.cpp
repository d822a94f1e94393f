#include "siskinspread/Target.h"

#include <charconv>

namespace siskinspread {

namespace {

    constexpr int hexadecimal = 16;

    std::optional<std::string> unescape(std::string_view text)
    {
        std::string result;
        for (size_t i = 0; i < text.size(); ++i) {
            if (text[i] != '%') {
                result += text[i];
                continue;
            }
            unsigned value = 0;
            if (i + 2 >= text.size() || std::from_chars(&text[i + 1], &text[i + 1] + 2, value, hexadecimal).ptr != &text[i + 1] + 2) {
                return std::nullopt;
            }
            result += static_cast<char>(value);
            i += 2;
        }
        return result;
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
