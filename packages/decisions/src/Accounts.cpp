#include "siskinspread/Accounts.h"

#include "AtMostOnceHistory.h"

namespace siskinspread {

namespace {

    constexpr const char* askByKey = "This try was not dispatched; look up the idempotency key for the other tries.";
    constexpr const char* askLater = "The host that serves the request cannot be reached; ask again later.";
    constexpr const char* askCaller = "No record is left; a request of this kind may have been dispatched before its host ended.";

    /** What to ask about a request that may have run. */
    std::string askBackendServers(const AccountEntry& account)
    {
        // Every attempt before the last one provably did not run.
        const std::vector<std::string> asked = account.attemptsKnown && !account.backendServers.empty() ? std::vector { account.backendServers.back() } : account.candidates;
        std::string text = "Ask " + (asked.empty() ? "the backend server" : asked.front()) + " for its record of the idempotency key";
        for (size_t index = 1; index < asked.size(); ++index) {
            text += (index == 1 ? "; if it has none, " : ", then ") + asked[index];
        }
        return text + ".";
    }

    /** What one log says of one request. */
    struct Trace {
        const IntentEntry* intent { nullptr };
        const AccountEntry* account { nullptr };
        const IdempotencyKey* key { nullptr };
    };

    Trace traceOf(const LogHistory& history, const RequestId& request)
    {
        Trace trace;
        for (const LogRecord& record : history.records) {
            if (const auto* intent = std::get_if<IntentEntry>(&record.entry); intent && intent->request == request) {
                trace.intent = intent;
                trace.key = &intent->key;
            } else if (const auto* outcome = std::get_if<OutcomeEntry>(&record.entry); outcome && outcome->account.request == request) {
                trace.account = &outcome->account;
                trace.key = &outcome->key;
                return trace;
            } else if (const auto* account = std::get_if<AccountEntry>(&record.entry); account && account->request == request) {
                trace.account = account;
                return trace;
            }
        }
        return trace;
    }

    AccountAnswer answerOf(const Trace& trace, const LogHistory& history, const RequestId& request)
    {
        AccountAnswer answer { .standing = AccountStanding::Final, .request = request, .account = {}, .key = {}, .recordedBy = history.incarnation.text, .advice = {} };
        if (trace.key) {
            answer.key = *trace.key;
        }
        answer.account = trace.account ? *trace.account : interruptedOutcome(*trace.intent).account;
        if (answer.account.runState == RunState::MayHaveRun) {
            answer.advice = askBackendServers(answer.account);
        }
        return answer;
    }

    /** No entry at all. */
    AccountAnswer answerWithoutEntry(const LogHistory& history, const RequestId& request)
    {
        const bool notRun = history.complete && needsIntent(request);
        AccountAnswer answer { .standing = AccountStanding::Final, .request = request, .account = {}, .key = {}, .recordedBy = history.incarnation.text, .advice = {} };
        answer.account.request = request;
        answer.account.result = ResultCode::Interrupted;
        answer.account.runState = notRun ? RunState::NotRun : RunState::MayHaveRun;
        answer.account.attemptsKnown = notRun;
        answer.advice = notRun ? askByKey : askCaller;
        return answer;
    }

    /** The newest request that held the key. */
    const IntentEntry* lastIntent(const LogHistory& history, const IdempotencyKey& key)
    {
        const IntentEntry* found = nullptr;
        for (const LogRecord& record : history.records) {
            const auto* intent = std::get_if<IntentEntry>(&record.entry);
            if (intent && intent->key == key) {
                found = intent;
            }
        }
        return found;
    }

    bool mayStillGrow(const LogHistory& history)
    {
        return !history.closed || history.copiesPending;
    }

} // namespace

bool needsIntent(const RequestId& request)
{
    return request.sequence % 2 == 1;
}

uint64_t nextSequence(uint64_t last, bool needsIntent)
{
    const uint64_t next = last + 1;
    return next + ((next % 2 == 1) == needsIntent ? 0 : 1);
}

AccountAnswer accountFromHistory(const LogHistory& history, const AccountQuery& query)
{
    RequestId request = query.request;
    if (!request.sequence) {
        const IntentEntry* intent = query.key ? lastIntent(history, *query.key) : nullptr;
        if (!intent) {
            return { .standing = AccountStanding::NotFound, .request = {}, .account = {}, .key = query.key, .recordedBy = {}, .advice = {} };
        }
        request = intent->request;
    }
    const Trace trace = traceOf(history, request);
    AccountAnswer answer = trace.account || trace.intent ? answerOf(trace, history, request) : answerWithoutEntry(history, request);
    if (!trace.account && mayStillGrow(history)) {
        answer.standing = AccountStanding::Provisional;
        answer.account.result = ResultCode::OutcomeUnknown;
        answer.account.runState = RunState::MayHaveRun;
        answer.advice = askLater;
    }
    return answer;
}

AccountAnswer accountFromOwner(const AtMostOnceState& state, const AccountQuery& query)
{
    AccountAnswer answer { .standing = AccountStanding::NotFound, .request = query.request, .account = {}, .key = query.key, .recordedBy = state.self.text, .advice = {} };
    if (query.request.sequence) {
        const auto open = state.requests.find(query.request);
        if (open == state.requests.end()) {
            return answer;
        }
        answer.key = open->second;
    }
    const auto found = answer.key ? state.keys.find(*answer.key) : state.keys.end();
    if (found == state.keys.end()) {
        return answer;
    }
    const KeyRecord& record = found->second;
    const bool settled = record.phase == KeyPhase::Finished || record.phase == KeyPhase::Unknown;
    answer.request = record.request;
    answer.standing = settled ? AccountStanding::Final : AccountStanding::InProgress;
    answer.account = record.outcome.account;
    if (!settled) {
        answer.account = { .request = record.request, .customer = answer.key->customer, .service = record.service, .result = ResultCode::KeyInProgress, .runState = RunState::MayHaveRun, .attempts = record.attempts, .backendServers = record.backendServers, .candidates = record.candidates, .acceptedAt = record.acceptedAt, .finishedAt = {}, .entryHost = record.entryHost };
    }
    if (settled && answer.account.runState == RunState::MayHaveRun) {
        answer.advice = askBackendServers(answer.account);
    }
    return answer;
}

} // namespace siskinspread
