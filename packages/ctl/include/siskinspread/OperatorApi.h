#pragma once

#include "siskinspread/Accounts.h"
#include "siskinspread/CommandLine.h"
#include "siskinspread/OperatorReports.h"
#include "siskinspread/ServiceFile.h"

#include <optional>
#include <span>

namespace siskinspread {

/**
 * The network side of siskinctl: the platform's object API and the operators' paths of the entry hosts. Every call
 * blocks, at most for the timeout of its arguments and, where it waits, for its wait timeout.
 *
 * Thread safety: used by one thread.
 */
class OperatorApi {
public:
    virtual ~OperatorApi() = default;

    /**
     * Replaces these services and customers in the configuration by one conditional update.
     * @param documents passed every check that can be made without the configuration in force.
     * @param reason VersionConflict when another publish won (the detail names its revision and what differs),
     * StaleRevision when a file is older than what is published, InvalidConfiguration when the whole would not be
     * valid, StoreUnavailable when the platform did not answer and reading back did not show the update.
     */
    virtual std::optional<PublishReport> publish(const PublishArguments&, std::span<const ServiceDocument> documents, LastReason& reason) = 0;

    /** @param reason StoreUnavailable or BackendConnectFailed when no entry host answered. */
    virtual std::optional<SystemStatus> status(const StatusArguments&, LastReason& reason) = 0;

    /** @param reason UnknownRequest when there is no such request; as for status when no entry host answered. */
    virtual std::optional<AccountAnswer> account(const AccountArguments&, LastReason& reason) = 0;

    /** @param reason BackendConnectFailed when the host did not answer, BackendError when it is no entry host. */
    virtual std::optional<DrainReport> drain(const DrainArguments&, LastReason& reason) = 0;
};

} // namespace siskinspread
