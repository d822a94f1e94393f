#pragma once

#include "siskinspread/IncarnationLogEntries.h"

#include <map>

/** @file The holder's side of copies: keeps entries of another incarnation that cannot reach the store. */

namespace siskinspread {

struct CopyHolderOptions {
    size_t maxBytes { size_t { 32 } * 1024 * 1024 }; /**< For all owners together. */
};

/** What is held for one incarnation. */
struct HeldCopies {
    std::map<uint64_t, LogRecord> records; /**< By position. */
    bool sealed { false };
};

struct CopyHolderState {
    IncarnationId self;
    std::map<IncarnationId, HeldCopies> owners;
    size_t bytes { 0 };
};

/** Copies arrived. The owner sends all its unacknowledged copied entries in order, so the last one bounds what is held. */
struct CopiesArrived {
    IncarnationId owner;
    IncarnationId addressee; /**< The incarnation that the owner declared; copies for an earlier one of this host are refused. */
    uint64_t loggedUpTo { 0 }; /**< The log has these; they are dropped. */
    std::vector<LogRecord> records;
};
/** A host that closed the owner's log asks for the seal. */
struct SealRequested {
    IncarnationId owner;
    IncarnationId addressee;
    IncarnationId by;
};
/** The object `log/OWNER/sealed` exists; the entries need not be held any longer. */
struct SealedCopyStored {
    IncarnationId owner;
};

using CopyHolderEvent = std::variant<CopiesArrived, SealRequested, SealedCopyStored>;

struct AcknowledgeCopies {
    IncarnationId owner;
    uint64_t upTo { 0 };
};
struct RefuseCopies {
    IncarnationId owner;
    bool permanent { false }; /**< Sealed or another incarnation; otherwise there is no room at present. */
};
struct ReturnSealedCopies {
    IncarnationId to;
    IncarnationId owner;
    std::vector<LogRecord> records;
};
/** This host now runs another incarnation than the addressee, which has therefore ended with all that it held. */
struct AddresseeGone {
    IncarnationId to;
    IncarnationId owner;
};

using CopyHolderAction = std::variant<AcknowledgeCopies, RefuseCopies, ReturnSealedCopies, AddresseeGone>;

/**
 * Advances the holder by one event. Arrivals and seals may be repeated and reordered.
 *
 * Thread safety: the caller serialises calls for one state.
 */
void step(CopyHolderState& state, const CopyHolderOptions& options, const CopyHolderEvent& event, std::vector<CopyHolderAction>& actions);

} // namespace siskinspread
