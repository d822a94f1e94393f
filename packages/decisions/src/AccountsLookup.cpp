#include "siskinspread/Accounts.h"

namespace siskinspread {

namespace {

    class Lookup {
    public:
        Lookup(AccountLookupState& state, const AccountLookupOptions& options, ClockReading now, std::vector<AccountLookupAction>& actions)
            : m_state(state)
            , m_options(options)
            , m_now(now)
            , m_actions(actions)
        {
        }

        void on(const StartLookup& event)
        {
            m_state.query = event.query;
            m_state.candidates = event.query.request.sequence ? std::vector { event.query.request.incarnation } : event.candidates;
            m_state.best = notFound();
            askNext();
        }

        void on(const IncarnationAnswered& event)
        {
            if (m_state.phase != LookupPhase::Asking || event.incarnation != current()) {
                return;
            }
            if (event.answer.standing == AccountStanding::NotFound) {
                read();
            } else {
                finish(event.answer);
            }
        }

        void on(const IncarnationSilent& event)
        {
            if (m_state.phase == LookupPhase::Asking && event.incarnation == current()) {
                read();
            }
        }

        void on(const LookupRead& event)
        {
            if (m_state.phase == LookupPhase::Reading) {
                advanceReading(event.event);
            }
        }

    private:
        const IncarnationId& current() const { return m_state.candidates[m_state.candidate]; }

        AccountAnswer notFound() const
        {
            return { .standing = AccountStanding::NotFound, .request = m_state.query.request, .account = {}, .key = m_state.query.key, .recordedBy = {}, .advice = {} };
        }

        void askNext()
        {
            if (m_state.candidate >= m_state.candidates.size()) {
                finish(m_state.best);
                return;
            }
            m_state.phase = LookupPhase::Asking;
            m_actions.emplace_back(AskIncarnation { .incarnation = current(), .query = m_state.query });
        }

        void read()
        {
            m_state.phase = LookupPhase::Reading;
            m_state.reading = LogClosingState { .self = m_state.self, .purpose = ClosingPurpose::ReadOnly, .history = {} };
            m_state.reading.history.incarnation = current();
            advanceReading(StartClosing {});
        }

        void advanceReading(const LogClosingEvent& event)
        {
            std::vector<LogClosingAction> actions;
            step(m_state.reading, m_options.reading, event, m_now.monotonic, m_now.wall, actions);
            for (const LogClosingAction& action : actions) {
                if (const auto* batch = std::get_if<ReadBatch>(&action)) {
                    m_actions.emplace_back(*batch);
                } else if (const auto* copy = std::get_if<ReadSealedCopy>(&action)) {
                    m_actions.emplace_back(*copy);
                } else if (std::holds_alternative<HistoryRead>(action)) {
                    judge();
                }
            }
        }

        /** The history of the current candidate is read. */
        void judge()
        {
            const LogHistory& history = m_state.reading.history;
            if (const HandedOverEntry* entry = handedOver(history)) {
                follow(entry->as);
                return;
            }
            const AccountAnswer answer = accountFromHistory(history, m_state.query);
            if (answer.standing != AccountStanding::NotFound) {
                finish(answer);
                return;
            }
            // Without a whole history "no request with this key" is not proved.
            const bool whole = history.closed && !history.copiesPending && history.complete;
            if (!whole) {
                m_state.best.standing = AccountStanding::Provisional;
                m_state.best.account.runState = RunState::MayHaveRun;
                m_state.best.account.result = ResultCode::SliceHistoryIncomplete;
            }
            ++m_state.candidate;
            askNext();
        }

        const HandedOverEntry* handedOver(const LogHistory& history) const
        {
            for (const LogRecord& record : history.records) {
                const auto* entry = std::get_if<HandedOverEntry>(&record.entry);
                if (entry && m_state.query.request.sequence && entry->request == m_state.query.request) {
                    return entry;
                }
            }
            return nullptr;
        }

        void follow(const RequestId& next)
        {
            if (++m_state.handovers > m_options.maxHandovers) {
                finish(m_state.best);
                return;
            }
            m_state.query.request = next;
            m_state.candidates = { next.incarnation };
            m_state.candidate = 0;
            askNext();
        }

        void finish(const AccountAnswer& answer)
        {
            m_state.phase = LookupPhase::Done;
            m_actions.emplace_back(LookupDone { .answer = answer });
        }

        AccountLookupState& m_state;
        const AccountLookupOptions& m_options;
        ClockReading m_now;
        std::vector<AccountLookupAction>& m_actions;
    };

} // namespace

void step(AccountLookupState& state, const AccountLookupOptions& options, const AccountLookupEvent& event, ClockReading now, std::vector<AccountLookupAction>& actions)
{
    Lookup lookup(state, options, now, actions);
    std::visit([&](const auto& value) { lookup.on(value); }, event);
}

} // namespace siskinspread
