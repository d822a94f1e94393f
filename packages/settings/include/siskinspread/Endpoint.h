#pragma once

#include <string_view>

namespace siskinspread {

/** @return whether `text` is a URL of the form http://IP:port, as settings allow it. Thread safety: reentrant. */
bool isHttpUrl(std::string_view text);

} // namespace siskinspread
