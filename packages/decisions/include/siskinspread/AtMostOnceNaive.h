#pragma once

#include "siskinspread/AtMostOnce.h"

/**
 * @file Reference for differential tests: the owner of a key is chosen by hash of the live list, which keys were used
 * is checked in memory only, and an attempt without an answer counts as not run. Unsafe under partition, pause and
 * restart; not for production use.
 */

namespace siskinspread {

struct NaiveAtMostOnceState {
    std::map<IdempotencyKey, std::optional<AttemptAnswered>> keys; /**< Without a value: in progress. */
    std::map<RequestId, IdempotencyKey> requests;
};

/** @return the owner by rendezvous hash. Precondition: `live` is not empty. Thread safety: reentrant. */
IncarnationId naiveOwner(const IdempotencyKey& key, const std::vector<IncarnationId>& live);

/** Takes RequestArrived and the three attempt events; ignores all others. Thread safety: as for the other step functions. */
void step(NaiveAtMostOnceState& state, const AtMostOnceOptions& options, const AtMostOnceEvent& event, std::vector<AtMostOnceAction>& actions);

} // namespace siskinspread
