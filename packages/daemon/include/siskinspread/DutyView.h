#pragma once

#include "siskinspread/DutyLeaseAdapter.h"
#include "siskinspread/EngineOrdersAdapter.h"
#include "siskinspread/HostContext.h"
#include "siskinspread/PeerCalls.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>
#include <vector>

namespace siskinspread {

/** A duty whose lease is held, as its holder tells. */
struct HeldDuty {
    std::string duty;
    std::string holder; /**< Name of the entry host. */
    uint64_t fencingNumber { 0 };
    std::vector<EngineOrderView> engines;
};

/** @return the duties as operators get them. Thread safety: reentrant. */
nlohmann::json dutiesJson(const std::vector<HeldDuty>&);

/**
 * Who holds which duty, for operators: asks every live host by the JSON-RPC method "duties", so that it works while the
 * store is away. Thread safety: decide thread only.
 */
class DutyView {
public:
    struct Parts {
        PeerCalls& calls;
        const DutyLeaseAdapter& lease;
        const EngineOrdersAdapter& orders;
        std::function<std::vector<std::string>()> otherHosts;
    };
    using Done = std::function<void(const std::vector<HeldDuty>&)>;

    DutyView(HostContext&, Parts);

    /** Calls `done` once with what the hosts that answer hold. Takes one call to each live host, up to peerCallTimeout. */
    void collect(Done done) const;

private:
    std::vector<HeldDuty> ownDuties() const;

    HostContext& m_context;
    const Parts m_parts;
};

} // namespace siskinspread
