#include "siskinspread/NaiveAdmission.h"

namespace siskinspread {

AdmissionDecision admitNaively(NaiveAdmissionState& state, const AdmissionOptions& options, const AdmissionRequest& request)
{
    if (state.inFlight < options.poolLimit) {
        ++state.inFlight;
        return { .outcome = AdmissionOutcome::Admitted };
    }
    if (state.waiting.size() < options.queueLimit) {
        state.waiting.push_back(request.sequence);
        return { .outcome = AdmissionOutcome::Waiting };
    }
    const AdmissionRefusal refusal { .sequence = request.sequence, .code = ResultCode::PoolFull, .retryAfter = options.shortestRetryAfter };
    return { .outcome = AdmissionOutcome::Refused, .refusal = refusal };
}

void finishNaively(NaiveAdmissionState& state, AdmissionChanges& changes)
{
    --state.inFlight;
    if (state.waiting.empty()) {
        return;
    }
    ++state.inFlight;
    changes.admitted.push_back(state.waiting.front());
    state.waiting.pop_front();
}

} // namespace siskinspread
