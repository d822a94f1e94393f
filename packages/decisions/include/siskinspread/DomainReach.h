#pragma once

#include "siskinspread/Time.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace siskinspread {

/** What this host has heard from a failure domain: of its hosts, and of its replicas. */
struct DomainReach {
    std::optional<MonotonicTime> peerHeardAt; /**< Newest message of any of its hosts; empty: none is known. */
    std::optional<MonotonicTime> bytesAt; /**< Newest bytes of any of its replicas. */
    std::optional<MonotonicTime> timeoutAt; /**< Newest connection to a replica that was not answered at all. */
    uint32_t timeouts { 0 }; /**< Of such since the newest bytes. */
    /** Silence of all hosts of the domain after which its paths are doubted; see domainSilentAfter. */
    std::chrono::milliseconds peerSilence { 700 };
};

struct DomainReachOptions {
    std::chrono::milliseconds byteSilence { 300 }; /**< Replicas that were heard more recently are reached. */
    uint32_t worstTimeouts { 2 }; /**< Unanswered connections after which the paths are doubted. */
    std::chrono::milliseconds retryAfter { 1000 }; /**< Since the last unanswered connection, before the paths are tried again. */
};

/** Notes bytes of a replica of the domain. Thread safety: safe while no other thread uses `reach`. */
void noteDomainBytes(DomainReach& reach, MonotonicTime now);

/** Notes a connection to a replica of the domain that was not answered. Thread safety: as noteDomainBytes. */
void noteDomainTimeout(DomainReach& reach, MonotonicTime now);

/** Notes a message of a host of the domain. Thread safety: as noteDomainBytes. */
void noteDomainPeer(DomainReach& reach, MonotonicTime now);

/**
 * @return whether requests to the domain's replicas are likely to hang: it seems to be cut off, without a reset that would
 * tell. Such replicas are used only where there are no others. Thread safety: const.
 */
bool isReachDoubted(const DomainReach& reach, const DomainReachOptions&, MonotonicTime now);

} // namespace siskinspread
