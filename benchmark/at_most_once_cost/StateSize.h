#pragma once

#include <cstddef>

namespace siskinspread::benchmark {

struct StateSizeOptions {
    size_t open { 1000 }; /**< Requests that are open at once. */
    size_t closed { 20000 }; /**< Requests that are answered one after another. */
};

/** Prints the daemon's memory and the store's bytes for each open and each closed at-most-once request at one host. */
void measureStateSize(const StateSizeOptions&);

} // namespace siskinspread::benchmark
