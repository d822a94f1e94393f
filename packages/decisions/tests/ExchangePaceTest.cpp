#include "siskinspread/ExchangePace.h"

#include <doctest/doctest.h>

using namespace siskinspread;
using std::chrono::milliseconds;

TEST_CASE("messages a second stay bounded when hosts are added")
{
    const ExchangePaceOptions options;
    for (const size_t hosts : { 2U, 7U, 20U, 83U, 380U, 1000U }) {
        const size_t own = hosts / 4;
        const auto pace = exchangePace(own, hosts - own, options);
        const double perSecond = static_cast<double>(own) * 1000.0 / static_cast<double>(pace.ownDomain.count())
            + static_cast<double>(hosts - own) * 1000.0 / static_cast<double>(pace.otherDomains.count());
        CHECK(perSecond <= options.ownDomainPerSecond + options.otherDomainsPerSecond);
        CHECK(silentAfter(pace) >= 3 * pace.otherDomains);
    }
}

TEST_CASE("few hosts tell each other every turn, and are silent after a second")
{
    const auto pace = exchangePace(2, 5, {});
    CHECK(pace.ownDomain == milliseconds { 200 });
    CHECK(pace.otherDomains == milliseconds { 200 });
    CHECK(silentAfter(pace) == milliseconds { 1000 });
}
