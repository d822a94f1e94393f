#pragma once

#include "siskinspread/CopyHandover.h"
#include "siskinspread/CopyHolder.h"
#include "siskinspread/HostContext.h"
#include "siskinspread/IncarnationLog.h"
#include "siskinspread/IncarnationLogClosing.h"
#include "siskinspread/LogWriter.h"
#include "siskinspread/PeerCalls.h"
#include "siskinspread/PeerDirectory.h"
#include "siskinspread/Timers.h"

#include <functional>
#include <map>
#include <memory>

namespace siskinspread {

/**
 * Copies of log entries while the store is away: keeps those of other incarnations, sends those of this one, and asks
 * for the seal of copies in a takeover. Thread safety: decide thread only.
 */
class CopyDesk {
public:
    using SealDone = std::function<void(const LogClosingEvent&)>;

    /** Registers the methods "copies", "seal", "adopt" and "adopted". */
    CopyDesk(HostContext&, Timers&, PeerCalls&, PeerDirectory&);

    /** Declares a copy holder in the log as soon as a peer is known, and another one when that is lost. */
    void keepHolder(LogWriter&);

    /** Sends copies; `done` receives CopiesAcknowledged or CopiesRefused, or nothing happens when there is no answer. */
    void send(const SendCopies&, std::function<void(const IncarnationLogEvent&)> done);

    /** Seals the copies at a holder; `done` receives CopiesSealed, CopyHolderGone or CallFailed. */
    void seal(const SealCopies&, SealDone done);

    /**
     * This host leaves: takes no copies any more, and hands over what it holds to two hosts that stay, of other failure
     * domains where there are any. Goes on until one of them has everything. Idempotent.
     */
    void handOver();

    /** @return whether entries of other incarnations are held that may be nowhere else. */
    bool holdsRecords() const;

    /** @return whether another host has all that this one held. */
    bool isHandedOver() const { return m_handover.isDone(); }

private:
    using Asked = std::shared_ptr<struct AdoptedSearch>;

    void searchAdopted(const SealCopies&, bool holderGone, const SealDone&);
    void askAdopted(const IncarnationId& peer, const SealCopies&, const Asked&);
    RpcOutcome onAdopt(const std::string& paramsJson);
    RpcOutcome onAdopted(const std::string& paramsJson);
    RpcOutcome onCopies(const std::string& paramsJson);
    RpcOutcome onSeal(const std::string& paramsJson);
    std::optional<IncarnationId> chooseHolder() const;

    HostContext& m_context;
    Timers& m_timers;
    PeerCalls& m_calls;
    PeerDirectory& m_peers;
    const CopyHolderOptions m_options;
    CopyHolderState m_state;
    CopyHandover m_handover;
    std::map<IncarnationId, MonotonicTime> m_searchedAt; /**< By owner whose copies were not found yet. */
};

} // namespace siskinspread
