#pragma once

#include <chrono>
#include <cstddef>

namespace siskinspread {

/** Bounds of what a host sends to its peers. */
struct ExchangePaceOptions {
    std::chrono::milliseconds shortest { 200 }; /**< Between two messages to one peer. */
    // Messages a second: at 150 to 200 bytes each, both together stay near the 25 KB/s that control may use on a host.
    double ownDomainPerSecond { 70 }; /**< To all peers of the own failure domain. */
    double otherDomainsPerSecond { 90 }; /**< To all other peers. */
};

/** Time between two messages to one peer. */
struct ExchangePace {
    std::chrono::milliseconds ownDomain { 0 };
    std::chrono::milliseconds otherDomains { 0 };
};

/**
 * Paces what a host tells its peers one by one, so that its messages a second stay bounded when hosts are added. Peers of
 * the own failure domain, whose callers are moved between its hosts, hear of it more often.
 * Thread safety: reentrant.
 */
ExchangePace exchangePace(size_t ownDomainPeers, size_t otherPeers, const ExchangePaceOptions&);

/** @return the time without a message after which a peer is taken for silent: several turns, of which single ones may be lost. Thread safety: reentrant. */
std::chrono::milliseconds silentAfter(const ExchangePace&);

} // namespace siskinspread
