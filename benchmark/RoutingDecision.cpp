// Processor time and allocations of one routing decision by size of the pool. Prints one line for each size and the slope.
// With a size as argument: decisions of that size only, for counting instructions.

#include "siskinspread/Routing.h"

#include <atomic>
#include <cstdlib>
#include <ctime>
#include <iomanip>
#include <iostream>
#include <new>

namespace {

std::atomic<uint64_t> allocations { 0 };

} // namespace

void* operator new(size_t size)
{
    ++allocations;
    void* memory = std::malloc(size); // NOLINT(cppcoreguidelines-no-malloc)
    if (memory == nullptr) {
        throw std::bad_alloc();
    }
    return memory;
}

void operator delete(void* memory) noexcept
{
    std::free(memory); // NOLINT(cppcoreguidelines-no-malloc)
}

void operator delete(void* memory, size_t) noexcept
{
    std::free(memory); // NOLINT(cppcoreguidelines-no-malloc)
}

namespace {

using namespace siskinspread;
using namespace std::chrono_literals;

constexpr size_t promptBlocks = 64; // about 4000 tokens
constexpr size_t prompts = 512;
constexpr size_t decisions = 20000;
constexpr int repetitions = 5;

PoolView poolOf(size_t servers, MonotonicTime now)
{
    PoolView view;
    view.entryHosts = 7;
    for (size_t i = 0; i < servers; ++i) {
        upsertBackendServer(view, { .name = "replica-" + std::to_string(i), .failureDomain = "a", .pricePerHour = 1 });
        BackendServerView& server = view.servers[i];
        setBackendStatus(server, BackendStatus::Live, now - 1h);
        applyLoadReport(server, { .sampledAt = now - 1s, .running = static_cast<uint32_t>(i % 12), .slots = 16 });
        recordDispatch(server, 300, now - 500ms);
        recordDispatch(server, 300, now - 200ms);
    }
    return view;
}

/** Prompts of a common beginning, one of 32 documents and a tail of their own. */
std::vector<std::vector<PrefixBlock>> promptsOf(PoolView& view, MonotonicTime now)
{
    std::vector<std::vector<PrefixBlock>> all;
    for (size_t p = 0; p < prompts; ++p) {
        const std::string text = std::string(size_t { 80 }, 'i') + std::string(size_t { 144 }, static_cast<char>('A' + p % 32)) + std::string(4, 't') + std::to_string(100000 + p) + std::string(30, 'u');
        all.push_back(prefixBlocks(text, 4, promptBlocks));
        recordPrefix(view.popularity, all.back(), 500, now);
        for (const PrefixBlock block : all.back()) {
            recordCached(view.cachedPrefixes, block, view.servers[p % view.servers.size()].nameHash, now);
        }
    }
    return all;
}

struct Cost {
    double nanoseconds { 0 };
    double allocations { 0 };
};

Cost measure(size_t servers)
{
    const MonotonicTime now = MonotonicTime { 2h };
    PoolView view = poolOf(servers, now);
    const auto all = promptsOf(view, now);
    refreshPoolView(view, now);
    const RoutingOptions options;
    LastReason reason;
    Cost best { .nanoseconds = 1e18, .allocations = 0 };
    size_t chosen = 0;
    for (int repetition = 0; repetition < repetitions; ++repetition) {
        const uint64_t allocationsBefore = allocations;
        const std::clock_t begin = std::clock();
        for (size_t i = 0; i < decisions; ++i) {
            const RouteRequest request { .blocks = all[i % prompts], .promptTokens = 4100, .deadline = now + 20s, .seed = i };
            chosen += chooseBackendServer(view, request, options, now, reason)->index;
        }
        const double elapsed = static_cast<double>(std::clock() - begin) * 1e9 / CLOCKS_PER_SEC; // processor time
        best.nanoseconds = std::min(best.nanoseconds, elapsed / decisions);
        best.allocations = static_cast<double>(allocations - allocationsBefore) / decisions;
    }
    return chosen > 0 ? best : Cost {};
}

} // namespace

int main(int count, char** arguments)
{
    if (count > 1) {
        return measure(std::strtoull(arguments[1], nullptr, 10)).nanoseconds > 0 ? 0 : 1;
    }
    const size_t sizes[] { 20, 84, 670 };
    Cost first;
    Cost last;
    std::cout << std::fixed << std::setprecision(1);
    for (const size_t servers : sizes) {
        last = measure(servers);
        if (servers == sizes[0]) {
            first = last;
        }
        std::cout << servers << " replicas: " << last.nanoseconds << " ns of processor time and " << last.allocations << " allocations a decision\n";
    }
    std::cout << "slope: " << (last.nanoseconds - first.nanoseconds) / static_cast<double>(sizes[2] - sizes[0]) << " ns a replica\n";
    return 0;
}
