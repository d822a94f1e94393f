#pragma once

#include <chrono>

namespace siskinspread {

/** Time for intervals, leases and deadlines inside one process; never compared between processes. */
using MonotonicTime = std::chrono::steady_clock::time_point;

/** Time for records that people read; never used in a decision about order. */
using WallTime = std::chrono::system_clock::time_point;

} // namespace siskinspread
