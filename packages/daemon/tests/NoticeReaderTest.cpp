#include "HostFixture.h"

#include "siskinspread/NoticeReader.h"
#include "siskinspread/RpcMessage.h"

#include <doctest/doctest.h>

namespace siskinspread {

namespace {

    using namespace std::chrono_literals;

    constexpr WallTime wallNow { 1000000s };

    struct NoticeFixture : HostFixture {
        PeerCalls calls { context };
        std::vector<std::string> domain { "a", "b" };
        std::vector<MonotonicTime> own;
        std::vector<std::string> others;
        NoticeReader reader { context,
            { .timers = timers, .calls = calls, .domainHosts = [this] { return domain; }, .onOwnNotice = [this](MonotonicTime endsAt) { own.push_back(endsAt); }, .onNotice = [this](const std::string& host, MonotonicTime) { others.push_back(host); } },
            { .url = "http://cloud" } };

        NoticeFixture()
        {
            context.wall = wallNow;
            reader.start();
        }

        void cloudAnswers(const std::string& body)
        {
            const auto call = platform.take("/notices");
            REQUIRE(call);
            answer(*call, 200, body);
        }

        /** The end of this host, counted from now. */
        std::chrono::milliseconds ownEnd(size_t index) const { return std::chrono::duration_cast<std::chrono::milliseconds>(own.at(index) - context.now); }
    };

    std::string notice(uint64_t sequence, const std::string& host, std::chrono::seconds givenAgo, std::chrono::seconds lead)
    {
        const auto at = std::chrono::duration_cast<std::chrono::milliseconds>((wallNow - givenAgo).time_since_epoch());
        return R"({"seq":)" + std::to_string(sequence) + R"(,"host":")" + host + R"(","at_ms":)" + std::to_string(at.count()) + R"(,"seconds":)" + std::to_string(lead.count()) + "}";
    }

} // namespace

TEST_CASE_FIXTURE(NoticeFixture, "a notice about this host is told with the time that is left, and read only once")
{
    cloudAnswers("[" + notice(3, "a", 2s, 30s) + "]");
    REQUIRE(own.size() == 1);
    CHECK(ownEnd(0) == 28s);
    advance(1s);
    REQUIRE(platform.open.size() == 1);
    CHECK(platform.open.front().transfer.url == "http://cloud/notices?after=3");
    CHECK(others.empty());
}

TEST_CASE_FIXTURE(NoticeFixture, "a notice about an earlier host of this name is ignored, and so are malformed entries")
{
    cloudAnswers("[" + notice(1, "a", 40s, 30s) + R"(,{"seq":"2"},7,{"seq":3,"host":"a","at_ms":1},)" + notice(4, "engine-1", 0s, 30s) + "]");
    CHECK(own.empty());
    CHECK(others == std::vector<std::string> { "engine-1" });
    CHECK(peers.open.empty()); // a backend server is no peer
}

TEST_CASE_FIXTURE(NoticeFixture, "a notice about another entry host is passed on to it until it takes it")
{
    cloudAnswers("[" + notice(1, "c", 1s, 30s) + "]");
    CHECK(others == std::vector<std::string> { "c" });
    const auto lost = peers.take("reclaim_notice");
    REQUIRE(lost);
    CHECK(lost->transfer.body.find("29000") != std::string::npos);
    loseAnswer(*lost);
    advance(1s);
    const auto second = peers.take("reclaim_notice");
    REQUIRE(second);
    answerRpc(*second, "true");
    advance(10s);
    CHECK_FALSE(peers.take("reclaim_notice"));
}

TEST_CASE_FIXTURE(NoticeFixture, "a notice that a peer passes on is taken, one for another host is refused")
{
    CHECK(parseRpcResponse(1, calls.methods().handle(makeRpcRequest(1, "reclaim_notice", R"({"host":"a","time_left_ms":5000})"))).ok());
    REQUIRE(own.size() == 1);
    CHECK(ownEnd(0) == 5s);
    for (const std::string params : { R"({"host":"b","time_left_ms":5000})", R"({"host":"a"})", "[]", R"({"host":7,"time_left_ms":1})" }) {
        CHECK_FALSE(parseRpcResponse(1, calls.methods().handle(makeRpcRequest(1, "reclaim_notice", params))).ok());
    }
    CHECK(own.size() == 1);
}

TEST_CASE_FIXTURE(NoticeFixture, "two hosts of a domain read every second, the others rarely, and a failing cloud API is asked less often")
{
    const NoticeReadingOptions options;
    std::vector<std::string> hosts(47);
    for (size_t i = 0; i < hosts.size(); ++i) {
        hosts[i] = "host-" + std::to_string(i);
    }
    CHECK(std::count_if(hosts.begin(), hosts.end(), [&](const std::string& host) { return isNoticeReader(host, hosts, options); }) == 2);
    CHECK(isNoticeReader("only", { "only" }, options));
    CHECK_FALSE(isNoticeReadDue(false, context.now, options, context.now + 29s));
    CHECK(isNoticeReadDue(false, context.now, options, context.now + 30s));

    int reads = 0;
    for (int second = 0; second < 60; ++second) {
        while (const auto call = platform.take("/notices")) {
            loseAnswer(*call);
            ++reads;
        }
        advance(1s);
    }
    CHECK(reads < 30);
    CHECK(reads > 3);
}

} // namespace siskinspread
