#include "AtMostOnceHistory.h"

namespace siskinspread {

namespace {

    void dropOldestResponses(AtMostOnceState& state, const AtMostOnceOptions& options)
    {
        while (state.keptResponseBytes > options.maxKeptResponseBytes && !state.keptResponses.empty()) {
            const auto found = state.keys.find(state.keptResponses.front());
            state.keptResponses.pop_front();
            if (found == state.keys.end() || !found->second.outcome.responseKept) {
                continue;
            }
            OutcomeEntry& outcome = found->second.outcome;
            state.keptResponseBytes -= outcome.response.size();
            outcome.response.clear();
            outcome.response.shrink_to_fit();
            outcome.responseKept = false;
        }
    }

    KeyRecord inheritedRecord(const IntentEntry& intent)
    {
        return KeyRecord {
            .phase = KeyPhase::Unknown,
            .request = intent.request,
            .digest = intent.digest,
            .slice = intent.slice,
            .service = intent.service,
            .entryHost = intent.entryHost,
            .candidates = {},
            .acceptedAt = intent.recordedAt,
            .backendServers = {},
            .answered = true,
            .outcome = interruptedOutcome(intent),
        };
    }

    /** Applies an outcome to the key that its request holds. */
    void applyOutcome(std::map<IdempotencyKey, KeyRecord>& keys, const OutcomeEntry& outcome)
    {
        const auto found = keys.find(outcome.key);
        if (found == keys.end() || found->second.request != outcome.account.request) {
            return;
        }
        if (outcome.account.runState == RunState::NotRun) {
            keys.erase(found);
            return;
        }
        found->second.phase = outcome.account.runState == RunState::Ran ? KeyPhase::Finished : KeyPhase::Unknown;
        found->second.attempts = outcome.account.attempts;
        found->second.backendServers = outcome.account.backendServers;
        found->second.outcome = outcome;
    }

} // namespace

OutcomeEntry interruptedOutcome(const IntentEntry& intent)
{
    return OutcomeEntry {
        .account = {
            .request = intent.request,
            .customer = intent.key.customer,
            .service = intent.service,
            .result = ResultCode::Interrupted,
            .runState = RunState::MayHaveRun,
            .attemptsKnown = false,
            .backendServers = {},
            .candidates = intent.candidates,
            .acceptedAt = intent.recordedAt,
            .finishedAt = intent.recordedAt,
            .entryHost = intent.entryHost,
        },
        .key = intent.key,
        .httpStatus = resultInfo(ResultCode::OutcomeUnknown).httpStatus,
        .response = {},
        .responseKept = true,
    };
}

void rememberKey(AtMostOnceState& state, const AtMostOnceOptions& options, const IdempotencyKey& key, KeyRecord& record)
{
    state.remembered.emplace(record.outcome.account.finishedAt + options.slices.retention, key);
    if (record.outcome.responseKept && !record.outcome.response.empty()) {
        state.keptResponseBytes += record.outcome.response.size();
        state.keptResponses.push_back(key);
        dropOldestResponses(state, options);
    }
}

void inheritKeys(AtMostOnceState& state, const AtMostOnceOptions& options, uint32_t slice, const LogHistory& history)
{
    std::map<IdempotencyKey, KeyRecord> keys;
    for (const LogRecord& record : history.records) {
        if (const auto* intent = std::get_if<IntentEntry>(&record.entry)) {
            if (intent->slice == slice) {
                keys.insert_or_assign(intent->key, inheritedRecord(*intent));
            }
        } else if (const auto* outcome = std::get_if<OutcomeEntry>(&record.entry)) {
            applyOutcome(keys, *outcome);
        }
    }
    for (auto& [key, record] : keys) {
        // No owner dispatches a key that an earlier one left used, so the first record of a key stands.
        const auto [position, added] = state.keys.emplace(key, std::move(record));
        if (added) {
            rememberKey(state, options, key, position->second);
        }
    }
}

void forgetKeys(AtMostOnceState& state, WallTime now)
{
    while (!state.remembered.empty() && state.remembered.begin()->first <= now) {
        const auto found = state.keys.find(state.remembered.begin()->second);
        if (found != state.keys.end()) {
            if (found->second.outcome.responseKept) {
                state.keptResponseBytes -= found->second.outcome.response.size();
            }
            state.keys.erase(found);
        }
        state.remembered.erase(state.remembered.begin());
    }
}

} // namespace siskinspread
