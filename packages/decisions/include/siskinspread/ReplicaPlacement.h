#pragma once

#include "siskinspread/Time.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace siskinspread {

/** A part of a prompt; requests with the same first parts share what an engine has computed of them. */
struct PromptPart {
    uint64_t id { 0 };
    uint32_t tokens { 0 };
};

/** Requests that are at a replica, as far as they are known. */
struct ReplicaLoad {
    uint32_t requests { 0 };
    uint64_t unreadTokens { 0 }; /**< Prompt tokens of requests that have not produced anything yet. */
    uint64_t heldTokens { 0 }; /**< Memory of all requests at the replica, in tokens. */
};

/** A replica as a candidate for one request. */
struct PlacementCandidate {
    uint64_t identity { 0 }; /**< Hash of the incarnation's name; the same on all hosts. */
    ReplicaLoad load; /**< From this host and its peers together. */
    uint32_t slots { 0 };
    uint64_t memoryTokens { 0 }; /**< Zero: a plain service, which has no prompt memory. */
    double slowness { 1.0 }; /**< Measured time to the first byte over the predicted one. */
    double workFactor { 1.0 }; /**< How long work takes at the replica, as it says itself; 1.0 as usual for the service. */
    double usualUnreadTokens { 0 }; /**< Of its peers' requests, over the last second or so: what they tell is older than a prompt takes to be read. */
    bool forOtherSize { false }; /**< The replica is for prompts of another size first; see SizeBasedRouting.h. */
    std::chrono::microseconds otherSizeCost { 0 }; /**< What it costs to use it all the same. */
    bool sameDomain { false };
    uint32_t residentTokens { 0 }; /**< Leading prompt tokens that this host saw the replica compute. */
};

/** What is being placed. */
struct PlacementRequest {
    std::span<const PromptPart> prompt;
    uint32_t outputTokens { 0 };
    uint64_t draw { 0 }; /**< Random; decides between candidates that are as good as each other. */
};

/** Figures of the engines, and weights. */
struct PlacementOptions {
    double promptTokensPerMs { 50.0 }; /**< Initial assumption about the engines' speed at reading prompts. */
    std::chrono::microseconds batchCost { 500 }; /**< Delay of a first token for each request that is already in the batch. */
    std::chrono::microseconds otherDomainCost { 2000 }; /**< Round trip to another failure domain. */
    double readAgainWeight { 2.0 }; /**< How much more an unread token weighs than its own reading time: others wait as well. */
    std::chrono::microseconds crowdedQueue { 200000 }; /**< Mean queue that doubles that weight: where reading lacks, it delays more of them. */
    double evenness { 0.15 }; /**< Candidates within this share of the best cost are as good as each other. */
};

/** @return the tokens of all parts. Thread safety: reentrant. */
uint32_t promptTokens(std::span<const PromptPart>);

/** @return all parts but the last, which belongs to the request or its session alone. Thread safety: reentrant. */
std::span<const PromptPart> sharedParts(std::span<const PromptPart> prompt);

/** Where a request should go. */
struct Placement {
    size_t index { 0 };
    std::chrono::microseconds predictedWait { 0 }; /**< Until the first token. */
    std::chrono::microseconds queueAhead { 0 }; /**< Of it, for the prompts that the replica already has. */
    uint32_t unreadTokens { 0 }; /**< Of this request, that the replica has to compute. */
};

/**
 * Chooses the candidate with a free place that is expected to produce the first token soonest, counting what it has to
 * read again. Candidates of equal cost are drawn between, since other hosts choose from the same knowledge at the same time.
 * @return nothing when no candidate has a free place. Thread safety: reentrant.
 */
std::optional<Placement> placeRequest(const PlacementRequest&, std::span<const PlacementCandidate>, const PlacementOptions&);

/** @return the mean time for a replica to read the prompts that it has. Thread safety: reentrant. */
std::chrono::microseconds meanQueue(std::span<const PlacementCandidate>, const PlacementOptions&);

/** @return whether the replica has a place and memory for the request. Thread safety: reentrant. */
bool hasPlaceFor(const PlacementCandidate&, uint64_t requestTokens);

} // namespace siskinspread
