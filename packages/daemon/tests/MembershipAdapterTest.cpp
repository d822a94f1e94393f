#include "HostFixture.h"

#include "siskinspread/ConfigurationFeedAdapter.h"
#include "siskinspread/HeartbeatCodec.h"
#include "siskinspread/MembershipAdapter.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace siskinspread {

namespace {

    MemberRecord recordOf(const std::string& host, const std::string& domain, uint32_t number)
    {
        return { .address = "127.0.0.1:" + std::to_string(4000 + number), .host = host, .failureDomain = domain, .incarnation = host + ".1" };
    }

    struct MembershipFixture : HostFixture {
        PeerCalls calls { context };
        RecordedDatagrams heartbeats;
        ConfigurationFeedAdapter feed { context, timers, { .url = "http://store" }, calls, [](const schema::Configuration&) {} };
        MembershipAdapter membership { context, timers, calls, heartbeats, feed };

        void receive(const MembershipMessage& message, uint64_t revision = 0)
        {
            const RevisionAdvert advert { .revision = revision, .storeContactAge = std::nullopt, .storeContactHost = {} };
            const auto bytes = heartbeatMessage(message, advertMessage(message.sender.host, message.sender.failureDomain, advert)).SerializeAsString();
            membership.receive({ .address = message.sender.address, .bytes = bytes });
        }

        bool hasSent(const std::string& address, schema::HeartbeatMessage::BodyCase body) const
        {
            return std::any_of(heartbeats.sent.begin(), heartbeats.sent.end(), [&](const Datagram& datagram) {
                schema::HeartbeatMessage message;
                return datagram.address == address && message.ParseFromString(datagram.bytes) && message.body_case() == body;
            });
        }
    };

    bool isKnown(const std::vector<KnownIncarnation>& known, const std::string& host, MemberStatus status)
    {
        return std::any_of(known.begin(), known.end(), [&](const KnownIncarnation& k) { return k.host == host && k.status == status; });
    }

} // namespace

TEST_CASE("a ping is answered, makes its sender known and brings its revision")
{
    MembershipFixture host;
    host.membership.start();
    host.receive({ .sender = recordOf("b", "one", 2), .views = {}, .rumours = {}, .body = Ping { .sequence = 9 } }, 4);
    CHECK(host.hasSent("127.0.0.1:4002", schema::HeartbeatMessage::kPingAck));
    CHECK(isKnown(host.membership.liveIncarnations(), "b", MemberStatus::Alive));
    CHECK(host.feed.revisionAt("b") == 4);
    CHECK(host.membership.liveIncarnations().front().incarnation == host.context.incarnation);
}

TEST_CASE("a silent host is suspected before it is dead, and one that says so has left")
{
    MembershipFixture host;
    host.membership.start();
    host.receive({ .sender = recordOf("b", "one", 2), .views = {}, .rumours = {}, .body = Ping {} });
    host.advance(std::chrono::seconds(4));
    CHECK(isKnown(host.membership.liveIncarnations(), "b", MemberStatus::Suspect));
    host.advance(std::chrono::seconds(10));
    CHECK(isKnown(host.membership.knownIncarnations(), "b", MemberStatus::Dead));
    CHECK_FALSE(isKnown(host.membership.liveIncarnations(), "b", MemberStatus::Dead));

    MemberRecord leaving = recordOf("c", "two", 3);
    host.receive({ .sender = leaving, .views = {}, .rumours = {}, .body = Ping {} });
    CHECK(isKnown(host.membership.liveIncarnations(), "c", MemberStatus::Alive));
    leaving.status = MemberStatus::Left;
    host.receive({ .sender = leaving, .views = {}, .rumours = {}, .body = Ping {} });
    CHECK(isKnown(host.membership.knownIncarnations(), "c", MemberStatus::Left));
}

TEST_CASE("records that do not fit a datagram go by JSON-RPC")
{
    MembershipFixture host;
    host.membership.start();
    DomainRecordsRequest request { .failureDomain = "one", .records = {} };
    for (uint32_t i = 2; i < 60; ++i) {
        request.records.push_back(recordOf("host-with-a-long-name-" + std::to_string(i), "one", i));
    }
    host.receive({ .sender = recordOf("b", "one", 2), .views = {}, .rumours = {}, .body = request });
    CHECK(host.peers.take("\"membership\""));
    CHECK(std::all_of(host.heartbeats.sent.begin(), host.heartbeats.sent.end(), [](const Datagram& datagram) { return datagram.bytes.size() <= 1400; }));
}

TEST_CASE("a full ring is counted and does not stop the probes")
{
    MembershipFixture host;
    host.heartbeats.isFull = true;
    host.membership.start();
    host.advance(std::chrono::seconds(6));
    CHECK(host.heartbeats.sent.empty());
    host.heartbeats.isFull = false;
    host.advance(std::chrono::seconds(6));
    CHECK_FALSE(host.heartbeats.sent.empty());
}

TEST_CASE("malformed heartbeats are ignored")
{
    MembershipFixture host;
    host.membership.start();
    CHECK(rc::check("bytes without meaning", [&](const std::string& bytes) {
        host.membership.receive({ .address = "127.0.0.1:4002", .bytes = bytes });
        RC_ASSERT(host.membership.knownIncarnations().size() == 1);
    }));
    MemberRecord record = recordOf("b", "one", 2);
    record.status = static_cast<MemberStatus>(9);
    host.receive({ .sender = record, .views = {}, .rumours = {}, .body = Ping {} });
    CHECK(host.membership.knownIncarnations().size() == 1);
}

} // namespace siskinspread
