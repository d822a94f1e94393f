#pragma once

#include <chrono>

namespace siskinspread {

/** Monotonic clock that runs on while the machine is suspended; for bounds that outsiders measure (CLOCK_BOOTTIME). */
struct BootClock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): the standard's name

    /** Thread safety: any thread. */
    static time_point now();
};

using BootTime = BootClock::time_point;

} // namespace siskinspread
