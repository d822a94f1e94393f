#pragma once

#include <cstddef>
#include <span>

namespace siskinspread::benchmark {

/** Exact percentiles of a sample; zeros where it is empty. */
struct Percentiles {
    size_t count { 0 };
    double median { 0 };
    double p95 { 0 };
};

/** @return the percentiles of the values, in their unit. Thread safety: reentrant. */
Percentiles percentilesOf(std::span<const double> values);

} // namespace siskinspread::benchmark
