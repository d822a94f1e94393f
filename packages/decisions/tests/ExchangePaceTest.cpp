#include "siskinspread/ExchangePace.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

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

namespace {

/** @return the longest time without a message of any of `senders` hosts towards one receiver. */
milliseconds longestGap(const std::string& domain, size_t senders, const std::string& receiver, milliseconds turn)
{
    std::vector<milliseconds> at;
    for (size_t number = 0; number < senders; ++number) {
        at.push_back(phaseInTurn(domain + "-" + std::to_string(number), receiver, turn));
    }
    std::sort(at.begin(), at.end());
    auto longest = at.front() + turn - at.back();
    for (size_t index = 1; index < at.size(); ++index) {
        longest = std::max(longest, at[index] - at[index - 1]);
    }
    return longest;
}

} // namespace

TEST_CASE("the hosts of a domain tell each receiver in turn, so that none seems cut off that is not")
{
    const milliseconds tick { 50 }; // a message may be late by that much
    for (const size_t hosts : { 7U, 77U, 295U, 380U }) {
        CAPTURE(hosts);
        const size_t domains = 6;
        const size_t perDomain = std::max<size_t>(1, hosts / domains);
        const auto turn = exchangePace(perDomain - 1, hosts - perDomain, {}).otherDomains;
        const auto bound = domainSilentAfter(turn, perDomain);
        for (size_t domain = 1; domain < domains; ++domain) {
            for (size_t receiver = 0; receiver < perDomain; ++receiver) {
                const auto gap = longestGap("front-" + std::to_string(domain), perDomain, "front-0-" + std::to_string(receiver), turn);
                CHECK(gap + tick < bound);
            }
        }
    }
}

TEST_CASE("a domain seems cut off after a second or less where many hosts tell of it, later where few do so rarely")
{
    CHECK(domainSilentAfter(milliseconds { 200 }, 1) == milliseconds { 700 });
    CHECK(domainSilentAfter(milliseconds { 2700 }, 49) < milliseconds { 1000 });
    CHECK(domainSilentAfter(milliseconds { 3300 }, 5) > 2 * milliseconds { 3300 });
    CHECK(domainSilentAfter(milliseconds { 3300 }, 0) >= 3 * milliseconds { 3300 });
}

TEST_CASE("followers hear news of the store several times within the time after which they ask it themselves")
{
    for (const size_t own : { 4U, 26U, 49U, 61U }) {
        CHECK(exchangePace(own, 300, {}).news <= milliseconds { 400 });
    }
}
