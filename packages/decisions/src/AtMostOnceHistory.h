#pragma once

#include "siskinspread/AtMostOnce.h"

/** @file Internal: what a slice inherits, and how long keys are remembered. */

namespace siskinspread {

/** @return the outcome of a request whose intent is on record and whose outcome never will be. */
OutcomeEntry interruptedOutcome(const IntentEntry& intent);

/** Remembers a key whose outcome is settled until the retention has passed, and bounds the responses that are held. */
void rememberKey(AtMostOnceState& state, const AtMostOnceOptions& options, const IdempotencyKey& key, KeyRecord& record);

/** Adds the keys of the slice from the history of one earlier owner; call in the order of the owners. */
void inheritKeys(AtMostOnceState& state, const AtMostOnceOptions& options, uint32_t slice, const LogHistory& history);

/** Forgets the keys whose retention has passed. */
void forgetKeys(AtMostOnceState& state, WallTime now);

} // namespace siskinspread
