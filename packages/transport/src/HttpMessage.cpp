#include "siskinspread/HttpMessage.h"

#include <algorithm>

namespace siskinspread {

namespace {

    char lowerAscii(char c)
    {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    }

} // namespace

bool equalHeaderNames(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) { return lowerAscii(x) == lowerAscii(y); });
}

std::optional<std::string_view> findHeader(const HttpHeaders& headers, std::string_view name)
{
    const auto header = std::find_if(headers.begin(), headers.end(), [name](const HttpHeader& h) { return equalHeaderNames(h.name, name); });
    if (header == headers.end()) {
        return std::nullopt;
    }
    return header->value;
}

} // namespace siskinspread
