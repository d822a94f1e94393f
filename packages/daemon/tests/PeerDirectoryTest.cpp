#include "HostFixture.h"

#include "siskinspread/HeartbeatCodec.h"
#include "siskinspread/PeerDirectory.h"
#include "siskinspread/RpcMessage.h"

#include <doctest/doctest.h>

namespace siskinspread {

namespace {

    using namespace std::chrono_literals;

    const IncarnationId near { "b.1" };
    const IncarnationId far { "c.1" };

    /** Host "a" has heard of "b" in its domain and of "c" in the other one. */
    struct DirectoryFixture : HostFixture {
        PeerCalls calls { context };
        RecordedDatagrams heartbeats;
        ConfigurationFeedAdapter feed { context, timers, { .url = "http://store" }, calls, [](const schema::Configuration&) {} };
        MembershipAdapter membership { context, timers, calls, heartbeats, feed };
        PeerDirectory directory { context, { .timers = timers, .calls = calls, .membership = membership }, { .url = "http://cloud" } };

        DirectoryFixture()
        {
            membership.start();
            directory.start();
            hear(near, "one", 2);
            hear(far, "two", 3);
            advance(250ms);
            REQUIRE(directory.live().size() == 3);
        }

        /** The host of the incarnation answers all its pings that are on the way. */
        void hear(const IncarnationId& incarnation, const std::string& domain, uint32_t number)
        {
            const std::string address = "127.0.0.1:" + std::to_string(4000 + number);
            const MemberRecord sender { .address = address, .host = hostOf(incarnation), .failureDomain = domain, .incarnation = incarnation.text };
            const std::vector<Datagram> sent = heartbeats.sent;
            std::erase_if(heartbeats.sent, [&](const Datagram& datagram) { return datagram.address == address; });
            for (const Datagram& datagram : sent) {
                schema::HeartbeatMessage message;
                if (datagram.address == address && message.ParseFromString(datagram.bytes)) {
                    const MembershipMessage ack { .sender = sender, .views = { { .failureDomain = domain } }, .rumours = {}, .body = PingAck { .sequence = message.ping().sequence() } };
                    membership.receive({ .address = address, .bytes = heartbeatMessage(ack, {}).SerializeAsString() });
                }
            }
        }

        void advanceHearing(const IncarnationId& incarnation, const std::string& domain, uint32_t number, std::chrono::milliseconds time)
        {
            for (const MonotonicTime end = context.now + time; context.now < end;) {
                advance(100ms);
                hear(incarnation, domain, number);
            }
        }
    };

} // namespace

TEST_CASE_FIXTURE(DirectoryFixture, "a silent peer of the own domain ends when its suspicion has run out")
{
    directory.expect({ near, far });
    advanceHearing(far, "two", 3, 6s);
    CHECK(directory.ended().empty());
    CHECK(directory.live().size() == 2);
    advanceHearing(far, "two", 3, 4s);
    CHECK(directory.ended() == std::set { near });
    CHECK(directory.isLost(near));
    CHECK_FALSE(directory.isGone(near));
}

TEST_CASE_FIXTURE(DirectoryFixture, "a host that was paused itself does not hold its peers to have ended")
{
    advance(1s);
    context.now += 60s;
    timers.run(context.now);
    CHECK(directory.ended().empty());
    advance(20s);
    CHECK(directory.ended().empty()); // nobody answered it since
}

TEST_CASE_FIXTURE(DirectoryFixture, "the cloud API is asked about a peer out of reach, at intervals, and its word ends the peer")
{
    advanceHearing(near, "one", 2, 10s);
    CHECK_FALSE(platform.take("http://cloud/hosts/c")); // it owns no slices and holds no copies
    directory.awaitVerdict(far);
    advanceHearing(near, "one", 2, 1s);
    CHECK(directory.ended().empty());
    CHECK(directory.isLost(far));
    auto asked = platform.take("http://cloud/hosts/c");
    REQUIRE(asked);
    CHECK_FALSE(platform.take("http://cloud/hosts/c"));
    answer(*asked, 200, R"({"name":"c","state":"running"})");
    advanceHearing(near, "one", 2, 29s);
    CHECK(directory.ended().empty());
    advanceHearing(near, "one", 2, 2s);
    asked = platform.take("http://cloud/hosts/c");
    REQUIRE(asked);
    answer(*asked, 200, R"({"name":"c","state":"ended"})");
    advanceHearing(near, "one", 2, 1s);
    CHECK(directory.ended() == std::set { far });
    CHECK(directory.isGone(far));
}

TEST_CASE_FIXTURE(DirectoryFixture, "a goodbye ends an incarnation at once")
{
    REQUIRE(parseRpcResponse(1, calls.methods().handle(makeRpcRequest(1, "goodbye", R"({"incarnation":"b.1"})"))).ok());
    advance(250ms);
    CHECK(directory.ended() == std::set { near });
    CHECK(directory.live().size() == 2);
}

} // namespace siskinspread
