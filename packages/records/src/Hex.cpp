#include "siskinspread/Hex.h"

namespace siskinspread {

namespace {

    constexpr int base = 16;

    int digitValue(char c)
    {
        return c <= '9' ? c - '0' : c - 'a' + 10;
    }

} // namespace

std::string toHex(std::string_view bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(bytes.size() * 2);
    for (const char c : bytes) {
        const auto byte = static_cast<unsigned char>(c);
        hex += digits[byte / base];
        hex += digits[byte % base];
    }
    return hex;
}

std::string fromHex(std::string_view hex)
{
    std::string bytes;
    for (size_t i = 0; i + 1 < hex.size(); i += 2) {
        bytes += static_cast<char>(digitValue(hex[i]) * base + digitValue(hex[i + 1]));
    }
    return bytes;
}

} // namespace siskinspread
