#pragma once

#include "siskinspread/Admission.h"

#include <deque>

namespace siskinspread {

/** First come, first served, whoever the customer is. The reference of the tests; not for use. */
struct NaiveAdmissionState {
    uint32_t inFlight { 0 };
    std::deque<uint64_t> waiting;
};

/** Admits up to the pool's limit, queues up to the queue's, and refuses the rest. */
AdmissionDecision admitNaively(NaiveAdmissionState& state, const AdmissionOptions& options, const AdmissionRequest& request);

/** Records the end of a request and appends the next in order of arrival. */
void finishNaively(NaiveAdmissionState& state, AdmissionChanges& changes);

} // namespace siskinspread
