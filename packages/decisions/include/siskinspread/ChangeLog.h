#pragma once

#include "siskinspread/Time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace siskinspread {

/** All changes of a collection between two revisions of the store. */
template <typename Change>
struct ChangeBatch {
    uint64_t from { 0 };
    uint64_t asOf { 0 };
    std::vector<Change> changes;
    MonotonicTime at {};
};

/**
 * What a reader of the store has seen change lately, for others that follow it. Batches join up: each begins where the one
 * before ended. Thread safety: safe while no other thread uses it.
 */
template <typename Change>
struct ChangeLog {
    std::deque<ChangeBatch<Change>> batches;
};

/** How long and how much a log keeps. */
struct ChangeLogOptions {
    std::chrono::milliseconds keptFor { 2500 }; /**< Several messages to each follower, so that all but one may be lost. */
    /** A reclaim of two domains of the target and its replacements. A follower that lacks more asks the store. */
    size_t maxChanges { 256 };
};

/** Adds what was read; a gap before it makes the log begin anew. Thread safety: as ChangeLog. */
template <typename Change>
void recordChanges(ChangeLog<Change>& log, ChangeBatch<Change>&& batch, const ChangeLogOptions& options)
{
    if (!log.batches.empty() && log.batches.back().asOf != batch.from) {
        log.batches.clear();
    }
    // Answers without changes only move the end, so that the log stays as short as what has changed.
    if (!log.batches.empty() && batch.changes.empty() && log.batches.back().changes.empty()) {
        log.batches.back().asOf = batch.asOf;
        log.batches.back().at = batch.at;
        return;
    }
    const auto now = batch.at;
    log.batches.push_back(std::move(batch));
    size_t kept = 0;
    for (const auto& one : log.batches) {
        kept += one.changes.size();
    }
    while (log.batches.size() > 1 && (now - log.batches.front().at > options.keptFor || kept > options.maxChanges)) {
        kept -= log.batches.front().changes.size();
        log.batches.pop_front();
    }
}

/** What a follower that knows everything up to `known` does with a batch. */
enum class BatchUse : uint8_t {
    Known,
    Apply,
    Gap, /**< Changes between what is known and the batch are missing. */
};

/** @return the use of a batch. Thread safety: reentrant. */
constexpr BatchUse useOfBatch(uint64_t known, uint64_t from, uint64_t asOf)
{
    if (asOf <= known) {
        return BatchUse::Known;
    }
    return from <= known ? BatchUse::Apply : BatchUse::Gap;
}

} // namespace siskinspread
