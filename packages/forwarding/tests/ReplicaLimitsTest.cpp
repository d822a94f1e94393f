#include "siskinspread/ReplicaLimits.h"

#include <doctest/doctest.h>

#include <limits>

using namespace siskinspread;
using std::chrono::milliseconds;

namespace {

constexpr uint64_t replica = 77;

} // namespace

TEST_CASE("a limit that another host tells and that cannot be kept is passed over")
{
    for (const double limit : { -1.0, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity() }) {
        ReplicaLimits limits { "host-1" };
        CHECK_FALSE(limits.noteTold(replica, { .requestsPerSecond = limit, .at = BootClock::now() }));
        CHECK(limits.mayCall(replica));
    }
}

TEST_CASE("the largest and the smallest limit can be kept")
{
    ReplicaLimits limits { "host-1" };
    limits.noteNamed(replica, std::numeric_limits<double>::max());
    CHECK(limits.find(replica)->holders == 1);
    CHECK(callsWithin(*limits.find(replica), milliseconds { 100 }, BootClock::now()) > 0);
    limits.noteNamed(replica, 0.0);
    CHECK(callsWithin(*limits.find(replica), milliseconds { 100 }, BootClock::now()) < 100);
}

TEST_CASE("a host makes no calls to a replica with a limit before the other hosts know it")
{
    ReplicaLimits limits { "host-1" };
    limits.setSettlingTime(std::chrono::minutes { 5 });
    limits.noteNamed(replica, 1e5);
    CHECK(limits.find(replica)->holdsShare);
    CHECK_FALSE(limits.mayCall(replica));
    CHECK(callsWithin(*limits.find(replica), std::chrono::minutes { 4 }, BootClock::now()) == 0);
}

TEST_CASE("the end of a limit is remembered for a while and a limit for as long as its replica may be there")
{
    ReplicaLimits limits { "host-1" };
    CHECK_FALSE(limits.noteUnnamed(replica, BootClock::now())); // nothing is remembered of replicas that never named one
    CHECK(limits.all().empty());
    limits.noteNamed(replica, 2.0);
    CHECK(limits.namedCount() == 1);
    CHECK(limits.noteUnnamed(replica, BootClock::now() + milliseconds { 1 }));
    limits.review();
    CHECK(limits.namedCount() == 0);
    CHECK(limits.all().size() == 1);
    CHECK(limits.noteTold(replica + 1, { .requestsPerSecond = 2.0, .at = BootClock::now() - std::chrono::hours { 1 } }));
    limits.review();
    CHECK(limits.all().size() == 1);
}
