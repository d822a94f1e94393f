#pragma once

#include "siskinspread/Routing.h"

#include <memory_resource>
#include <span>
#include <type_traits>
#include <vector>

/** @file Internal: nested rendezvous, which places the beginnings of prompts on backend servers. */

namespace siskinspread {

/** A server that new work may go to. */
struct Candidate {
    uint64_t nameHash { 0 };
    size_t index { 0 }; /**< Into PoolView::servers. */
    double homeTokens { 0 }; /**< Prompt tokens expected in its cache because it is a home of their blocks. */
};

/** In scratch memory, by ascending index. */
using Candidates = std::span<Candidate>;

/** Candidates that are homes of a beginning, in the order of the pool; in scratch memory. */
struct Homes {
    std::span<uint32_t> positions; /**< Among the candidates. */
    std::span<uint64_t> nameHashes;
};

/** @return memory for values that have none yet. Thread safety: as the resource. */
template <typename T>
std::span<T> scratchFor(std::pmr::memory_resource& memory, size_t count)
{
    static_assert(std::is_trivially_copyable_v<T> && std::is_trivially_destructible_v<T>);
    return { std::pmr::polymorphic_allocator<T>(&memory).allocate(count), count };
}

/**
 * Keeps the `wanted` homes with the highest rendezvous weight for the block.
 * Precondition: 0 < wanted < number of homes. Thread safety: reentrant, as the resource.
 */
using KeepHomes = void(Homes& homes, size_t wanted, PrefixBlock block, std::pmr::memory_resource& memory);

/** In linear time: weights are uniform, so the least one to be kept lies in a narrow range that is known beforehand. */
KeepHomes keepHomes;

/** By sorting; what keepHomes is compared with. */
KeepHomes keepHomesBySorting;

/**
 * Credits each candidate with the prompt tokens that nested rendezvous places on it.
 * @param uses of the request's blocks.
 * @return positions of candidates that were homes, up to RoutingOptions::sample of each narrowing, the last homes at the end.
 */
std::pmr::vector<uint32_t> creditHomes(Candidates candidates, const RouteRequest& request, std::span<const PrefixUse> uses, const RoutingOptions& options, KeepHomes& keep, std::pmr::memory_resource& memory);

} // namespace siskinspread
