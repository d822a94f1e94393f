#include "siskinspread/BootClock.h"

#include <ctime>

namespace siskinspread {

BootClock::time_point BootClock::now()
{
    timespec time {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point { std::chrono::seconds { time.tv_sec } + std::chrono::nanoseconds { time.tv_nsec } };
}

} // namespace siskinspread
