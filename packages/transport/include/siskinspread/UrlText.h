#pragma once

#include <string>
#include <string_view>

namespace siskinspread {

/**
 * @return the text as it can stand in one segment of a URL's path, or in a value of its query (RFC 3986, section 2.1):
 * all bytes but letters, digits and `-._~` are percent-encoded. Thread safety: reentrant.
 */
std::string percentEncoded(std::string_view text);

} // namespace siskinspread
