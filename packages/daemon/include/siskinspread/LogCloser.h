#pragma once

#include "siskinspread/HostContext.h"
#include "siskinspread/IncarnationLogClosing.h"
#include "siskinspread/ObjectApi.h"
#include "siskinspread/Timers.h"

#include <functional>
#include <map>
#include <vector>

namespace siskinspread {

/**
 * Closes the logs of other incarnations and reads their history, each at most once. Thread safety: decide thread only.
 */
class LogCloser {
public:
    using Done = std::function<void(const LogHistory&)>;

    LogCloser(HostContext&, Timers&, const ObjectApiOptions&);

    /** Closes the log and passes on its history, at once when it is known already. Retries while the store is away. */
    void close(const IncarnationId&, Done);

    /** Seals copies at a holder; ends in CopiesSealed, CopyHolderGone or CallFailed. Set before the first close. */
    std::function<void(const SealCopies&, std::function<void(const LogClosingEvent&)>)> sealCopies;

    /** @return the history of a log that this host has closed or read to its closing entry, or null. */
    const LogHistory* find(const IncarnationId&) const;

private:
    void raise(const IncarnationId&, const LogClosingEvent&);
    void run(const IncarnationId&, const ReadBatch&);
    void run(const IncarnationId&, const CreateBatch&);
    void run(const IncarnationId&, const ReadSealedCopy&);
    void run(const IncarnationId&, const CreateSealedCopy&);
    void run(const IncarnationId&, const SealCopies&);
    void run(const IncarnationId&, const HistoryRead&);
    void scheduleTick(const IncarnationId&);

    HostContext& m_context;
    Timers& m_timers;
    const ObjectApiOptions m_store;
    const LogClosingOptions m_options;
    std::map<IncarnationId, LogClosingState> m_open;
    std::map<IncarnationId, std::vector<Done>> m_waiting;
    std::map<IncarnationId, LogHistory> m_histories;
};

} // namespace siskinspread
