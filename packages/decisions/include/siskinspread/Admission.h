#pragma once

#include "siskinspread/ResultCode.h"
#include "siskinspread/Time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace siskinspread {

/** Constants of the admission to one pool at one entry host. */
struct AdmissionOptions {
    uint32_t poolLimit { 64 }; /**< Requests of this host in progress in the pool; see admissionLimit. */
    double reservedShare { 0.2 }; /**< Part of the limit that customers over their share may not take. */
    uint32_t queueLimit { 64 }; /**< Requests waiting at most. */
    std::chrono::milliseconds longestWait { 1000 }; /**< A request that would wait longer is refused at once. */
    std::chrono::milliseconds shortestRetryAfter { 500 };
    std::chrono::milliseconds longestRetryAfter { 30000 };
};

/** A request at the door. */
struct AdmissionRequest {
    uint64_t sequence { 0 }; /**< Unique at this host. */
    std::string customer {};
    double weight { 1.0 }; /**< The customer's share under contention, above zero. */
    uint32_t customerLimit { 0 }; /**< Requests in progress at most; 0 for none. */
    uint8_t priority { 1 }; /**< Higher goes first within a customer and is shed last. */
    double work { 1.0 }; /**< Estimated cost, above zero; tokens for a model. */
    MonotonicTime deadline {};
    std::chrono::milliseconds expectedDuration { 0 }; /**< Least time from dispatch to the end of the answer. */
};

enum class AdmissionOutcome : uint8_t {
    Admitted,
    Waiting,
    Refused,
};

/** A request that is refused now. It was not run. */
struct AdmissionRefusal {
    uint64_t sequence { 0 };
    ResultCode code { ResultCode::PoolFull };
    std::chrono::milliseconds retryAfter { 0 };
};

/** The verdict on one arriving request. */
struct AdmissionDecision {
    AdmissionOutcome outcome { AdmissionOutcome::Refused };
    std::optional<AdmissionRefusal> refusal {}; /**< Present when refused. */
    std::optional<AdmissionRefusal> displaced {}; /**< A waiting request that gave up its place to this one. */
};

/** State of the admission to one pool. Plain data: the owner serialises access. */
struct AdmissionState {
    struct Customer {
        double weight { 1.0 };
        double startTag { 0 }; /**< Of its next request; advances by work over weight with each that is dispatched. */
        double waitingWork { 0 };
        uint32_t inFlight { 0 };
        uint32_t waiting { 0 };
        MonotonicTime lastSeen;
    };
    struct Waiting {
        AdmissionRequest request;
        MonotonicTime since;
    };
    std::map<std::string, Customer> customers;
    std::vector<Waiting> waiting; /**< In order of arrival. */
    uint32_t inFlight { 0 };
    double virtualTime { 0 }; /**< Start tag of the request dispatched last. */
    double endsPerSecond { 0 }; /**< Exponentially weighted rate of finished requests. */
    MonotonicTime lastEndAt;
};

/** What changed when a request ended or time passed. */
struct AdmissionChanges {
    std::vector<uint64_t> admitted; /**< In order of dispatch. */
    std::vector<AdmissionRefusal> refused;
};

/**
 * @param ownedShare part, 0 to 1, of the slices of idempotency keys that this host owns, where the pool takes calls that
 * may not be repeated: those reach it through the owners only.
 * @return this host's part of what the pool can hold: usable slots times `overcommit`, over the entry hosts or times
 * `ownedShare`, whichever is more; at least 1. Reentrant.
 */
uint32_t admissionLimit(double poolSlots, double overcommit, uint32_t entryHosts, double ownedShare = 0);

/**
 * Decides about an arriving request: admitted, queued (start-time fair queueing by customer: Goyal, Vin and Cheng,
 * SIGCOMM 1996), or refused at once with a time to come back. A request that could not make its deadline is refused.
 * Thread safety: as AdmissionState.
 */
AdmissionDecision admitRequest(AdmissionState& state, const AdmissionOptions& options, const AdmissionRequest& request, MonotonicTime now);

/** Records the end of an admitted request and appends what may go now. */
void finishRequest(AdmissionState& state, const AdmissionOptions& options, const std::string& customer, MonotonicTime now, AdmissionChanges& changes);

/** Refuses waiting requests whose time is up and admits what fits, for example after the limit grew. */
void reviewWaiting(AdmissionState& state, const AdmissionOptions& options, MonotonicTime now, AdmissionChanges& changes);

/** Removes a waiting request whose caller has gone. @return whether it was waiting. */
bool cancelWaiting(AdmissionState& state, uint64_t sequence);

/** @return when reviewWaiting next has something to refuse; nothing when no request waits. */
std::optional<MonotonicTime> nextReview(const AdmissionState& state, const AdmissionOptions& options);

} // namespace siskinspread
