#pragma once

#include "siskinspread/HostContext.h"
#include "siskinspread/ServicePools.h"
#include "siskinspread/Timers.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace siskinspread {

/** A request that asks for a place in a pool. Exactly one of the two handlers is called, once, unless it leaves first. */
struct AdmissionCall {
    std::shared_ptr<ServicePool> pool;
    std::string customer;
    double work { 1.0 }; /**< As AdmissionRequest::work. */
    MonotonicTime deadline {};
    std::chrono::milliseconds expectedDuration { 0 }; /**< As AdmissionRequest::expectedDuration. */
    std::function<void()> admitted;
    std::function<void(const AdmissionRefusal&)> refused;
};

/**
 * Joins the admission decision to all requests that this host dispatches, whatever their kind, so that those of one pool
 * are held against the same limits. A request that waits is refused at its latest start. Thread safety: decide thread only.
 */
class AdmissionDesk {
public:
    AdmissionDesk(HostContext&, Timers&, ServicePools&);

    /**
     * Asks for a place. A handler may be called before enter returns.
     * @param sequence of the request, unique at this host. Precondition: it has no place and waits for none.
     */
    void enter(uint64_t sequence, AdmissionCall);

    /** Gives the place back, or stops waiting for it. Sequences that are not known are ignored. */
    void leave(uint64_t sequence);

    /** Admits what fits now; raise it after the limits may have grown. */
    void review();

private:
    struct Entry {
        AdmissionCall call;
        bool admitted { false };
    };

    void review(const std::shared_ptr<ServicePool>&);
    void apply(const AdmissionChanges&);
    void refuse(const AdmissionRefusal&);
    void scheduleReview(const std::shared_ptr<ServicePool>&);

    HostContext& m_context;
    Timers& m_timers;
    ServicePools& m_pools;
    std::unordered_map<uint64_t, Entry> m_entries;
};

} // namespace siskinspread
