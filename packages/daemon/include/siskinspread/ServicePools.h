#pragma once

#include "siskinspread/Admission.h"
#include "siskinspread/AttemptPlan.h"
#include "siskinspread/HostContext.h"
#include "siskinspread/PoolView.h"
#include "siskinspread/RetryBudget.h"
#include "siskinspread/Routing.h"
#include "siskinspread/StreamProgress.h"

#include "service.pb.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace siskinspread {

/** One service as this host serves it: its configuration and the state of the decisions about it. */
struct ServicePool {
    schema::Service service;
    PoolView view;
    RoutingOptions routing;
    AdmissionState admission;
    AdmissionOptions admissionOptions;
    MonotonicTime reviewAt { MonotonicTime::max() }; /**< When the waiting requests are looked at next; max when nobody asked for it. */
    RetryBudget retries;
    AttemptOptions attempts;
    StreamProgressOptions progress;
    std::unordered_map<std::string, std::string> addresses; /**< By name of the backend server. */
};

/**
 * The configuration in force, unfolded: services by name and customers by the digest of their key.
 * Thread safety: decide thread only.
 */
class ServicePools {
public:
    explicit ServicePools(HostContext&);

    /**
     * Puts a configuration in force. Requests in progress keep their pool. New servers are joining until
     * BackendStatusAdapter, which has to be told of the configuration too, says otherwise. Precondition: it passed the checks.
     */
    void apply(const schema::Configuration&);

    /** @return whether any configuration is in force. */
    bool hasConfiguration() const { return m_revision; }
    uint64_t revision() const { return m_revision; }

    /** @return the service of this name, or null. */
    std::shared_ptr<ServicePool> find(std::string_view name) const;

    /** @return the customer whose key this is, or nothing. */
    std::optional<std::string> customerOfKey(std::string_view key) const;

    const std::map<std::string, std::shared_ptr<ServicePool>, std::less<>>& services() const { return m_services; }

    /** Recomputes what depends on time; raise every few hundred milliseconds. */
    void refresh();

    /** @param share part, 0 to 1, of the slices of idempotency keys that this host owns; in force from the next refresh. */
    void setOwnedShare(double share) { m_ownedShare = share; }

private:
    void configure(ServicePool&, const schema::Service&);

    HostContext& m_context;
    uint64_t m_revision { 0 };
    double m_ownedShare { 0 };
    std::map<std::string, std::shared_ptr<ServicePool>, std::less<>> m_services;
    std::unordered_map<std::string, std::string> m_customersByDigest;
};

/** @return the lower-case hexadecimal SHA-256 of the text. Thread safety: reentrant. */
std::string sha256Hex(std::string_view text);

/** @return the limit of this customer in this service, with the defaults where it has none. Thread safety: reentrant. */
schema::CustomerLimit customerLimit(const schema::Service&, std::string_view customer);

} // namespace siskinspread
