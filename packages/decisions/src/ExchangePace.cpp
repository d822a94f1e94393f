#include "siskinspread/ExchangePace.h"

#include <algorithm>
#include <cmath>

namespace siskinspread {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds shortestSilence { 1000 };
    constexpr int turnsOfSilence = 3;

    milliseconds turnFor(size_t peers, double perSecond, milliseconds shortest)
    {
        return std::max(shortest, milliseconds { static_cast<int64_t>(std::ceil(static_cast<double>(peers) / perSecond * 1000.0)) });
    }

} // namespace

ExchangePace exchangePace(size_t ownDomainPeers, size_t otherPeers, const ExchangePaceOptions& options)
{
    return { .ownDomain = turnFor(ownDomainPeers, options.ownDomainPerSecond, options.shortest),
        .otherDomains = turnFor(otherPeers, options.otherDomainsPerSecond, options.shortest) };
}

milliseconds silentAfter(const ExchangePace& pace)
{
    return std::max(shortestSilence, std::max(pace.ownDomain, pace.otherDomains) * turnsOfSilence);
}

} // namespace siskinspread
