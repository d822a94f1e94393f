#pragma once

#include "siskinspread/CommandLine.h"
#include "siskinspread/HttpClient.h"
#include "siskinspread/OperatorReports.h"

#include <functional>
#include <optional>

namespace siskinspread {

/** Where a drain makes its calls and waits. The interface at which the mocks stand. */
struct DrainWays {
    std::function<TransferEnded(const StartTransfer&)> perform; /**< Performs one call and waits for its end. */
    std::function<void(std::chrono::milliseconds)> pause;
};

/** Time between two looks at a host that is drained with --wait. */
constexpr std::chrono::milliseconds drainPollInterval { 200 };

/**
 * How many calls in a row have to find nobody listening before the host counts as ended: a single one may fail for want
 * of a port or a connection on this side.
 */
constexpr int refusedCallsOfAnEndedHost = 3;

/**
 * Asks a host for its planned stop and, where wanted, waits until its process has ended.
 * @param reason BackendConnectFailed when the host did not answer, BackendError when it answered something else.
 * Thread safety: reentrant if `ways` is.
 */
std::optional<DrainReport> drainHost(const DrainWays& ways, const DrainArguments&, LastReason& reason);

} // namespace siskinspread
