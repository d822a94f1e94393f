#pragma once

#include <cstdint>

namespace siskinspread::benchmark {

/** @return bytes that are allocated by operator new now, with what the allocator rounds up to. Thread safety: any thread. */
int64_t heapBytes();

} // namespace siskinspread::benchmark
