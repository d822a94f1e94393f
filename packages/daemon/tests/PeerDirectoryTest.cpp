#include "HostFixture.h"

#include "siskinspread/PeerDirectory.h"

#include <doctest/doctest.h>

namespace siskinspread {

namespace {

    using namespace std::chrono_literals;

    const IncarnationId peer { "b.1" };

    struct DirectoryFixture : HostFixture {
        PeerCalls calls { context };
        PeerDirectory directory { context, timers, calls };

        DirectoryFixture()
        {
            directory.start();
            answerRpc(*peers.take(":3002/"), "\"b.1\"");
            REQUIRE(directory.live().size() == 2);
        }
    };

} // namespace

TEST_CASE_FIXTURE(DirectoryFixture, "a peer that does not answer for five seconds is held to have ended")
{
    advance(4900ms);
    CHECK(directory.ended().empty());
    advance(1100ms);
    CHECK(directory.ended().contains(peer));
    CHECK(directory.live().size() == 1);
}

TEST_CASE_FIXTURE(DirectoryFixture, "a host that was paused itself does not hold its peers to have ended")
{
    advance(1s);
    context.now += 60s;
    timers.run(context.now);
    CHECK(directory.ended().empty());
    CHECK(directory.live().size() == 2);
    advance(3s);
    CHECK(directory.ended().empty());
    advance(3s);
    CHECK(directory.ended().contains(peer));
}

} // namespace siskinspread
