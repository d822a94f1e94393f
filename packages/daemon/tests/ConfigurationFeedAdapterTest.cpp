#include "HostFixture.h"

#include "siskinspread/ConfigurationCodec.h"
#include "siskinspread/ConfigurationFeedAdapter.h"
#include "siskinspread/RpcMessage.h"

#include <doctest/doctest.h>

namespace siskinspread {

namespace {

    std::string configurationText(uint64_t revision)
    {
        schema::Configuration configuration;
        configuration.set_revision(revision);
        configuration.set_publish_id("publish-" + std::to_string(revision));
        return encodeConfiguration(configuration);
    }

    struct FeedFixture : HostFixture {
        PeerCalls calls { context };
        std::vector<uint64_t> enforced;
        ConfigurationFeedAdapter feed { context, timers, { .url = "http://store" }, calls,
            [this](const schema::Configuration& configuration) { enforced.push_back(configuration.revision()); } };

        void storeAnswers(uint64_t version, const std::string& text)
        {
            const auto call = platform.take("/objects/configuration");
            REQUIRE(call);
            answer(*call, 200, text, { { .name = "ETag", .value = '"' + std::to_string(version) + '"' } });
        }

        void startWithRevision(uint64_t revision)
        {
            feed.start();
            storeAnswers(1, configurationText(revision));
            REQUIRE(enforced == std::vector<uint64_t> { revision });
        }

        void hearFrom(const std::string& host, uint64_t revision)
        {
            schema::RevisionAdvertMessage message;
            message.set_host(host);
            message.set_failure_domain("two");
            message.set_revision(revision);
            feed.hear(message);
        }

        void peerSends(const std::string& text)
        {
            const auto call = peers.take("\"configuration\"");
            REQUIRE(call);
            schema::ConfigurationMessage message;
            message.set_text(text);
            answerRpc(*call, peerMessageJson(message));
        }
    };

} // namespace

TEST_CASE("a host that starts while the store is away takes the configuration from a peer")
{
    FeedFixture host;
    host.feed.start();
    loseAnswer(*host.platform.take("/objects/configuration"));
    answerRpc(*host.peers.take("ask_revision"), R"({"inForce": "7", "heardFromAsker": "6"})");
    CHECK(host.enforced.empty());
    host.peerSends(configurationText(7));
    CHECK(host.enforced.empty()); // the other peer may know a later one
    host.advance(std::chrono::seconds(4));
    CHECK(host.enforced == std::vector<uint64_t> { 7 });
    CHECK(host.feed.advert().revision() == 7);
}

TEST_CASE("the body is fetched only from a peer that is ahead, and an older one is refused")
{
    FeedFixture host;
    host.startWithRevision(5);
    host.hearFrom("c", 5);
    CHECK_FALSE(host.peers.take("\"configuration\""));
    host.hearFrom("c", 6);
    host.peerSends(configurationText(4)); // it fell back meanwhile
    CHECK(host.enforced == std::vector<uint64_t> { 5 });
    host.hearFrom("c", 6);
    host.peerSends(configurationText(6));
    CHECK(host.enforced == std::vector<uint64_t> { 5, 6 });
    CHECK(host.feed.revisionAt("c") == 6);
}

TEST_CASE("an invalid configuration leaves the one in force, and the next valid one replaces it")
{
    FeedFixture host;
    host.startWithRevision(5);
    host.advance(std::chrono::seconds(1));
    host.storeAnswers(2, "{ not a configuration");
    CHECK(host.enforced == std::vector<uint64_t> { 5 });
    host.advance(std::chrono::seconds(4));
    REQUIRE_FALSE(host.platform.open.empty());
    CHECK(host.platform.open.front().transfer.url.find("watch_after=2") != std::string::npos);
    host.storeAnswers(3, configurationText(7));
    CHECK(host.enforced == std::vector<uint64_t> { 5, 7 });
}

TEST_CASE("a peer gets the bytes in force unchanged, and an advert is answered by one")
{
    FeedFixture host;
    host.startWithRevision(5);
    const RpcOutcome body = parseRpcResponse(1, host.calls.methods().handle(makeRpcRequest(1, "configuration", "{}")));
    schema::ConfigurationMessage message;
    REQUIRE(readPeerMessage(body.resultJson, message));
    CHECK(message.text() == configurationText(5));
    const RpcOutcome advert = parseRpcResponse(2, host.calls.methods().handle(makeRpcRequest(2, "advert", R"({"host": "b", "failureDomain": "one", "revision": "5"})")));
    schema::RevisionAdvertMessage answer;
    REQUIRE(readPeerMessage(advert.resultJson, answer));
    CHECK(answer.revision() == 5);
    CHECK(answer.store_contact_host() == "a");
}

} // namespace siskinspread
