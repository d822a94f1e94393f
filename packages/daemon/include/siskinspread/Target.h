#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace siskinspread {

/** A request target cut into its path and its query. */
struct Target {
    std::string_view path;
    std::string_view query;
};

/** @return the parts of a request target; views into it. Thread safety: reentrant. */
Target splitTarget(std::string_view target);

/** @return the value of a query parameter with percent escapes resolved, or nothing. Thread safety: reentrant. */
std::optional<std::string> queryParameter(std::string_view query, std::string_view name);

} // namespace siskinspread
