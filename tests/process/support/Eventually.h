#pragma once

#include <functional>
#include <string>

namespace siskinspread::testing {

/**
 * Polls until `condition` holds. Throws std::runtime_error with `description` after that many polls, 20 ms and more apart, so that
 * a test can't pass by running out of time.
 */
void eventually(const std::string& description, const std::function<bool()>& condition, int polls = 1000);

} // namespace siskinspread::testing
