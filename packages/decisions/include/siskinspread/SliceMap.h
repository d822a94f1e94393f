#pragma once

#include "siskinspread/IncarnationLogEntries.h"
#include "siskinspread/LastReason.h"

#include <chrono>
#include <set>
#include <string_view>

/** @file Which incarnation owns which slice of the idempotency keys, and keys that the system issues. */

namespace siskinspread {

/** An earlier owner whose log may hold the history of keys of the slice. */
struct PreviousOwner {
    IncarnationId incarnation;
    uint64_t generation { 0 };
    WallTime until {}; /**< When it was replaced. */
    bool operator==(const PreviousOwner&) const = default;
};

/** One slice of the map. */
struct SliceAssignment {
    IncarnationId owner; /**< Empty text: nobody yet. */
    uint64_t generation { 0 }; /**< Grows by one with each change of owner. */
    std::vector<PreviousOwner> previous; /**< Oldest first. */
    bool operator==(const SliceAssignment&) const = default;
};

/** The object `slices`, changed by conditional update on its version. */
struct SliceMap {
    std::vector<SliceAssignment> slices;
    bool operator==(const SliceMap&) const = default;
};

/** A live incarnation that may own slices. */
struct SliceOwnerCandidate {
    IncarnationId incarnation;
    std::string failureDomain;
};

struct SliceOptions {
    uint32_t sliceCount { 256 };
    size_t ownersPerFailureDomain { 2 }; /**< Bounds the writers that somebody waits for. */
    std::chrono::hours retention { 24 }; /**< How long keys and their outcomes are remembered. */
};

/** A slice that `taker` is to take from `from`, after the log of `from` is closed and its copies are sealed. */
struct SliceMove {
    uint32_t slice { 0 };
    IncarnationId from; /**< Empty text: the slice never had an owner. */
    IncarnationId taker;
    bool operator==(const SliceMove&) const = default;
};

/**
 * @return the candidates that may own slices: `ownersPerFailureDomain` of each domain. Those that own slices already
 * come first, so that a new host does not move any; then by hash. Every host computes the same from the same input.
 * Thread safety: reentrant.
 */
std::vector<SliceOwnerCandidate> sliceOwners(const SliceMap& map, const std::vector<SliceOwnerCandidate>& candidates, const SliceOptions& options);

/**
 * @param ended incarnations held to be dead or leaving. A wrong verdict costs availability, never correctness.
 * @param failureDomains of all incarnations in the map, as far as known.
 * @return the moves that give every slice without a living owner to one: in the failure domain of the old owner where
 * there is one, to the one with the fewest slices, ties by hash. Deterministic. Thread safety: reentrant.
 */
std::vector<SliceMove> planSliceMoves(const SliceMap& map, const std::vector<SliceOwnerCandidate>& candidates,
    const std::set<IncarnationId>& ended, const std::vector<SliceOwnerCandidate>& failureDomains, const SliceOptions& options);

/**
 * Applies those moves whose `from` is still the owner, and drops previous owners past the retention.
 *
 * @param map as read from the store; write the result conditionally on the version that was read. After a lost answer
 * read the map again: a slice is owned by whom the map names, and only its own incarnation writes a name there.
 * @return std::nullopt when no move applies; reason VersionConflict. Thread safety: reentrant.
 */
std::optional<SliceMap> applySliceMoves(const SliceMap& map, const std::vector<SliceMove>& moves, WallTime now, const SliceOptions& options, LastReason& reason);

/** What a key that the system issued says about itself. */
struct IssuedKey {
    uint32_t slice { 0 };
    uint64_t generation { 0 }; /**< Of the owner that issued it: no earlier owner can have accepted it. */
    WallTime issuedAt {}; /**< In seconds. */
    uint64_t serial { 0 };
    bool operator==(const IssuedKey&) const = default;
};

/** @param serial differs between keys of one slice, generation and second. Thread safety: reentrant. */
std::string issueKey(const std::string& customer, const IssuedKey& key);

/** @return whether the text claims to be an issued key. Thread safety: reentrant. */
bool looksIssued(std::string_view text);

/** @return std::nullopt when the text is not an issued key of this customer; reason MalformedRequest. Thread safety: reentrant. */
std::optional<IssuedKey> parseIssuedKey(const IdempotencyKey& key, LastReason& reason);

/** @return the slice of a key: the one named by an issued key, otherwise by hash. Thread safety: reentrant. */
uint32_t sliceOf(const IdempotencyKey& key, const SliceOptions& options);

/** @return the digest of what must not differ between two requests with one key. Thread safety: reentrant. */
BodyDigest digestOf(std::string_view method, std::string_view path, std::string_view body);

} // namespace siskinspread
