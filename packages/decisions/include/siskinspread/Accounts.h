#pragma once

#include "siskinspread/AtMostOnce.h"

/** @file What became of a request: read from the log of the incarnation that decided it. See docs/design/accounts.md. */

namespace siskinspread {

enum class AccountStanding : uint8_t {
    Final, /**< On record; every later lookup gives the same. */
    InProgress, /**< The request is open. */
    Provisional, /**< What is known so far; the record may still be added, and never says the opposite. */
    NotFound, /**< No such request. */
};

/** The account of one request, for support engineers. */
struct AccountAnswer {
    AccountStanding standing { AccountStanding::NotFound };
    RequestId request;
    AccountEntry account; /**< Result, run state, times, hosts and backend servers as far as known. */
    std::optional<IdempotencyKey> key; /**< What to ask the backend server for when the run state is unknown. */
    std::string recordedBy; /**< Incarnation whose log holds the account, or that was asked. */
    std::string advice; /**< What to do next when nothing better can be known; empty otherwise. */
    bool operator==(const AccountAnswer&) const = default;
};

/** Which account is looked for: by request id, or by key when the sequence number is zero. */
struct AccountQuery {
    RequestId request;
    std::optional<IdempotencyKey> key; /**< Only with sequence number zero. */
};

/**
 * Request ids tell by themselves whether the request needed an intent: odd sequence numbers are given to
 * non-repeatable requests, even ones to all others. So "not run" can be proved for an id that left no entry.
 *
 * @return whether the request was dispatched only after an intent was on record. Thread safety: reentrant.
 */
bool needsIntent(const RequestId& request);

/** @return the lowest sequence number above `last` for a request of this kind. Thread safety: reentrant. */
uint64_t nextSequence(uint64_t last, bool needsIntent);

/** @return the account of a request from the history of its incarnation. Thread safety: reentrant. */
AccountAnswer accountFromHistory(const LogHistory& history, const AccountQuery& query);

/** @return what the owner itself knows of a request that holds a key; NotFound for any other. Thread safety: reads only. */
AccountAnswer accountFromOwner(const AtMostOnceState& state, const AccountQuery& query);

struct AccountLookupOptions {
    LogClosingOptions reading;
    size_t maxHandovers { 8 };
};

enum class LookupPhase : uint8_t {
    Asking,
    Reading,
    Done,
};

/** One lookup; default-constructed but for `self`. */
struct AccountLookupState {
    IncarnationId self;
    AccountQuery query;
    std::vector<IncarnationId> candidates; /**< By key: owner and previous owners, newest first. */
    size_t candidate { 0 };
    size_t handovers { 0 };
    LookupPhase phase { LookupPhase::Asking };
    LogClosingState reading;
    AccountAnswer best; /**< By key: the best answer of the candidates so far. */
};

struct StartLookup {
    AccountQuery query;
    std::vector<IncarnationId> candidates; /**< Ignored with a request id, which names its incarnation. */
};
/** The incarnation answered; NotFound sends the lookup on to its log. */
struct IncarnationAnswered {
    IncarnationId incarnation;
    AccountAnswer answer;
};
/** The incarnation could not be asked, or has ended. */
struct IncarnationSilent {
    IncarnationId incarnation;
};
/** An answer to one of the reads. */
struct LookupRead {
    LogClosingEvent event;
};

using AccountLookupEvent = std::variant<StartLookup, IncarnationAnswered, IncarnationSilent, LookupRead>;

struct AskIncarnation {
    IncarnationId incarnation;
    AccountQuery query;
};
struct LookupDone {
    AccountAnswer answer;
};

using AccountLookupAction = std::variant<AskIncarnation, ReadBatch, ReadSealedCopy, LookupDone>;

/** Advances the lookup by one event. Thread safety: the caller serialises calls for one state. */
void step(AccountLookupState& state, const AccountLookupOptions& options, const AccountLookupEvent& event, ClockReading now, std::vector<AccountLookupAction>& actions);

} // namespace siskinspread
