#include "siskinspread/AtMostOnce.h"

#include "AtMostOnceAdmission.h"
#include "AtMostOnceHistory.h"
#include "AtMostOnceRecords.h"

#include <algorithm>

namespace siskinspread {

namespace {

    class Owner {
    public:
        Owner(AtMostOnceState& state, const AtMostOnceOptions& options, ClockReading now, std::vector<AtMostOnceAction>& actions)
            : m_state(state)
            , m_options(options)
            , m_now(now)
            , m_actions(actions)
        {
        }

        void on(const RequestArrived& event)
        {
            const auto known = m_state.keys.find(event.key);
            if (m_state.logEnded) {
                refuse(event, ResultCode::LogClosed);
            } else if (known != m_state.keys.end() && m_state.slices.contains(known->second.slice)) {
                repeat(event, known->second);
            } else if (const auto reason = reasonToRefuse(m_state, m_options, event, m_now)) {
                refuse(event, *reason);
            } else {
                accept(event);
            }
        }

        void on(const IntentDurable& event)
        {
            KeyRecord* record = find(event.request);
            if (!record || record->phase != KeyPhase::RecordingIntent) {
                return;
            }
            if (m_now.monotonic >= record->deadline) {
                abandon(*record, ResultCode::DeadlineExpired);
                return;
            }
            record->phase = KeyPhase::Dispatched;
            dispatch(*record);
        }

        void on(const IntentRefused& event)
        {
            KeyRecord* record = find(event.request);
            if (!record || (record->phase != KeyPhase::RecordingIntent && record->phase != KeyPhase::Abandoned)) {
                return;
            }
            const AccountEntry account = accountOf(m_state, m_now.wall, *record, event.reason, RunState::NotRun);
            answer(*record, account, resultInfo(event.reason).httpStatus, {}, true);
            if (!m_state.logEnded) {
                m_actions.emplace_back(RecordAccount { .entry = account });
            }
            release(event.request);
        }

        void on(const AttemptNotRun& event)
        {
            KeyRecord* record = findAttempt(event.request, event.attempt);
            if (!record) {
                return;
            }
            if (event.backendServer.empty()) {
                --record->attempts; // no candidate was usable
            } else {
                record->backendServers.push_back(event.backendServer);
            }
            const bool again = event.retryAllowed && !m_state.logEnded && m_now.monotonic < record->deadline;
            if (again) {
                dispatch(*record);
            } else {
                finish(*record, accountOf(m_state, m_now.wall, *record, event.reason, RunState::NotRun), resultInfo(event.reason).httpStatus, {});
            }
        }

        void on(const AttemptAnswered& event)
        {
            if (KeyRecord* record = findAttempt(event.request, event.attempt)) {
                record->backendServers.push_back(event.backendServer);
                finish(*record, accountOf(m_state, m_now.wall, *record, event.result, RunState::Ran), event.httpStatus, event.response);
            }
        }

        void on(const AttemptUnknown& event)
        {
            if (KeyRecord* record = findAttempt(event.request, event.attempt)) {
                record->backendServers.push_back(event.backendServer);
                const ResultCode code = ResultCode::OutcomeUnknown;
                finish(*record, accountOf(m_state, m_now.wall, *record, code, RunState::MayHaveRun), resultInfo(code).httpStatus, {});
            }
        }

        void on(const OutcomeDurable& event)
        {
            KeyRecord* record = findRecorded(event.request);
            if (!record) {
                return;
            }
            answerFromOutcome(*record);
            if (record->outcome.account.runState == RunState::NotRun) {
                release(event.request);
                return;
            }
            record->candidates = {};
            record->phase = record->outcome.account.runState == RunState::Ran ? KeyPhase::Finished : KeyPhase::Unknown;
            if (!record->outcome.responseKept) {
                record->outcome.response.clear();
            }
            const auto request = m_state.requests.find(event.request);
            rememberKey(m_state, m_options, request->second, *record);
            m_state.requests.erase(request);
        }

        void on(const OutcomeRefused& event)
        {
            KeyRecord* record = findRecorded(event.request);
            if (!record) {
                return;
            }
            // The record now says for good that the request may have run, so nothing else is said here.
            answer(*record, accountOf(m_state, m_now.wall, *record, ResultCode::OutcomeUnknown, RunState::MayHaveRun),
                resultInfo(ResultCode::OutcomeUnknown).httpStatus, {}, true);
            release(event.request);
        }

        void on(const SliceTaken& event)
        {
            OwnedSlice slice { .generation = event.assignment.generation };
            for (const LogHistory& history : event.histories) {
                inheritKeys(m_state, m_options, event.slice, history);
                if (!history.complete) {
                    noteIncomplete(slice, event.assignment, history, m_options);
                }
            }
            m_state.slices[event.slice] = slice;
        }

        void on(const SliceReleased& event) { m_state.slices.erase(event.slice); }

        void on(const OwnLogEnded& /*event*/) { m_state.logEnded = true; }

        void on(const AtMostOnceTick& /*event*/)
        {
            while (!m_state.deadlines.empty() && m_state.deadlines.begin()->first <= m_now.monotonic) {
                const RequestId request = m_state.deadlines.begin()->second;
                m_state.deadlines.erase(m_state.deadlines.begin());
                KeyRecord* record = find(request);
                if (record && record->phase != KeyPhase::RecordingIntent && m_now.monotonic < record->deadline) {
                    m_state.deadlines.emplace(record->deadline, request); // only the wait for the intent was over
                } else if (record) {
                    expire(*record);
                }
            }
            forgetKeys(m_state, m_now.wall);
        }

    private:
        KeyRecord* find(const RequestId& request)
        {
            const auto found = m_state.requests.find(request);
            return found == m_state.requests.end() ? nullptr : &m_state.keys.at(found->second);
        }

        /** The record whose current attempt this is; events about earlier attempts find nothing. */
        KeyRecord* findAttempt(const RequestId& request, uint32_t attempt)
        {
            KeyRecord* record = find(request);
            return record && record->phase == KeyPhase::Dispatched && record->attempts == attempt ? record : nullptr;
        }

        KeyRecord* findRecorded(const RequestId& request)
        {
            KeyRecord* record = find(request);
            return record && (record->phase == KeyPhase::RecordingOutcome || record->phase == KeyPhase::Abandoned) ? record : nullptr;
        }

        void accept(const RequestArrived& event)
        {
            const uint32_t slice = sliceOf(event.key, m_options.slices);
            m_state.keys.insert_or_assign(event.key, KeyRecord {
                                                         .phase = KeyPhase::RecordingIntent,
                                                         .request = event.request,
                                                         .digest = event.digest,
                                                         .slice = slice,
                                                         .service = event.service,
                                                         .entryHost = event.entryHost,
                                                         .candidates = event.candidates,
                                                         .acceptedAt = m_now.wall,
                                                         .deadline = event.deadline,
                                                         .backendServers = {},
                                                         .outcome = {},
                                                     });
            m_state.requests.emplace(event.request, event.key);
            m_state.deadlines.emplace(std::min(event.deadline, m_now.monotonic + m_options.longestIntentWait), event.request);
            m_actions.emplace_back(RecordIntent { .entry = {
                                                      .request = event.request,
                                                      .key = event.key,
                                                      .digest = event.digest,
                                                      .slice = slice,
                                                      .service = event.service,
                                                      .entryHost = event.entryHost,
                                                      .candidates = event.candidates,
                                                      .recordedAt = m_now.wall,
                                                  } });
        }

        /** Another request with a key that is known. */
        void repeat(const RequestArrived& event, const KeyRecord& record)
        {
            if (record.digest != event.digest) {
                refuse(event, ResultCode::IdempotencyKeyReused);
            } else if (record.phase == KeyPhase::Finished) {
                replay(event, record);
            } else {
                const ResultCode code = record.phase == KeyPhase::Unknown ? ResultCode::OutcomeUnknown : ResultCode::KeyInProgress;
                AnswerRequest answer = answerWithoutEntry(m_options, event, formatRepeatId(record.request, event.refusalId), code);
                answer.repeatOf = record.request;
                m_actions.emplace_back(std::move(answer));
            }
        }

        void replay(const RequestArrived& event, const KeyRecord& record)
        {
            const OutcomeEntry& outcome = record.outcome;
            AnswerRequest answer = answerWithoutEntry(m_options, event, formatRepeatId(record.request, event.refusalId), outcome.account.result);
            answer.runState = RunState::Ran;
            answer.httpStatus = outcome.httpStatus;
            answer.response = outcome.response;
            answer.responseKept = outcome.responseKept;
            answer.repeatOf = record.request;
            m_actions.emplace_back(std::move(answer));
        }

        /** A refusal before acceptance. "Not run" holds whether or not its account reaches the log. */
        void refuse(const RequestArrived& event, ResultCode code)
        {
            if (code == ResultCode::SliceHistoryIncomplete) {
                m_actions.emplace_back(answerWithoutEntry(m_options, event, event.refusalId, code));
                return;
            }
            KeyRecord refused = recordOf(event, m_now.wall);
            const AccountEntry account = accountOf(m_state, m_now.wall, refused, code, RunState::NotRun);
            answer(refused, account, resultInfo(code).httpStatus, {}, true);
            if (!m_state.logEnded) {
                m_actions.emplace_back(RecordAccount { .entry = account });
            }
        }

        void dispatch(KeyRecord& record)
        {
            ++record.attempts;
            m_actions.emplace_back(DispatchRequest { .request = record.request, .attempt = record.attempts, .candidates = record.candidates, .deadline = record.deadline });
        }

        void abandon(KeyRecord& record, ResultCode code)
        {
            finish(record, accountOf(m_state, m_now.wall, record, code, RunState::NotRun), resultInfo(code).httpStatus, {});
            record.phase = KeyPhase::Abandoned;
            answerFromOutcome(record);
        }

        /** The deadline passed: the caller gets its final answer now. */
        void expire(KeyRecord& record)
        {
            if (record.phase == KeyPhase::RecordingIntent) {
                abandon(record, ResultCode::IntentNotRecorded);
            } else if (record.phase == KeyPhase::RecordingOutcome && record.outcome.account.runState == RunState::NotRun) {
                answerFromOutcome(record);
            } else {
                const ResultCode code = ResultCode::KeyInProgress;
                answer(record, accountOf(m_state, m_now.wall, record, code, RunState::MayHaveRun), resultInfo(code).httpStatus, {}, true);
            }
        }

        void finish(KeyRecord& record, const AccountEntry& account, int httpStatus, const std::string& response)
        {
            const bool kept = response.size() <= m_options.maxResponseBytes;
            const IdempotencyKey key = m_state.requests.at(record.request);
            record.outcome = { .account = account, .key = key, .httpStatus = httpStatus, .response = response, .responseKept = kept };
            record.phase = KeyPhase::RecordingOutcome;
            OutcomeEntry entry = record.outcome;
            if (!kept) {
                entry.response.clear();
            }
            m_actions.emplace_back(RecordOutcome { .entry = std::move(entry) });
        }

        void answerFromOutcome(KeyRecord& record)
        {
            // The caller of the first request gets a response of any size; only later ones depend on what is kept.
            answer(record, record.outcome.account, record.outcome.httpStatus, record.outcome.response, true);
        }

        void answer(KeyRecord& record, const AccountEntry& account, int httpStatus, const std::string& response, bool responseKept)
        {
            if (record.answered) {
                return;
            }
            record.answered = true;
            m_actions.emplace_back(AnswerRequest {
                .request = record.request,
                .id = formatRequestId(record.request),
                .entryHost = record.entryHost,
                .result = account.result,
                .runState = account.runState,
                .httpStatus = httpStatus,
                .response = response,
                .responseKept = responseKept,
                .retryAfter = retryAfterOf(account.result, m_options),
                .repeatOf = std::nullopt,
            });
        }

        /** Frees the key: nothing was dispatched under it, or the outcome "not run" is on record, or the log ended. */
        void release(const RequestId& request)
        {
            const auto found = m_state.requests.find(request);
            m_state.keys.erase(found->second);
            m_state.requests.erase(found);
        }

        AtMostOnceState& m_state;
        const AtMostOnceOptions& m_options;
        ClockReading m_now;
        std::vector<AtMostOnceAction>& m_actions;
    };

} // namespace

void step(AtMostOnceState& state, const AtMostOnceOptions& options, const AtMostOnceEvent& event, ClockReading now, std::vector<AtMostOnceAction>& actions)
{
    Owner owner(state, options, now, actions);
    std::visit([&](const auto& value) { owner.on(value); }, event);
}

size_t openRequests(const AtMostOnceState& state, uint32_t slice)
{
    return static_cast<size_t>(std::count_if(state.requests.begin(), state.requests.end(),
        [&](const auto& request) { return state.keys.at(request.second).slice == slice; }));
}

} // namespace siskinspread
