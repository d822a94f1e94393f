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

/**
 * @return whether a path has one spelling only: no empty, "." or ".." segment, no escape of a character that needs none
 * and none of a slash or backslash (RFC 3986, section 6.2.2). A path that a backend server may read as another one could
 * pass a rule about calls that may not be repeated. Thread safety: reentrant.
 */
bool isCanonicalPath(std::string_view path);

/** @return the value of a query parameter with percent escapes resolved, or nothing. Thread safety: reentrant. */
std::optional<std::string> queryParameter(std::string_view query, std::string_view name);

} // namespace siskinspread
