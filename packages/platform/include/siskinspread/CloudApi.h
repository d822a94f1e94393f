#pragma once

#include "siskinspread/HttpClient.h"
#include "siskinspread/LastReason.h"
#include "siskinspread/ReclaimNotice.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace siskinspread {

/** Where the cloud API is and how long to wait for it. */
struct CloudApiOptions {
    std::string url; /**< http://IP:port; empty where there is none. */
    std::chrono::milliseconds timeout { 1000 };
};

/** Builds the call that reads the notices after a sequence number. Thread safety: reentrant. */
StartTransfer readReclaimNotices(const CloudApiOptions&, uint64_t after);

/**
 * @return the notices in the answer, ordered by sequence number; an entry that is malformed is left out.
 * @param reason StoreUnavailable when there was no answer or it is no list. Thread safety: reentrant.
 */
std::optional<std::vector<ReclaimNotice>> reclaimNotices(const TransferEnded&, LastReason& reason);

/** A host on the platform's list, which lags behind reality, or among the cloud API's own hosts. */
struct ListedHost {
    std::string name;
    bool leaving { false };
    bool ended { false }; /**< Only the cloud API tells of such. */
    std::optional<WallTime> noticeAt; /**< When the notice of a leaving host was given, by the cloud's clock. */
};

/** Builds the call that reads the list of live and leaving hosts. Thread safety: reentrant. */
StartTransfer readHostList(const CloudApiOptions&);

/** Builds the call that reads the cloud API's hosts as they are now, the ended ones included. Thread safety: reentrant. */
StartTransfer readCloudHosts(const CloudApiOptions&);

/**
 * @return the hosts in the answer to either call; an entry that is malformed is left out.
 * @param reason StoreUnavailable when there was no answer or it is no list. Thread safety: reentrant.
 */
std::optional<std::vector<ListedHost>> hostList(const TransferEnded&, LastReason& reason);

} // namespace siskinspread
