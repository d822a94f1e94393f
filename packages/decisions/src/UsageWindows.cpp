#include "siskinspread/UsageWindows.h"

#include <algorithm>

namespace siskinspread {

int64_t usageWindowAt(WallTime time, std::chrono::milliseconds length)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count() / length.count();
}

void countUsage(UsageWindows& usage, const std::string& customer, WallTime time)
{
    ++usage.windows[usageWindowAt(time, usage.length)][customer];
}

void forgetUsage(UsageWindows& usage, int64_t oldest)
{
    usage.windows.erase(usage.windows.begin(), usage.windows.lower_bound(oldest));
}

void addCounts(WindowCounts& sum, const WindowCounts& counts)
{
    for (const auto& [customer, count] : counts) {
        sum[customer] += count;
    }
}

void mergeCounts(WindowCounts& known, const WindowCounts& counts)
{
    for (const auto& [customer, count] : counts) {
        auto& value = known[customer];
        value = std::max(value, count);
    }
}

} // namespace siskinspread
