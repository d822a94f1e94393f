#include "siskinspread/IncarnationLog.h"

#include <algorithm>
#include <cmath>

namespace siskinspread {

namespace {

    class Writer {
    public:
        Writer(IncarnationLogState& state, const IncarnationLogOptions& options, MonotonicTime now, std::vector<IncarnationLogAction>& actions)
            : m_state(state)
            , m_options(options)
            , m_now(now)
            , m_actions(actions)
        {
        }

        void on(const AppendEntry& event)
        {
            if (m_state.closed || m_state.closing) {
                m_actions.emplace_back(EntryRefused { .token = event.token, .reason = m_state.closed ? ResultCode::LogClosed : ResultCode::Draining });
                return;
            }
            if (std::holds_alternative<IntentEntry>(event.entry) && !hasRoom(m_state, m_options)) {
                m_actions.emplace_back(EntryRefused { .token = event.token, .reason = ResultCode::RingFull });
                return;
            }
            enqueue(event.token, event.entry);
        }

        void on(const BatchCreated& event)
        {
            if (isInProgress(event.number)) {
                settle();
            }
        }

        void on(const BatchExists& event)
        {
            if (isInProgress(event.number) && m_state.phase == BatchPhase::Creating) {
                retry(BatchPhase::ReadDue, m_now);
            }
        }

        void on(const BatchUncertain& event)
        {
            if (isInProgress(event.number) && m_state.phase == BatchPhase::Creating) {
                retry(BatchPhase::ReadDue, m_now + m_options.retryInterval);
            }
        }

        void on(const BatchRead& event)
        {
            if (!isInProgress(event.number)) {
                return;
            }
            if (!event.writer) {
                if (m_state.phase == BatchPhase::Reading) {
                    retry(BatchPhase::CreateDue, m_now);
                }
                return;
            }
            if (*event.writer == writer()) {
                settle();
            } else {
                end(false);
            }
        }

        void on(const BatchReadFailed& event)
        {
            if (isInProgress(event.number) && m_state.phase == BatchPhase::Reading) {
                retry(BatchPhase::ReadDue, m_now + m_options.retryInterval);
            }
        }

        void on(const CopyHolderChosen& event)
        {
            const bool known = m_state.pendingHolder ? m_state.pendingHolder == event.holder : m_state.copyHolder == event.holder;
            if (known || m_state.closed || m_state.closing || event.holder == m_state.self) {
                return;
            }
            // Until the log names the new holder a closer would seal the old one, so neither receives copies.
            m_state.copyHolder.reset();
            m_state.pendingHolder = event.holder;
            enqueue(0, CopyHolderEntry { .holder = event.holder });
        }

        void on(const CopiesAcknowledged& event)
        {
            if (m_state.copyHolder != event.holder) {
                return;
            }
            m_state.copiedUpTo = std::max(m_state.copiedUpTo, event.upTo);
            for (WaitingEntry& entry : m_state.waiting) {
                if (entry.record.position > event.upTo) {
                    break;
                }
                if (isCopied(entry.record.entry)) {
                    complete(entry, true);
                }
            }
        }

        void on(const CopiesRefused& event)
        {
            if (m_state.copyHolder == event.holder) {
                m_state.copyHolder.reset();
                m_actions.emplace_back(CopyHolderNeeded {});
            }
        }

        void on(const CloseRequested& event)
        {
            if (m_state.closed || m_state.closing) {
                return;
            }
            enqueue(0, ClosingEntry { .by = m_state.self, .reason = ClosingReason::PlannedStop, .closedAt = event.at });
            m_state.closing = true;
        }

        void on(const LogTick& /*event*/) { }

        /** Starts whatever is due by now. */
        void advance()
        {
            if (m_state.closed) {
                return;
            }
            startBatch();
            repeatCall();
            sendCopies();
        }

    private:
        /** The incarnation alone does not tell this process from another one that drew the same. */
        IncarnationId writer() const
        {
            return m_state.startMark.empty() ? m_state.self : IncarnationId { m_state.self.text + "/" + m_state.startMark };
        }

        bool isInProgress(uint64_t number) const
        {
            return !m_state.closed && m_state.phase != BatchPhase::Idle && number == m_state.nextNumber;
        }

        void enqueue(uint64_t token, const LogEntry& entry)
        {
            const size_t bytes = encodedSize(entry);
            m_state.waiting.push_back(WaitingEntry {
                .record = { .position = m_state.nextPosition, .entry = entry }, .token = token, .bytes = bytes, .since = m_now });
            ++m_state.nextPosition;
            m_state.waitingBytes += bytes;
        }

        void retry(BatchPhase phase, MonotonicTime at)
        {
            m_state.phase = phase;
            m_state.retryAt = at;
        }

        void complete(WaitingEntry& entry, bool byCopy)
        {
            if (entry.durable) {
                return;
            }
            entry.durable = true;
            if (entry.token) {
                m_actions.emplace_back(EntryDurable { .token = entry.token, .byCopy = byCopy });
            }
        }

        MonotonicTime nextWrite() const
        {
            return m_state.lastWrite ? *m_state.lastWrite + m_options.urgentInterval : m_now;
        }

        bool isBatchDue() const
        {
            if (m_state.waiting.empty() || m_state.phase != BatchPhase::Idle || m_now < nextWrite()) {
                return false;
            }
            if (m_state.waitingBytes >= m_options.maxBatchBytes || m_now >= m_state.waiting.front().since + m_options.lazyInterval) {
                return true;
            }
            return std::any_of(m_state.waiting.begin(), m_state.waiting.end(), [](const WaitingEntry& entry) { return isUrgent(entry.record.entry); });
        }

        void startBatch()
        {
            if (!isBatchDue()) {
                return;
            }
            size_t bytes = 0;
            m_state.outstanding = 0;
            for (const WaitingEntry& entry : m_state.waiting) {
                bytes += entry.bytes;
                if (m_state.outstanding && bytes > m_options.maxBatchBytes) {
                    break;
                }
                ++m_state.outstanding;
            }
            m_state.batchStarted = m_now;
            create();
        }

        void create()
        {
            LogBatch batch { .incarnation = m_state.self, .number = m_state.nextNumber, .writer = writer(), .records = {} };
            batch.records.reserve(m_state.outstanding);
            for (size_t index = 0; index < m_state.outstanding; ++index) {
                batch.records.push_back(m_state.waiting[index].record);
            }
            m_state.phase = BatchPhase::Creating;
            m_state.lastWrite = m_now;
            m_actions.emplace_back(CreateBatch { .batch = std::move(batch) });
        }

        void repeatCall()
        {
            if (m_now < m_state.retryAt) {
                return;
            }
            if (m_state.phase == BatchPhase::ReadDue) {
                m_state.phase = BatchPhase::Reading;
                m_actions.emplace_back(ReadBatch { .incarnation = m_state.self, .number = m_state.nextNumber });
            } else if (m_state.phase == BatchPhase::CreateDue && m_now >= nextWrite()) {
                create();
            }
        }

        void settle()
        {
            for (; m_state.outstanding; --m_state.outstanding) {
                WaitingEntry entry = std::move(m_state.waiting.front());
                m_state.waiting.pop_front();
                m_state.waitingBytes -= entry.bytes;
                m_state.loggedUpTo = entry.record.position;
                complete(entry, false);
                noteLogged(entry.record.entry);
            }
            m_state.phase = BatchPhase::Idle;
            ++m_state.nextNumber;
        }

        void noteLogged(const LogEntry& entry)
        {
            const auto* declaration = std::get_if<CopyHolderEntry>(&entry);
            if (declaration && m_state.pendingHolder == declaration->holder) {
                m_state.copyHolder = m_state.pendingHolder;
                m_state.pendingHolder.reset();
            }
            if (std::holds_alternative<ClosingEntry>(entry)) {
                end(true);
            }
        }

        void end(bool planned)
        {
            for (const WaitingEntry& entry : m_state.waiting) {
                if (!entry.durable && entry.token) {
                    m_actions.emplace_back(EntryRefused { .token = entry.token, .reason = ResultCode::LogClosed });
                }
            }
            if (!planned) {
                m_state.waiting.clear();
                m_state.outstanding = 0;
                m_state.waitingBytes = 0;
            }
            m_state.closed = true;
            m_state.copyHolder.reset();
            m_state.pendingHolder.reset();
            m_actions.emplace_back(LogEnded { .planned = planned });
        }

        void sendCopies()
        {
            // A batch that is unsettled for long means that the store is away, for later entries as well.
            const bool storeAway = m_state.phase != BatchPhase::Idle && m_now >= m_state.batchStarted + m_options.copyAfter;
            const bool paced = !m_state.lastCopy || m_now >= *m_state.lastCopy + m_options.copyResend;
            if (!storeAway || !paced || !m_state.copyHolder) {
                return;
            }
            SendCopies copies { .holder = *m_state.copyHolder, .loggedUpTo = m_state.loggedUpTo, .records = {} };
            size_t bytes = 0;
            for (size_t index = firstUncopied(); index < m_state.waiting.size(); ++index) {
                const WaitingEntry& entry = m_state.waiting[index];
                if (!isCopied(entry.record.entry)) {
                    continue;
                }
                bytes += entry.bytes;
                if (!copies.records.empty() && bytes > m_options.maxBatchBytes) {
                    break;
                }
                copies.records.push_back(entry.record);
            }
            if (copies.records.empty()) {
                return;
            }
            m_state.lastCopy = m_now;
            m_actions.emplace_back(std::move(copies));
        }

        /** Positions in `waiting` have no gaps, so the index follows from the position. */
        size_t firstUncopied() const
        {
            const uint64_t front = m_state.waiting.front().record.position;
            return m_state.copiedUpTo < front ? 0 : m_state.copiedUpTo + 1 - front;
        }

        IncarnationLogState& m_state;
        const IncarnationLogOptions& m_options;
        MonotonicTime m_now;
        std::vector<IncarnationLogAction>& m_actions;
    };

} // namespace

void step(IncarnationLogState& state, const IncarnationLogOptions& options, const IncarnationLogEvent& event, MonotonicTime now,
    std::vector<IncarnationLogAction>& actions)
{
    Writer writer(state, options, now, actions);
    std::visit([&](const auto& value) { writer.on(value); }, event);
    writer.advance();
}

bool hasRoom(const IncarnationLogState& state, const IncarnationLogOptions& options)
{
    return !state.closed && !state.closing && state.waitingBytes < options.maxWaitingBytes;
}

std::chrono::milliseconds writeInterval(double writesPerSecond, size_t writers)
{
    constexpr double millisecondsPerSecond = 1000.0;
    return std::chrono::milliseconds(static_cast<int64_t>(std::ceil(millisecondsPerSecond * static_cast<double>(writers) / writesPerSecond)));
}

} // namespace siskinspread
