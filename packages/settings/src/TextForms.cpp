#include "TextForms.h"

#include "siskinspread/Endpoint.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <string>

namespace siskinspread {

namespace {

    constexpr size_t maxNameLength = 63; // characters, the limit of a DNS label
    constexpr size_t sha256HexLength = 64; // characters
    constexpr std::string_view httpScheme = "http://";

    bool isLowerOrDigit(char character)
    {
        return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9');
    }

    bool isName(std::string_view text)
    {
        if (text.empty() || text.size() > maxNameLength) {
            return false;
        }
        if (!isLowerOrDigit(text.front()) || !isLowerOrDigit(text.back())) {
            return false;
        }
        return std::ranges::all_of(text, [](char character) { return isLowerOrDigit(character) || character == '-'; });
    }

    bool isIpv4(const std::string& text)
    {
        in_addr number {};
        if (inet_pton(AF_INET, text.c_str(), &number) != 1) {
            return false;
        }
        const uint32_t host = ntohl(number.s_addr);
        return host != INADDR_ANY && host != INADDR_BROADCAST && !IN_MULTICAST(host);
    }

    bool isIpv6(const std::string& text)
    {
        in6_addr number {};
        if (inet_pton(AF_INET6, text.c_str(), &number) != 1) {
            return false;
        }
        return !IN6_IS_ADDR_UNSPECIFIED(&number) && !IN6_IS_ADDR_MULTICAST(&number);
    }

    bool isPort(std::string_view text)
    {
        uint16_t port = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
        return error == std::errc {} && end == text.data() + text.size() && port;
    }

    bool isIpAndPort(std::string_view text)
    {
        const size_t colon = text.rfind(':');
        if (colon == std::string_view::npos || !isPort(text.substr(colon + 1))) {
            return false;
        }
        const std::string_view host = text.substr(0, colon);
        if (host.starts_with('[') && host.ends_with(']')) {
            return isIpv6(std::string { host.substr(1, host.size() - 2) });
        }
        return isIpv4(std::string { host });
    }

    bool isSha256Hex(std::string_view text)
    {
        return text.size() == sha256HexLength && std::ranges::all_of(text, [](char character) {
            return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
        });
    }

    bool isUnsafeMethod(std::string_view text)
    {
        constexpr std::array methods { "POST", "PUT", "PATCH", "DELETE" };
        return std::ranges::find(methods, text) != methods.end();
    }

    bool isPathPrefix(std::string_view text)
    {
        return text.starts_with('/') && std::ranges::all_of(text, [](char character) {
            return character > ' ' && character <= '~' && character != '?' && character != '#';
        });
    }

} // namespace

bool isHttpUrl(std::string_view text)
{
    return text.starts_with(httpScheme) && isIpAndPort(text.substr(httpScheme.size()));
}

bool hasForm(std::string_view text, schema::TextForm form)
{
    switch (form) {
    case schema::NAME:
        return isName(text);
    case schema::IP_ADDRESS:
        return isIpv4(std::string { text }) || isIpv6(std::string { text });
    case schema::IP_AND_PORT:
        return isIpAndPort(text);
    case schema::HTTP_URL:
        return isHttpUrl(text);
    case schema::SHA256_HEX:
        return isSha256Hex(text);
    case schema::HTTP_METHOD:
        return isUnsafeMethod(text);
    case schema::PATH_PREFIX:
        return isPathPrefix(text);
    default:
        return true;
    }
}

std::string_view describeForm(schema::TextForm form)
{
    switch (form) {
    case schema::NAME:
        return "a name of 1 to 63 lower-case letters, digits and inner hyphens";
    case schema::IP_ADDRESS:
        return "an IP number that a host can be reached at, such as 127.0.0.1";
    case schema::IP_AND_PORT:
        return "IP:port, such as 127.0.0.1:8080 or [::1]:8080";
    case schema::HTTP_URL:
        return "http://IP:port, such as http://127.0.0.1:8080";
    case schema::SHA256_HEX:
        return "64 lower-case hexadecimal digits";
    case schema::HTTP_METHOD:
        return "POST, PUT, PATCH or DELETE";
    case schema::PATH_PREFIX:
        return "a path that starts with / and has no query, fragment or space";
    default:
        return "a string";
    }
}

} // namespace siskinspread
