#pragma once

#include <chrono>
#include <cstddef>

namespace siskinspread {

/** Bounds of what a host sends to its peers. */
struct ExchangePaceOptions {
    std::chrono::milliseconds shortest { 200 }; /**< Between two messages to one peer. */
    double ownDomainPerSecond { 70 }; /**< Messages to all peers of the own failure domain: a third of the 25 KB/s that control may send. */
    double otherDomainsPerSecond { 90 }; /**< Messages to all other peers. */
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
