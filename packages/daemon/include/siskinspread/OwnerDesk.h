#pragma once

#include "siskinspread/AdmissionDesk.h"
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

    struct Parts {
        ServicePools& pools;
        AdmissionDesk& admissions;
        RequestRegister& requests;
        LogWriter& log;
    };

    OwnerDesk(HostContext&, Parts);

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
    size_t openCount() const { return m_state.requests.size() + m_waiting.size(); }

    /** @return part, 0 to 1, of all slices that are open here. */
    double ownedShare() const { return static_cast<double>(m_state.slices.size()) / m_options.slices.sliceCount; }

    /** Raise at least every 50 ms. */
    void tick();

private:
    struct Pending {
        OwnedRequest request;
        Done done;
        std::vector<std::string> excluded;
        std::optional<std::chrono::milliseconds> retryAfter; /**< From the refusal by admission. */
    };
    struct Attempt {
        std::shared_ptr<ServicePool> pool;
        std::string backendServer;
    };

    std::vector<std::string> candidatesOf(const std::string& service, MonotonicTime deadline);
    void admit(const RequestArrived&, const std::shared_ptr<ServicePool>&);
    void accept(const RequestId&);
    void refuseWaiting(const RequestId&, ResultCode, std::optional<std::chrono::milliseconds> retryAfter);
    void leaveWhenIdle(const RequestId&);
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
    Parts m_parts;
    AtMostOnceOptions m_options;
    AtMostOnceState m_state;
    std::map<RequestId, Pending> m_pending;
    std::map<RequestId, RequestArrived> m_waiting; /**< For a place in their pool; nothing is recorded of them. */
    std::map<RequestId, Attempt> m_attempts; /**< In progress; may outlive the answer. */
};

} // namespace siskinspread
