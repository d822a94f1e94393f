#pragma once

#include <functional>
#include <string>

namespace siskinspread::testing {

/**
 * Polls until `condition` holds. Throws std::runtime_error with `description` after a bounded number of polls, so that
 * a test can't pass by running out of time.
 */
void eventually(const std::string& description, const std::function<bool()>& condition);

} // namespace siskinspread::testing
