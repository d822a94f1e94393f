#pragma once

#include "siskinspread/Accounts.h"
#include "siskinspread/PeerCalls.h"

#include <functional>
#include <optional>

namespace siskinspread {

/** Asks other incarnations what they know of a request, and answers them. Thread safety: decide thread only. */
class PeerAccounts {
public:
    using Done = std::function<void(std::optional<AccountAnswer>)>;
    using Local = std::function<AccountAnswer(const AccountQuery&)>;

    /** @param local what this incarnation knows by itself. Registers the method "account". */
    PeerAccounts(HostContext&, PeerCalls&, Local local);

    /** Asks an incarnation; nothing when its host runs another one now or does not answer. */
    void ask(const IncarnationId&, const AccountQuery&, Done);

private:
    RpcOutcome answer(const std::string& paramsJson) const;

    HostContext& m_context;
    PeerCalls& m_calls;
    const Local m_local;
};

} // namespace siskinspread
