#include "siskinspread/IncarnationLogClosing.h"

#include <algorithm>

namespace siskinspread {

namespace {

    class Closer {
    public:
        Closer(LogClosingState& state, const LogClosingOptions& options, MonotonicTime now, WallTime wall, std::vector<LogClosingAction>& actions)
            : m_state(state)
            , m_options(options)
            , m_now(now)
            , m_wall(wall)
            , m_actions(actions)
        {
        }

        void on(const StartClosing& /*event*/) { call(ClosingPhase::ReadingBatch); }

        void on(const BatchFound& event)
        {
            if (m_state.phase != ClosingPhase::ReadingBatch || event.number != m_state.number) {
                return;
            }
            if (!event.batch) {
                reachedEnd();
                return;
            }
            take(*event.batch);
            if (!m_state.history.closed) {
                ++m_state.number;
                call(ClosingPhase::ReadingBatch);
            } else if (m_state.history.copyHolder) {
                call(ClosingPhase::ReadingSealed);
            } else {
                finish();
            }
        }

        void on(const SealedCopyFound& event)
        {
            if (m_state.phase != ClosingPhase::ReadingSealed) {
                return;
            }
            if (event.copy) {
                m_state.history.complete = event.copy->complete;
                append(event.copy->records);
                finish();
            } else if (m_state.purpose == ClosingPurpose::ReadOnly) {
                m_state.history.copiesPending = true;
                finish();
            } else {
                call(ClosingPhase::Sealing);
            }
        }

        void on(const CreateEnded& /*event*/)
        {
            if (m_state.phase == ClosingPhase::CreatingClosing) {
                call(ClosingPhase::ReadingBatch);
            } else if (m_state.phase == ClosingPhase::StoringSealed) {
                call(ClosingPhase::ReadingSealed);
            }
        }

        void on(const CallFailed& /*event*/)
        {
            m_state.waiting = false;
            m_state.retryAt = m_now + m_options.retryInterval;
        }

        void on(const CopiesSealed& event) { storeSealed(true, event.records); }

        void on(const CopyHolderGone& /*event*/) { storeSealed(false, {}); }

        void on(const LogTick& /*event*/)
        {
            if (!m_state.waiting && m_state.phase != ClosingPhase::Done && m_now >= m_state.retryAt) {
                call(m_state.phase);
            }
        }

    private:
        /** Enters the phase and makes its call. */
        void call(ClosingPhase phase)
        {
            m_state.phase = phase;
            m_state.waiting = true;
            switch (phase) {
            case ClosingPhase::ReadingBatch:
                m_actions.emplace_back(ReadBatch { .incarnation = m_state.history.incarnation, .number = m_state.number });
                break;
            case ClosingPhase::ReadingSealed:
                m_actions.emplace_back(ReadSealedCopy { .incarnation = m_state.history.incarnation });
                break;
            case ClosingPhase::Sealing:
                m_actions.emplace_back(SealCopies { .holder = *m_state.history.copyHolder, .incarnation = m_state.history.incarnation });
                break;
            case ClosingPhase::CreatingClosing:
            case ClosingPhase::StoringSealed:
                // After a create what is there is read, whatever the answer was.
                call(phase == ClosingPhase::CreatingClosing ? ClosingPhase::ReadingBatch : ClosingPhase::ReadingSealed);
                break;
            case ClosingPhase::Done:
                break;
            }
        }

        void reachedEnd()
        {
            if (m_state.purpose == ClosingPurpose::ReadOnly) {
                finish();
                return;
            }
            const ClosingEntry closing { .by = m_state.self, .reason = ClosingReason::TakenOver, .closedAt = m_wall };
            m_state.phase = ClosingPhase::CreatingClosing;
            m_state.waiting = true;
            m_actions.emplace_back(CreateBatch { .batch = {
                                                     .incarnation = m_state.history.incarnation,
                                                     .number = m_state.number,
                                                     .writer = m_state.self,
                                                     .records = { { .position = 0, .entry = closing } },
                                                 } });
        }

        void storeSealed(bool complete, const std::vector<LogRecord>& records)
        {
            if (m_state.phase != ClosingPhase::Sealing) {
                return;
            }
            m_state.phase = ClosingPhase::StoringSealed;
            m_state.waiting = true;
            m_actions.emplace_back(CreateSealedCopy { .copy = { .incarnation = m_state.history.incarnation, .complete = complete, .records = records } });
        }

        void take(const LogBatch& batch)
        {
            append(batch.records);
            if (const ClosingEntry* closing = closingEntry(batch)) {
                m_state.history.closed = true;
                m_state.history.closedAt = closing->closedAt;
                if (closing->by == batch.incarnation) {
                    m_state.history.copyHolder.reset(); // the owner closed after its last entry, so copies hold nothing more
                }
            }
        }

        void append(const std::vector<LogRecord>& records)
        {
            for (const LogRecord& record : records) {
                if (std::holds_alternative<ClosingEntry>(record.entry)) {
                    continue;
                }
                if (const auto* declaration = std::get_if<CopyHolderEntry>(&record.entry)) {
                    m_state.history.copyHolder = declaration->holder;
                }
                m_state.history.records.push_back(record);
            }
        }

        /** An entry may stand in the log and among the copies. */
        void finish()
        {
            auto& records = m_state.history.records;
            std::stable_sort(records.begin(), records.end(), [](const LogRecord& a, const LogRecord& b) { return a.position < b.position; });
            const auto isSamePosition = [](const LogRecord& a, const LogRecord& b) { return a.position == b.position; };
            records.erase(std::unique(records.begin(), records.end(), isSamePosition), records.end());
            m_state.phase = ClosingPhase::Done;
            m_state.waiting = false;
            m_actions.emplace_back(HistoryRead {});
        }

        LogClosingState& m_state;
        const LogClosingOptions& m_options;
        MonotonicTime m_now;
        WallTime m_wall;
        std::vector<LogClosingAction>& m_actions;
    };

} // namespace

void step(LogClosingState& state, const LogClosingOptions& options, const LogClosingEvent& event, MonotonicTime now, WallTime wall,
    std::vector<LogClosingAction>& actions)
{
    Closer closer(state, options, now, wall, actions);
    std::visit([&](const auto& value) { closer.on(value); }, event);
}

} // namespace siskinspread
