#pragma once

#include "siskinspread/ObjectApi.h"
#include "siskinspread/OperatorReports.h"
#include "siskinspread/PublishPlan.h"

#include <functional>
#include <optional>

namespace siskinspread {

/** Performs one call of the object API and waits for its end. The interface at which the mock of the store stands. */
using PerformStoreCall = std::function<TransferEnded(const StartTransfer&)>;

/** How often a publish is planned again and a lost answer is read back. */
struct PublisherOptions {
    ObjectApiOptions store;
    PublishOptions plan;
    uint32_t maxAttempts { 8 };
};

/**
 * Publishes by one conditional update: reads, plans, writes; settles lost answers by reading back; plans again when
 * another publish of other items came between.
 *
 * @param reason VersionConflict when another publish changed the same items, with its revision and what differs;
 * StoreUnavailable when the store did not answer, with whether the update may have taken effect; else as planPublish.
 * Thread safety: reentrant if `perform` is.
 */
std::optional<PublishReport> publishConfiguration(const PerformStoreCall& perform, const PublisherOptions&, const PublishRequest&, LastReason& reason);

} // namespace siskinspread
