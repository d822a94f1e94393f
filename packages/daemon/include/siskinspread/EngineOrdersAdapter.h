#pragma once

#include "siskinspread/DutyLeaseAdapter.h"
#include "siskinspread/EngineOrders.h"
#include "siskinspread/HostContext.h"
#include "siskinspread/Metrics.h"
#include "siskinspread/ObjectApi.h"
#include "siskinspread/ServerHolds.h"
#include "siskinspread/Timers.h"

#include "service.pb.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace siskinspread {

/** Whether the lease is looked at once more directly before an order; tests compare with the unsafe reference. */
enum class OrderLeaseCheck : uint8_t {
    BeforeEachOrder,
    None,
};

/** What the holder of the duty knows of one engine, for operators. */
struct EngineOrderView {
    std::string server;
    std::string wanted;
    std::string loaded; /**< Empty before the first read under this lease. */
    bool isHeldBack { false };
};

/**
 * Joins the decision about orders to engines to the configuration, the lease and the engines' HTTP paths.
 *
 * The holder of the lease of a failure domain orders the engines of that domain whose services have `engine_loads`. It
 * gives no order before its own configuration is as new as the one that was stored when it gained the lease, so that a
 * new holder which lags does not take an engine back. Thread safety: decide thread only.
 */
class EngineOrdersAdapter {
public:
    struct Parts {
        Timers& timers;
        MonotonicClock clock;
        TransferStarter& engines;
        const DutyLeaseAdapter& lease;
        ServerHolds& holds;
        OrderLeaseCheck check { OrderLeaseCheck::BeforeEachOrder };
    };

    EngineOrdersAdapter(HostContext&, Parts, ObjectApiOptions);

    /** Begins to look after the engines whenever the lease is held. */
    void start();

    /** Takes the configuration in force. */
    void configured(const schema::Configuration&);

    /** @return the engines of this failure domain while this host holds its lease; otherwise nothing. */
    std::vector<EngineOrderView> views() const;

private:
    /** An order whose steps are sent one after the other. */
    struct OpenOrder {
        std::string server;
        uint64_t fencingNumber { 0 };
        uint64_t epoch { 0 };
        std::deque<EngineStep> steps;
    };

    void tick();
    void take(const EngineOrdersEvent&);
    void takeOfEpoch(uint64_t epoch, const EngineOrdersEvent&);
    std::optional<uint64_t> usableFencingNumber();
    void confirmConfiguration(uint64_t fencingNumber);
    void act(const ReadEngine&);
    void act(const OrderEngine&);
    void act(const EngineOrdersFenced&);
    void act(const HoldBackServer&);
    void act(const ReleaseServer&);
    void readLoad(const std::string& server, uint64_t epoch, const EngineTarget& loaded);
    void sendNextStep(const std::shared_ptr<OpenOrder>&);
    void onStepEnded(const std::shared_ptr<OpenOrder>&, const TransferEnded&);
    bool isLeaseLost(const OpenOrder&) const;
    void note(const OpenOrder&, EngineOrderOutcome);
    StartTransfer call(const std::string& server, const char* path) const;

    HostContext& m_context;
    const Parts m_parts;
    const ObjectApiOptions m_store;
    const EngineOrdersOptions m_options;
    EngineOrdersState m_state;
    std::map<std::string, std::string> m_addresses; /**< By server. */
    uint64_t m_revision { 0 }; /**< Of the configuration in force. */
    std::optional<uint64_t> m_usable; /**< The fencing number under which the decision works now. */
    uint64_t m_epoch { 0 }; /**< Grows when m_usable changes; answers of an earlier one are not taken. */
    std::optional<uint64_t> m_confirmedNumber; /**< The fencing number for which the stored revision is known. */
    uint64_t m_storedRevision { 0 };
    bool m_confirming { false };
    MonotonicTime m_confirmAt {};
};

} // namespace siskinspread
