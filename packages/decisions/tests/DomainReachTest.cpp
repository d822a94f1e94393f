#include "siskinspread/DomainReach.h"

#include <doctest/doctest.h>

using namespace siskinspread;
using std::chrono::milliseconds;

namespace {

const MonotonicTime start { std::chrono::hours { 1 } };
const DomainReachOptions options;

} // namespace

TEST_CASE("a domain of which nothing is known is not doubted")
{
    CHECK_FALSE(isReachDoubted({}, options, start));
}

TEST_CASE("silent hosts cast doubt on a domain until they are heard again, unless its replicas are heard")
{
    DomainReach reach;
    noteDomainPeer(reach, start);
    CHECK_FALSE(isReachDoubted(reach, options, start + milliseconds { 699 }));
    CHECK(isReachDoubted(reach, options, start + milliseconds { 700 }));
    noteDomainBytes(reach, start + milliseconds { 800 });
    CHECK_FALSE(isReachDoubted(reach, options, start + milliseconds { 900 }));
    CHECK(isReachDoubted(reach, options, start + milliseconds { 1100 }));
    noteDomainPeer(reach, start + milliseconds { 5000 });
    CHECK_FALSE(isReachDoubted(reach, options, start + milliseconds { 5100 }));
}

TEST_CASE("connections that nobody answers cast doubt for a while, one alone does not")
{
    DomainReach reach;
    noteDomainTimeout(reach, start);
    CHECK_FALSE(isReachDoubted(reach, options, start));
    noteDomainTimeout(reach, start);
    CHECK(isReachDoubted(reach, options, start));
    CHECK_FALSE(isReachDoubted(reach, options, start + options.retryAfter));
    noteDomainBytes(reach, start + options.retryAfter);
    noteDomainTimeout(reach, start + options.retryAfter * 2);
    CHECK_FALSE(isReachDoubted(reach, options, start + options.retryAfter * 2));
}
