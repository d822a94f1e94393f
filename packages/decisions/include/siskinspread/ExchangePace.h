#pragma once

#include <chrono>
#include <cstddef>
#include <string_view>

namespace siskinspread {

/** Bounds of what a host sends to its peers. */
struct ExchangePaceOptions {
    std::chrono::milliseconds shortest { 200 }; /**< Between two messages to one peer. */
    // Messages a second: at 150 to 200 bytes each, both together stay near the 25 KB/s that control may use on a host.
    double ownDomainPerSecond { 70 }; /**< To all peers of the own failure domain. */
    double otherDomainsPerSecond { 90 }; /**< To all other peers. */
    /**
     * Of those that watch the store, to the hosts of the domain that follow them, beside the rest: a few hundred bytes each unless
     * something has changed.
     */
    double newsPerSecond { 200 };
};

/** Time between two messages to one peer. */
struct ExchangePace {
    std::chrono::milliseconds ownDomain { 0 };
    std::chrono::milliseconds otherDomains { 0 };
    std::chrono::milliseconds news { 0 }; /**< Of those that watch the store, to a follower. */
};

/**
 * Paces what a host tells its peers one by one, so that its messages a second stay bounded when hosts are added. Peers of
 * the own failure domain, whose callers are moved between its hosts, hear of it more often.
 * Thread safety: reentrant.
 */
ExchangePace exchangePace(size_t ownDomainPeers, size_t otherPeers, const ExchangePaceOptions&);

/** @return the time without a message after which a peer is taken for silent: several turns, of which single ones may be lost. Thread safety: reentrant. */
std::chrono::milliseconds silentAfter(const ExchangePace&);

/**
 * @return when in a turn the sender tells the receiver. Those who tell one receiver are spread over the turn: in step, their
 * messages would arrive together, overflow its link, and leave it without news for the rest of the turn. Thread safety: reentrant.
 */
std::chrono::milliseconds phaseInTurn(std::string_view sender, std::string_view receiver, std::chrono::milliseconds turn);

/**
 * @param turn of each host of a failure domain towards this host. @param hosts of that domain.
 * @return the time without a message of any of them after which the domain seems cut off. Thread safety: reentrant.
 */
std::chrono::milliseconds domainSilentAfter(std::chrono::milliseconds turn, size_t hosts);

} // namespace siskinspread
