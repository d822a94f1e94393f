#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace siskinspread::testing {

/**
 * @return `count` different ports of 127.0.0.1 that were free for TCP and UDP a moment ago. Another process may take
 * one before it is used: start again with new ports then. Throws std::runtime_error when the system gives none.
 */
std::vector<uint16_t> freePorts(size_t count);

} // namespace siskinspread::testing
