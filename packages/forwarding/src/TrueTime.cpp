#include "siskinspread/TrueTime.h"

#include <algorithm>

namespace siskinspread {

namespace {

    constexpr double followedShare = 0.01; // a clock that is being slewed moves by less than a hundredth of a second a second

    std::chrono::nanoseconds systemOffset(BootTime boot)
    {
        return std::chrono::system_clock::now().time_since_epoch() - boot.time_since_epoch();
    }

} // namespace

TrueTime::TrueTime()
    : m_offset(systemOffset(BootClock::now()))
    , m_adjustedAt(BootClock::now())
{
}

WallTime TrueTime::now()
{
    const auto boot = BootClock::now();
    const auto most = std::chrono::duration_cast<std::chrono::nanoseconds>((boot - m_adjustedAt) * followedShare);
    m_offset += std::clamp(systemOffset(boot) - m_offset, -most, most);
    m_adjustedAt = boot;
    return WallTime { std::chrono::duration_cast<WallTime::duration>(boot.time_since_epoch() + m_offset) };
}

} // namespace siskinspread
