#pragma once

#include "siskinspread/BootClock.h"
#include "siskinspread/Time.h"

#include <chrono>

namespace siskinspread {

/**
 * The time of day without its jumps: the boot clock plus an offset that follows the system clock only slowly, since a clock
 * that jumps by seconds usually jumps back.
 * Thread safety: one thread.
 */
class TrueTime {
public:
    TrueTime();
    WallTime now();

private:
    std::chrono::nanoseconds m_offset; /**< Of the system clock over the boot clock. */
    BootTime m_adjustedAt;
};

} // namespace siskinspread
