#include "siskinspread/ExchangePace.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace siskinspread {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds shortestSilence { 1000 };
    constexpr int turnsOfSilence = 3;
    constexpr milliseconds shortestDomainSilence { 700 };
    constexpr double turnsOfDomainSilence = 3.5; // of a domain with one host
    // Phases are random: of 380 hosts none sees a longer gap between two of the many hosts of a domain (probability e^-12 each).
    constexpr double meanGapsOfDomainSilence = 12.0;
    constexpr uint64_t phases = 1024;

    milliseconds turnFor(size_t peers, double perSecond, milliseconds shortest)
    {
        return std::max(shortest, milliseconds { static_cast<int64_t>(std::ceil(static_cast<double>(peers) / perSecond * 1000.0)) });
    }

} // namespace

ExchangePace exchangePace(size_t ownDomainPeers, size_t otherPeers, const ExchangePaceOptions& options)
{
    return { .ownDomain = turnFor(ownDomainPeers, options.ownDomainPerSecond, options.shortest),
        .otherDomains = turnFor(otherPeers, options.otherDomainsPerSecond, options.shortest),
        .news = turnFor(ownDomainPeers, options.newsPerSecond, options.shortest) };
}

milliseconds phaseInTurn(std::string_view sender, std::string_view receiver, milliseconds turn)
{
    const auto seed = XXH64(sender.data(), sender.size(), 0);
    return turn * static_cast<int64_t>(XXH64(receiver.data(), receiver.size(), seed) % phases) / int64_t { phases };
}

milliseconds domainSilentAfter(milliseconds turn, size_t hosts)
{
    const auto oneTurn = static_cast<double>(turn.count());
    const double longest = std::min(oneTurn * turnsOfDomainSilence, oneTurn / static_cast<double>(std::max<size_t>(1, hosts)) * meanGapsOfDomainSilence);
    return std::max(shortestDomainSilence, milliseconds { static_cast<int64_t>(longest) });
}

milliseconds silentAfter(const ExchangePace& pace)
{
    return std::max(shortestSilence, std::max(pace.ownDomain, pace.otherDomains) * turnsOfSilence);
}

} // namespace siskinspread
