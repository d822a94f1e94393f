#include "SoakLedger.h"

namespace siskinspread::soak {

namespace {

    constexpr int okStatus = 200;
    constexpr int rateStatus = 429;
    constexpr int refusedStatus = 503;

    std::string eventText(uint64_t id, const std::string& attempt)
    {
        return "id: " + std::to_string(id) + "\ndata: " + attempt + "\n\n";
    }

    void checkStream(const Attempt& attempt, const SoakBounds& bounds, std::vector<std::string>& problems)
    {
        std::string whole;
        for (uint64_t id = 1; id <= bounds.eventsOfStream; ++id) {
            whole += eventText(id, attempt.id);
        }
        if (attempt.complete ? attempt.body != whole : !whole.starts_with(attempt.body)) {
            problems.push_back(attempt.id + ": events missing, doubled or changed: " + attempt.body);
        }
    }

    void checkAttempt(const Attempt& attempt, const SoakBounds& bounds, std::vector<std::string>& problems)
    {
        if (attempt.kind == RequestKind::Once && attempt.runs > 1) {
            problems.push_back(attempt.id + ": ran " + std::to_string(attempt.runs) + " times");
        }
        if (!attempt.status) {
            return;
        }
        const bool refused = *attempt.status == refusedStatus || *attempt.status == rateStatus;
        if (refused && attempt.runs > 0 && !attempt.sealed) {
            problems.push_back(attempt.id + ": refused as not run with status " + std::to_string(*attempt.status) + ", but ran at " + attempt.host);
        }
        if (*attempt.status != okStatus) {
            return;
        }
        if (!attempt.sealed || attempt.runs == 0) {
            problems.push_back(attempt.id + ": answered without a run");
        }
        if (attempt.kind == RequestKind::Stream) {
            checkStream(attempt, bounds, problems);
        } else if (attempt.complete && attempt.body != "done " + attempt.id) {
            problems.push_back(attempt.id + ": the answer of another request: " + attempt.body);
        }
    }

} // namespace

std::vector<std::string> problemsOf(const Ledger& ledger, const SoakBounds& bounds)
{
    auto problems = ledger.problems;
    for (const auto& [id, attempt] : ledger.attempts) {
        checkAttempt(attempt, bounds, problems);
        const auto revoked = ledger.revoked.find(attempt.key);
        if (revoked != ledger.revoked.end() && attempt.runs > 0 && attempt.sentAt > revoked->second + bounds.revocation) {
            problems.push_back(id + ": ran at " + attempt.host + " with a key that had ended " + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(attempt.sentAt - revoked->second).count()) + " ms before");
        }
    }
    return problems;
}

} // namespace siskinspread::soak
