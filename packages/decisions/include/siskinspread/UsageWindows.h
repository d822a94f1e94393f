#pragma once

#include "siskinspread/Time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace siskinspread {

/** Requests by customer that began to run in one window. */
using WindowCounts = std::map<std::string, uint64_t>;

/** Counts of one host, by the number of the window. */
struct UsageWindows {
    std::chrono::milliseconds length { 5000 };
    std::map<int64_t, WindowCounts> windows;
};

/** @return the number of the window that holds this instant, counted from the start of 1970. Thread safety: reentrant. */
int64_t usageWindowAt(WallTime, std::chrono::milliseconds length);

/** Counts one request. Thread safety: safe while no other thread uses `usage`. */
void countUsage(UsageWindows& usage, const std::string& customer, WallTime);

/** Forgets windows before `oldest`. Thread safety: safe while no other thread uses `usage`. */
void forgetUsage(UsageWindows& usage, int64_t oldest);

/** Adds the counts of one host to a sum. Thread safety: safe while no other thread uses `sum`. */
void addCounts(WindowCounts& sum, const WindowCounts& counts);

/** Takes the larger count of each customer: two reports of one host about one window. Thread safety: as addCounts. */
void mergeCounts(WindowCounts& known, const WindowCounts& counts);

} // namespace siskinspread
