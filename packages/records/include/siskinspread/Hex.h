#pragma once

#include <string>
#include <string_view>

namespace siskinspread {

/** @return two lower-case hexadecimal digits for each byte; binary records travel in JSON so. Thread safety: reentrant. */
std::string toHex(std::string_view bytes);

/** @return the bytes of hexadecimal text; characters that are no digits give undefined bytes. Thread safety: reentrant. */
std::string fromHex(std::string_view hex);

} // namespace siskinspread
