#pragma once

#include <string>

namespace siskinspread {

/**
 * @return a Markdown table of the keys of a daemon's settings: what each allows and its default.
 * Thread safety: reentrant.
 */
std::string settingsReference();

/** @return the same table for service files. Thread safety: reentrant. */
std::string serviceFileReference();

} // namespace siskinspread
