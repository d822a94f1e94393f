#pragma once

#include "siskinspread/IncarnationLogEntries.h"

#include <chrono>
#include <deque>

/**
 * @file The owner's side of an incarnation log: group commit by create-if-absent, and copies to a second host while
 * the store is away. An entry is durable when the log has it or the declared copy holder has acknowledged it.
 */

namespace siskinspread {

struct IncarnationLogOptions {
    std::chrono::milliseconds urgentInterval { 100 }; /**< Between the starts of two writes while somebody waits. */
    std::chrono::milliseconds lazyInterval { 10'000 }; /**< Longest time that an entry nobody waits for is held back. */
    std::chrono::milliseconds retryInterval { 500 }; /**< After an answer that was lost or a failed read. */
    std::chrono::milliseconds copyAfter { 300 }; /**< Age of an unsettled batch from which copies are sent. */
    std::chrono::milliseconds copyResend { 50 }; /**< Between two sendings of unacknowledged copies. */
    size_t maxBatchBytes { size_t { 512 } * 1024 }; /**< The store holds values up to 1 MiB. */
    size_t maxWaitingBytes { size_t { 32 } * 1024 * 1024 }; /**< New intents and `hasRoom` stop here. */
};

/** An entry that the log does not have yet. */
struct WaitingEntry {
    LogRecord record;
    uint64_t token { 0 };
    size_t bytes { 0 };
    MonotonicTime since {};
    bool durable { false }; /**< The copy holder has acknowledged it. */
};

enum class BatchPhase : uint8_t {
    Idle,
    Creating, /**< The answer to a create is awaited. */
    ReadDue, /**< The answer was lost; the batch is to be read back. */
    Reading, /**< The answer to a read is awaited. */
    CreateDue, /**< The batch was not there; it is to be created again, unchanged. */
};

/** The state of one log; default-constructed but for `self` and `startMark`. */
struct IncarnationLogState {
    IncarnationId self;
    std::string startMark; /**< Differs between two processes that drew the same incarnation, such as the time of start. */
    uint64_t nextNumber { 1 };
    uint64_t nextPosition { 1 };
    std::deque<WaitingEntry> waiting; /**< In order of position; the first `outstanding` form the batch in progress. */
    size_t outstanding { 0 };
    size_t waitingBytes { 0 };
    BatchPhase phase { BatchPhase::Idle };
    std::optional<MonotonicTime> lastWrite;
    MonotonicTime batchStarted {}; /**< When the batch in progress was first sent. */
    MonotonicTime retryAt {};
    uint64_t loggedUpTo { 0 }; /**< Position of the last entry known to be in the log. */
    uint64_t copiedUpTo { 0 }; /**< Position of the last entry that the copy holder acknowledged. */
    std::optional<IncarnationId> copyHolder; /**< Declared in the log, and no other declaration is pending. */
    std::optional<IncarnationId> pendingHolder;
    std::optional<MonotonicTime> lastCopy;
    bool closing { false }; /**< CloseRequested was seen; nothing more is accepted. */
    bool closed { false };
};

/** Append an entry; `token`, above zero, comes back with its completion. */
struct AppendEntry {
    uint64_t token { 0 };
    LogEntry entry;
};
/** The create took effect. */
struct BatchCreated {
    uint64_t number { 0 };
};
/** The create was refused, as the object exists. */
struct BatchExists {
    uint64_t number { 0 };
};
/** The create ended without an answer: it may have taken effect, or may yet do so. */
struct BatchUncertain {
    uint64_t number { 0 };
};
/** The batch that a ReadBatch found; without a writer, `LogBatch::writer`, when there was none. */
struct BatchRead {
    uint64_t number { 0 };
    std::optional<IncarnationId> writer;
};
/** The read ended without an answer. */
struct BatchReadFailed {
    uint64_t number { 0 };
};
/** Membership chose the incarnation that is to hold copies from now on. */
struct CopyHolderChosen {
    IncarnationId holder;
};
/** The copy holder holds all copied entries up to this position. */
struct CopiesAcknowledged {
    IncarnationId holder;
    uint64_t upTo { 0 };
};
/** The copy holder takes no copies of this log any more (sealed, or its host runs another incarnation). */
struct CopiesRefused {
    IncarnationId holder;
};
/** Planned stop: the closing entry is written after all that waits. Precondition: no request is open. */
struct CloseRequested {
    WallTime at {};
};
/** Time passed; raise it at least every 50 ms while entries wait. */
struct LogTick { };

using IncarnationLogEvent = std::variant<AppendEntry, BatchCreated, BatchExists, BatchUncertain, BatchRead, BatchReadFailed,
    CopyHolderChosen, CopiesAcknowledged, CopiesRefused, CloseRequested, LogTick>;

/** Create the object unless it exists. Ends in BatchCreated, BatchExists or BatchUncertain, once. */
struct CreateBatch {
    LogBatch batch;
};
/** Read the object. Ends in BatchRead or BatchReadFailed, once. */
struct ReadBatch {
    IncarnationId incarnation;
    uint64_t number { 0 };
};
/** Send the copies to the holder, which answers with CopiesAcknowledged or CopiesRefused. */
struct SendCopies {
    IncarnationId holder;
    uint64_t loggedUpTo { 0 };
    std::vector<LogRecord> records;
};
/** The entry is durable; said once for each token. */
struct EntryDurable {
    uint64_t token { 0 };
    bool byCopy { false };
};
/** The entry is not durable and the owner will not write it; said once, and never after EntryDurable. */
struct EntryRefused {
    uint64_t token { 0 };
    ResultCode reason { ResultCode::LogClosed };
};
/** The log takes no more entries, for good. */
struct LogEnded {
    bool planned { false };
};
/** The copy holder is lost; choose another with CopyHolderChosen. */
struct CopyHolderNeeded { };

using IncarnationLogAction = std::variant<CreateBatch, ReadBatch, SendCopies, EntryDurable, EntryRefused, LogEnded, CopyHolderNeeded>;

/**
 * Advances the log by one event. Events about a batch that is settled already are ignored, so that duplicates and
 * late answers do no harm.
 *
 * @param actions receives what is to be done, appended in order.
 * Thread safety: the caller serialises calls for one state.
 */
void step(IncarnationLogState& state, const IncarnationLogOptions& options, const IncarnationLogEvent& event, MonotonicTime now,
    std::vector<IncarnationLogAction>& actions);

/** @return whether another request may be accepted; its entries are then taken in any case. Thread safety: reads only. */
bool hasRoom(const IncarnationLogState& state, const IncarnationLogOptions& options);

/**
 * @param writesPerSecond the share of the store's write budget for the writers, above zero.
 * @param writers how many incarnations write at that interval.
 * @return the interval at which each may write so that all together stay inside the share. Thread safety: reentrant.
 */
std::chrono::milliseconds writeInterval(double writesPerSecond, size_t writers);

} // namespace siskinspread
