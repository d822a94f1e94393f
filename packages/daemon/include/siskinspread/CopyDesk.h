#pragma once

#include "siskinspread/CopyHolder.h"
#include "siskinspread/HostContext.h"
#include "siskinspread/IncarnationLog.h"
#include "siskinspread/IncarnationLogClosing.h"
#include "siskinspread/LogWriter.h"
#include "siskinspread/PeerCalls.h"
#include "siskinspread/PeerDirectory.h"
#include "siskinspread/Timers.h"

#include <functional>

namespace siskinspread {

/**
 * Copies of log entries while the store is away: keeps those of other incarnations, sends those of this one, and asks
 * for the seal of copies in a takeover. Thread safety: decide thread only.
 */
class CopyDesk {
public:
    using SealDone = std::function<void(const LogClosingEvent&)>;

    /** Registers the methods "copies" and "seal". */
    CopyDesk(HostContext&, Timers&, PeerCalls&, PeerDirectory&);

    /** Declares a copy holder in the log as soon as a peer is known, and another one when that is lost. */
    void keepHolder(LogWriter&);

    /** Sends copies; `done` receives CopiesAcknowledged or CopiesRefused, or nothing happens when there is no answer. */
    void send(const SendCopies&, std::function<void(const IncarnationLogEvent&)> done);

    /** Seals the copies at a holder; `done` receives CopiesSealed, CopyHolderGone or CallFailed. */
    void seal(const SealCopies&, SealDone done);

private:
    RpcOutcome onCopies(const std::string& paramsJson);
    RpcOutcome onSeal(const std::string& paramsJson);
    std::optional<IncarnationId> chooseHolder() const;

    HostContext& m_context;
    Timers& m_timers;
    PeerCalls& m_calls;
    PeerDirectory& m_peers;
    const CopyHolderOptions m_options;
    CopyHolderState m_state;
};

} // namespace siskinspread
