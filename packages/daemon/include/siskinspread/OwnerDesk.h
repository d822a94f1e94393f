#pragma once

#include "siskinspread/AtMostOnce.h"
#include "siskinspread/HostContext.h"
#include "siskinspread/LogWriter.h"
#include "siskinspread/RequestRegister.h"
#include "siskinspread/ServicePools.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace siskinspread {

/** A non-repeatable request as it reaches the owner of its key's slice. */
struct OwnedRequest {
    IdempotencyKey key;
    std::string service;
    std::string method;
    std::string path; /**< Below the service's own prefix, with its query. */
    std::string body;
    std::string entryHost;
    std::chrono::milliseconds timeLeft { 0 };
};

/**
 * Runs the at-most-once decision for the slices that this incarnation owns: records intents and outcomes, dispatches
 * each request at most once unless an attempt provably did not run, and answers. Thread safety: decide thread only.
 */
class OwnerDesk {
public:
    using Done = std::function<void(const AnswerRequest&)>;

    OwnerDesk(HostContext&, ServicePools&, RequestRegister&, LogWriter&);

    /** Takes a request; `done` is called once, possibly before submit returns. @return the id of the request. */
    RequestId submit(const OwnedRequest&, Done done);

    /** Precondition: see SliceTaken. */
    void takeSlice(const SliceTaken&);
    void releaseSlice(uint32_t slice);
    /** The log has ended: nothing is accepted any more. */
    void logEnded();

    /** Answers all open requests as if their deadlines had come. Attempts in progress go on, and nobody waits for them. */
    void expireAll();

    const AtMostOnceState& state() const { return m_state; }
    const AtMostOnceOptions& options() const { return m_options; }

    /** @return requests that have not been answered, or whose outcome is not on record. */
    size_t openCount() const { return m_state.requests.size(); }

    /** Raise at least every 50 ms. */
    void tick();

private:
    struct Pending {
        OwnedRequest request;
        Done done;
        std::vector<std::string> excluded;
        std::string backendServer; /**< Of the attempt in progress. */
    };

    std::vector<std::string> candidatesOf(const OwnedRequest&);
    void raise(const AtMostOnceEvent&);
    void raise(const AtMostOnceEvent&, MonotonicTime now);
    void run(const RecordIntent&);
    void run(const RecordOutcome&);
    void run(const RecordAccount&);
    void run(const DispatchRequest&);
    void run(const AnswerRequest&);
    void onAttemptEnded(const RequestId&, uint32_t attempt, const TransferEnded&);
    void attemptNotRun(const RequestId&, uint32_t attempt, const std::string& backendServer, ResultCode);

    HostContext& m_context;
    ServicePools& m_pools;
    RequestRegister& m_register;
    LogWriter& m_log;
    AtMostOnceOptions m_options;
    AtMostOnceState m_state;
    std::map<RequestId, Pending> m_pending;
};

} // namespace siskinspread
