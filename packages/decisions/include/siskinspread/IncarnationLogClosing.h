#pragma once

#include "siskinspread/IncarnationLog.h"

/**
 * @file Reads the log of another incarnation to its end, and closes it where asked to. The conditional create of the
 * closing entry is the fence against the owner, and the seal at the copy holder is the fence while the owner cannot
 * reach the store: history is whole when both are done.
 */

namespace siskinspread {

/** All that is known of an incarnation from its log and its sealed copies. */
struct LogHistory {
    IncarnationId incarnation;
    std::vector<LogRecord> records; /**< Ordered by position, each position once, without closing entries. */
    bool closed { false };
    bool copiesPending { false }; /**< Closed, and the copies are not sealed yet: entries may still be added. */
    bool complete { true }; /**< False when copies were lost with their holder. */
    WallTime closedAt {}; /**< By the clock of the host that closed it. */
    std::optional<IncarnationId> copyHolder; /**< The last declared; empty when the owner closed its log itself. */
};

enum class ClosingPurpose : uint8_t {
    ReadOnly, /**< Never writes: for accounts. */
    Close, /**< Closes the log and seals its copies: for a takeover. */
};

enum class ClosingPhase : uint8_t {
    ReadingBatch,
    CreatingClosing,
    ReadingSealed,
    Sealing,
    StoringSealed,
    Done,
};

/** Default-constructed but for `self`, `history.incarnation` and `purpose`. */
struct LogClosingState {
    IncarnationId self;
    ClosingPurpose purpose { ClosingPurpose::ReadOnly };
    LogHistory history;
    ClosingPhase phase { ClosingPhase::ReadingBatch };
    uint64_t number { 1 };
    MonotonicTime retryAt {};
    bool waiting { false }; /**< An answer is awaited; otherwise the next call is due at `retryAt`. */
};

struct LogClosingOptions {
    std::chrono::milliseconds retryInterval { 500 }; /**< After a failed call, and between two seal requests. */
};

struct StartClosing { };
/** Answer to ReadBatch; without a value when the object is not there. */
struct BatchFound {
    uint64_t number { 0 };
    std::optional<LogBatch> batch;
};
/** Answer to ReadSealedCopy; without a value when the object is not there. */
struct SealedCopyFound {
    std::optional<SealedCopy> copy;
};
/** A create ended (created, refused or without an answer): what is there now is read next. */
struct CreateEnded { };
/** A read ended without an answer, or the copy holder did not answer. */
struct CallFailed { };
/** The copy holder is sealed and returned what it holds. */
struct CopiesSealed {
    std::vector<LogRecord> records;
};
/** The copy holder's incarnation has ended for certain; see docs/design/incarnation-log.md for what counts as certain. */
struct CopyHolderGone { };

using LogClosingEvent = std::variant<StartClosing, BatchFound, SealedCopyFound, CreateEnded, CallFailed, CopiesSealed, CopyHolderGone, LogTick>;

struct ReadSealedCopy {
    IncarnationId incarnation;
};
/** Create `log/INCARNATION/sealed` unless it exists. */
struct CreateSealedCopy {
    SealedCopy copy;
};
/** Ask the holder to refuse further copies of the incarnation and to return what it holds. */
struct SealCopies {
    IncarnationId holder;
    IncarnationId incarnation;
};
/** `state.history` is final for the purpose; with ReadOnly the log may be open or the copies pending. */
struct HistoryRead { };

using LogClosingAction = std::variant<ReadBatch, CreateBatch, ReadSealedCopy, CreateSealedCopy, SealCopies, HistoryRead>;

/**
 * Advances the reading by one event. Every action but HistoryRead ends in one of the events above.
 *
 * Thread safety: the caller serialises calls for one state.
 */
void step(LogClosingState& state, const LogClosingOptions& options, const LogClosingEvent& event, MonotonicTime now, WallTime wall,
    std::vector<LogClosingAction>& actions);

} // namespace siskinspread
