#pragma once

#include "siskinspread/IncarnationLogEntries.h"

#include <map>

/** @file The holder's side of copies: keeps entries of another incarnation that cannot reach the store. */

namespace siskinspread {

struct CopyHolderOptions {
    size_t maxBytes { size_t { 32 } * 1024 * 1024 }; /**< For all owners together. */
    size_t maxPartBytes { size_t { 256 } * 1024 }; /**< Of one message in which copies are handed over. */
};

/** What is held for one incarnation. */
struct HeldCopies {
    std::map<uint64_t, LogRecord> records; /**< By position. */
    bool sealed { false };
};

/** One message of all that a holder hands over when it leaves. */
struct CopiesPart {
    IncarnationId holder; /**< That leaves. */
    size_t number { 0 }; /**< Counted from 1. */
    size_t parts { 0 };
    IncarnationId owner; /**< Of the records; empty in the one part of a holder that holds nothing. */
    std::vector<LogRecord> records;
};

struct CopyHolderState {
    IncarnationId self;
    std::map<IncarnationId, HeldCopies> owners;
    std::map<IncarnationId, std::map<size_t, CopiesPart>> adopted; /**< By the holder that left, then by number. */
    size_t bytes { 0 };
    bool leaving { false }; /**< Nothing is taken any more. */
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

/** This host leaves, and what it holds may be nowhere else: everything is sealed and offered to hosts that stay. */
struct HandOverDue { };
/** A holder that leaves offers a part of what it holds. Repeated until it is taken. */
struct PartOffered {
    CopiesPart part;
};
/** A host that does not get the seal from the declared holder looks for what that one handed over. */
struct AdoptedRequested {
    IncarnationId owner;
    IncarnationId holder;
};

using CopyHolderEvent = std::variant<CopiesArrived, SealRequested, SealedCopyStored, HandOverDue, PartOffered, AdoptedRequested>;

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

/** Hand the part over to a host that stays. */
struct OfferPart {
    CopiesPart part;
};
struct AnswerOffer {
    bool taken { false };
};
/** Answer to AdoptedRequested: all that the holder held of the owner; without a value when this host does not have all parts. */
struct ReturnAdopted {
    std::optional<std::vector<LogRecord>> records;
};

using CopyHolderAction = std::variant<AcknowledgeCopies, RefuseCopies, ReturnSealedCopies, AddresseeGone, OfferPart, AnswerOffer, ReturnAdopted>;

/**
 * Advances the holder by one event. Arrivals and seals may be repeated and reordered.
 *
 * Thread safety: the caller serialises calls for one state.
 */
void step(CopyHolderState& state, const CopyHolderOptions& options, const CopyHolderEvent& event, std::vector<CopyHolderAction>& actions);

} // namespace siskinspread
