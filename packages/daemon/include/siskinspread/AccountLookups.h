#pragma once

#include "siskinspread/Accounts.h"
#include "siskinspread/HostContext.h"
#include "siskinspread/ObjectApi.h"
#include "siskinspread/RequestRegister.h"
#include "siskinspread/Timers.h"

#include <functional>
#include <map>

namespace siskinspread {

/**
 * Finds the account of any request: asks this host, then the incarnation that accepted it, then reads its log.
 * Thread safety: decide thread only.
 */
class AccountLookups {
public:
    using Done = std::function<void(const AccountAnswer&)>;
    /** Answers for this incarnation. */
    using Local = std::function<AccountAnswer(const AccountQuery&)>;
    /** Asks another incarnation and passes on its answer, or nothing when it could not be asked. */
    using Ask = std::function<void(const IncarnationId&, const AccountQuery&, std::function<void(std::optional<AccountAnswer>)>)>;

    AccountLookups(HostContext&, Timers&, const ObjectApiOptions&, Local, Ask);

    /**
     * Starts a lookup.
     * @param candidates for a query by key: the owner of its slice and the owners before it, newest first.
     */
    void start(const AccountQuery&, std::vector<IncarnationId> candidates, Done);

private:
    struct Lookup {
        AccountLookupState state;
        Done done;
    };

    void raise(uint64_t id, const AccountLookupEvent&);
    void run(uint64_t id, const AskIncarnation&);
    void run(uint64_t id, const ReadBatch&);
    void run(uint64_t id, const ReadSealedCopy&);
    void run(uint64_t id, const LookupDone&);
    void answered(uint64_t id, const IncarnationId&, const std::optional<AccountAnswer>&);
    void scheduleTick(uint64_t id);

    HostContext& m_context;
    Timers& m_timers;
    const ObjectApiOptions m_store;
    const Local m_local;
    const Ask m_ask;
    const AccountLookupOptions m_options;
    uint64_t m_last { 0 };
    std::map<uint64_t, Lookup> m_lookups;
};

/** @return the account as JSON for people and scripts. Thread safety: reentrant. */
std::string accountJson(const AccountAnswer&);

} // namespace siskinspread
