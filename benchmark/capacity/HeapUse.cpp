#include "HeapUse.h"

#include <atomic>
#include <cstdlib>
#include <malloc.h>
#include <new>

namespace {

constexpr int64_t headerBytes = 8; // glibc's, in front of each allocation
std::atomic<int64_t> allocated { 0 };

int64_t sizeOf(void* memory)
{
    return static_cast<int64_t>(malloc_usable_size(memory)) + headerBytes;
}

} // namespace

void* operator new(size_t size)
{
    void* memory = std::malloc(size); // NOLINT(cppcoreguidelines-no-malloc)
    if (memory == nullptr) {
        throw std::bad_alloc();
    }
    allocated += sizeOf(memory);
    return memory;
}

void operator delete(void* memory) noexcept
{
    if (memory != nullptr) {
        allocated -= sizeOf(memory);
    }
    std::free(memory); // NOLINT(cppcoreguidelines-no-malloc)
}

void operator delete(void* memory, size_t) noexcept
{
    operator delete(memory);
}

namespace siskinspread::benchmark {

int64_t heapBytes()
{
    return allocated;
}

} // namespace siskinspread::benchmark
