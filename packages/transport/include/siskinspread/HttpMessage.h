#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace siskinspread {

struct HttpHeader {
    std::string name;
    std::string value;
};

using HttpHeaders = std::vector<HttpHeader>;

/**
 * @return the value of the first header with this name, compared without regard to case; the view lives as long as
 * `headers`. Thread safety: reentrant.
 */
std::optional<std::string_view> findHeader(const HttpHeaders& headers, std::string_view name);

/** @return whether two header names are equal without regard to case. Thread safety: reentrant. */
bool equalHeaderNames(std::string_view a, std::string_view b);

} // namespace siskinspread
