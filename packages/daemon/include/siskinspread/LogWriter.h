#pragma once

#include "siskinspread/HostContext.h"
#include "siskinspread/IncarnationLog.h"
#include "siskinspread/ObjectApi.h"

#include <functional>
#include <optional>
#include <unordered_map>

namespace siskinspread {

/**
 * Writes the log of this incarnation: joins the decision in IncarnationLog.h to the platform client.
 * Thread safety: decide thread only.
 */
class LogWriter {
public:
    /** Called once for each entry: durable, or not with the reason why. */
    using Done = std::function<void(bool durable, ResultCode)>;

    LogWriter(HostContext&, const ObjectApiOptions&);

    /** Appends an entry. `done` may be called before append returns, when the log has ended. */
    void append(LogEntry, Done done = {});

    /** @return whether another request may be accepted. */
    bool hasRoom() const { return siskinspread::hasRoom(m_state, m_options); }

    /** Writes the closing entry after all that waits. Precondition: no request is open. */
    void close();

    /** @return whether the log takes no more entries. */
    bool hasEnded() const { return m_state.closed; }

    /** @return whether entries are not in the log yet. */
    bool hasWaiting() const { return !m_state.waiting.empty(); }

    /** Raise at least every 50 ms and at nextTick. */
    void tick();

    /** @return when the next write may start, where entries wait for that time. */
    std::optional<MonotonicTime> nextTick() const;

    /** @return the copy holder that the log declares or is about to declare. */
    const std::optional<IncarnationId>& declaredHolder() const { return m_state.pendingHolder ? m_state.pendingHolder : m_state.copyHolder; }

    /** Declares a copy holder. */
    void chooseHolder(const IncarnationId&);

    /** Sends copies to the holder and passes on its answer. */
    std::function<void(const SendCopies&, std::function<void(const IncarnationLogEvent&)>)> sendCopies;

    /** Called when the log has ended; `planned` when this host closed it itself. */
    std::function<void(bool planned)> onEnded;

private:
    void raise(const IncarnationLogEvent&);
    void run(const CreateBatch&);
    void run(const ReadBatch&);
    void run(const SendCopies&);
    void run(const EntryDurable&);
    void run(const EntryRefused&);
    void run(const LogEnded&) const;
    void run(const CopyHolderNeeded&) const;
    void complete(uint64_t token, bool durable, ResultCode);
    void created(uint64_t number, const TransferEnded&);
    void read(uint64_t number, const TransferEnded&);

    HostContext& m_context;
    ObjectApiOptions m_store;
    IncarnationLogOptions m_options;
    IncarnationLogState m_state;
    uint64_t m_lastToken { 0 };
    std::unordered_map<uint64_t, Done> m_waiting;
};

} // namespace siskinspread
