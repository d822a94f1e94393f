#pragma once

#include "siskinspread/Accounts.h"
#include "siskinspread/HostContext.h"
#include "siskinspread/LogWriter.h"

#include <atomic>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace siskinspread {

/**
 * Gives out request ids and keeps the requests that are open at this host until their account is on record.
 * Thread safety: decide thread only.
 */
class RequestRegister {
public:
    RequestRegister(HostContext&, LogWriter&);

    /** @return the id of a request that is refused before it is accepted. Thread safety: any thread. */
    std::string refusalId();

    /** @return the id of a request whose account the at-most-once decision keeps and writes. */
    RequestId issueId(bool needsIntent);

    /** Accepts a request: from here on it has exactly one account. */
    RequestId accept(const std::string& customer, const std::string& service);

    /** Notes an attempt at a backend server. */
    void recordAttempt(const RequestId&, const std::string& backendServer);

    /** Ends an open request and appends its account to the log. Ids that are not open are ignored. */
    void finish(const RequestId&, ResultCode, RunState);

    /**
     * Records that an open request goes on at another host as `newId`, where its account will be. It stays open here
     * until `done` is called, which is when the record is durable or the log has ended. Ids that are not open are ignored.
     */
    void handOver(const RequestId&, const RequestId& newId, std::function<void()> done);

    /** @return what is known of an open request or of one whose account is being written. */
    std::optional<AccountAnswer> find(const RequestId&) const;

    size_t openCount() const { return m_open.size(); }

private:
    HostContext& m_context;
    LogWriter& m_log;
    uint64_t m_lastSequence { 0 };
    std::atomic<uint64_t> m_lastRefusal { 0 };
    std::map<RequestId, AccountEntry> m_open;
    std::map<RequestId, AccountEntry> m_recording;
};

} // namespace siskinspread
