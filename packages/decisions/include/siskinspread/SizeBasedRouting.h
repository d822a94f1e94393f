#pragma once

#include <chrono>
#include <cstdint>
#include <span>
#include <vector>

/** @file Keeps short prompts away from replicas that read long ones. See docs/design/long-and-short-prompts.md. */

namespace siskinspread {

struct SizeRoutingOptions {
    double promptTokensPerMs { 50.0 }; /**< As in PlacementOptions. */
    /** Part of the shortest latency target of a service that reading a short prompt may take: several of them fit in front of another. */
    double shortPart { 0.25 };
    double costPart { 0.25 }; /**< Of its target, that a request loses at a replica for another size. */
    std::chrono::microseconds busyQueue { 100000 }; /**< Mean queue at which that cost has fallen to nothing. */
    double initialLongShare { 0.5 }; /**< Of the work, until requests have been seen. */
    double memory { 100.0 }; /**< Requests after which most of what was seen before is forgotten. */
    size_t leastReplicas { 6 }; /**< With fewer, a group would be one or two replicas, which a single long prompt or a crash takes away. */
};

/** Work of a service by size of its prompts, as this host sees it. */
struct SizeMix {
    double longShare { 0.5 };
    double requests { 0 }; /**< Seen, up to the memory. */
};

/** A replica as a member of a group. */
struct SizeRoutingReplica {
    uint64_t identity { 0 };
    double workFactor { 1.0 };
};

/** @return whether reading the prompt takes long for callers with the shortest target of the service. Thread safety: reentrant. */
bool isLongPrompt(uint32_t tokensToRead, std::chrono::milliseconds shortestTarget, const SizeRoutingOptions&);

/** Notes the work of a request. Thread safety: safe while no other thread uses `mix`. */
void noteWork(SizeMix& mix, uint32_t tokensToRead, bool isLong, const SizeRoutingOptions&);

/**
 * @return what a request loses at a replica for prompts of another size: a part of its target while replicas have room, less the longer they
 * all are busy, since then a free place counts more than its neighbours. Thread safety: reentrant.
 */
std::chrono::microseconds otherSizeCost(std::chrono::microseconds target, std::chrono::microseconds meanQueue, const SizeRoutingOptions&);

/**
 * Chooses the replicas that long prompts use first: the fastest ones, as many as read the long prompts' share of the work. The others are
 * for short prompts first. All hosts that know the same replicas and have a like mix choose alike, without any message.
 * @return for each replica whether it is for long prompts; empty where the replicas are not divided. Thread safety: reentrant.
 */
std::vector<bool> replicasForLongPrompts(std::span<const SizeRoutingReplica>, double longShare, const SizeRoutingOptions&);

} // namespace siskinspread
