#pragma once

#include "siskinspread/Ids.h"
#include "siskinspread/ResultCode.h"
#include "siskinspread/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

/** @file The durable records of an incarnation. Plain values without behaviour; see docs/design/incarnation-log.md. */

namespace siskinspread {

/** An idempotency key within its customer; the same text of two customers is two keys. */
struct IdempotencyKey {
    std::string customer;
    std::string text;
    bool operator==(const IdempotencyKey&) const = default;
    bool operator<(const IdempotencyKey& other) const { return std::tie(customer, text) < std::tie(other.customer, other.text); }
};

/** 128-bit hash (XXH3) of the method, path and body of a request. */
struct BodyDigest {
    uint64_t high { 0 };
    uint64_t low { 0 };
    bool operator==(const BodyDigest&) const = default;
};

/** Recorded before a non-repeatable request is dispatched: from here on it may have run. */
struct IntentEntry {
    RequestId request; /**< Issued by the incarnation in whose log the entry stands. */
    IdempotencyKey key;
    BodyDigest digest;
    uint32_t slice { 0 };
    std::string service;
    std::string entryHost; /**< The host that the caller is connected to. */
    std::vector<std::string> candidates; /**< The only backend servers that it is ever sent to, the first choice first. */
    WallTime recordedAt {};
    bool operator==(const IntentEntry&) const = default;
};

/** The account of a request that ended. */
struct AccountEntry {
    RequestId request;
    std::string customer;
    std::string service;
    ResultCode result { ResultCode::Ok };
    RunState runState { RunState::NotRun };
    bool attemptsKnown { true };
    uint32_t attempts { 0 }; /**< Only where they are known. */
    std::vector<std::string> backendServers; /**< In the order of the attempts that ended, as far as they are known. */
    std::vector<std::string> candidates; /**< Without a recorded outcome: where the request may have been sent, the first choice first. */
    WallTime acceptedAt {};
    WallTime finishedAt {};
    std::string entryHost;
    bool operator==(const AccountEntry&) const = default;
};

/** The account of a non-repeatable request together with what a second try with the same key is answered. */
struct OutcomeEntry {
    AccountEntry account;
    IdempotencyKey key;
    int httpStatus { 0 };
    std::string response;
    bool responseKept { true }; /**< False when the response was too large to keep. */
    bool operator==(const OutcomeEntry&) const = default;
};

/** The request was handed over; its account is in the log of `to`, under the id `as`. */
struct HandedOverEntry {
    RequestId request;
    RequestId as;
    bool operator==(const HandedOverEntry&) const = default;
};

/** Declares which incarnation receives copies while the store is away. Replaces an earlier declaration. */
struct CopyHolderEntry {
    IncarnationId holder;
    bool operator==(const CopyHolderEntry&) const = default;
};

/** Why a log was closed. */
enum class ClosingReason : uint8_t {
    PlannedStop,
    TakenOver,
};

/** The last entry of a log. */
struct ClosingEntry {
    IncarnationId by;
    ClosingReason reason { ClosingReason::TakenOver };
    WallTime closedAt {};
    bool operator==(const ClosingEntry&) const = default;
};

using LogEntry = std::variant<IntentEntry, OutcomeEntry, AccountEntry, HandedOverEntry, CopyHolderEntry, ClosingEntry>;

/** An entry with its place in the log of its incarnation, counted from 1 without gaps. */
struct LogRecord {
    uint64_t position { 0 };
    LogEntry entry;
    bool operator==(const LogRecord&) const = default;
};

/**
 * The object `log/INCARNATION/NUMBER`, written by create-if-absent. The owner of the log builds one content for each
 * number and repeats it unchanged until it is settled, so `writer` tells whether a batch that was found is its own: it
 * is the owner's incarnation with its start mark, or the incarnation that closes the log.
 */
struct LogBatch {
    IncarnationId incarnation; /**< Whose log this is. */
    uint64_t number { 0 }; /**< Counted from 1. */
    IncarnationId writer; /**< Differs from `incarnation` in a batch that closes the log of another host. */
    std::vector<LogRecord> records;
    bool operator==(const LogBatch&) const = default;
};

/**
 * The object `log/INCARNATION/sealed`, written once by create-if-absent after the log was closed: what the copy
 * holder held when it was sealed.
 */
struct SealedCopy {
    IncarnationId incarnation;
    bool complete { true }; /**< False when the copy holder was gone: entries that only it held are lost. */
    std::vector<LogRecord> records;
    bool operator==(const SealedCopy&) const = default;
};

/** @return bytes that the entry takes in a batch, rounded up generously. Thread safety: reentrant. */
size_t encodedSize(const LogEntry& entry);

/** @return whether somebody waits for the entry; other entries are written at the longer interval. Thread safety: reentrant. */
bool isUrgent(const LogEntry& entry);

/** @return whether the entry is sent to the copy holder while the store is away. Thread safety: reentrant. */
bool isCopied(const LogEntry& entry);

/** @return the closing entry of a batch, or null. Thread safety: reentrant. */
const ClosingEntry* closingEntry(const LogBatch& batch);

} // namespace siskinspread
