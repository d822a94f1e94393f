#include "HostFixture.h"

#include "siskinspread/EndedServers.h"
#include "siskinspread/HostListReader.h"

#include <doctest/doctest.h>

namespace siskinspread {

namespace {

    using namespace std::chrono_literals;

    struct ListFixture : HostFixture {
        std::vector<std::string> domain { "a" };
        std::vector<std::vector<ListedHost>> lists;
        HostListReader reader { context,
            { .timers = timers, .domainHosts = [this] { return domain; }, .onList = [this](const std::vector<ListedHost>& hosts) { lists.push_back(hosts); } },
            { .url = "http://platform" } };

        ListFixture()
        {
            settings.mutable_platform()->set_host_list_interval_ms(30'000);
            reader.start();
        }
    };

} // namespace

TEST_CASE_FIXTURE(ListFixture, "the list is read in its interval, and an entry that is malformed is left out")
{
    const auto call = platform.take("http://platform/host-list");
    REQUIRE(call);
    answer(*call, 200, R"([{"name":"e0","state":"running","notice_at_ms":null},{"name":"e1","state":"leaving","notice_at_ms":1500},{"name":7},[],{"name":"e2","state":"leaving","notice_at_ms":-1}])");
    REQUIRE(lists.size() == 1);
    REQUIRE(lists[0].size() == 3);
    CHECK_FALSE(lists[0][0].leaving);
    CHECK(lists[0][1].leaving);
    CHECK(lists[0][1].noticeAt == WallTime { 1500ms });
    CHECK_FALSE(lists[0][2].noticeAt);
    advance(29s);
    CHECK(platform.open.empty());
    advance(2s);
    CHECK(platform.open.size() == 1);
}

TEST_CASE_FIXTURE(ListFixture, "a list that does not answer is asked less often and changes nothing, and a host that is no reader asks not at all")
{
    int reads = 0;
    for (int second = 0; second < 600; ++second) {
        while (const auto call = platform.take("/host-list")) {
            ++reads % 2 ? loseAnswer(*call) : answer(*call, 200, "{}");
        }
        advance(1s);
    }
    CHECK(lists.empty());
    CHECK(reads > 10);
    CHECK(reads < 60);
    domain = { "c", "d", "e" };
    if (const auto call = platform.take("/host-list")) {
        loseAnswer(*call);
    }
    advance(120s);
    CHECK(platform.open.empty());
}

TEST_CASE_FIXTURE(ListFixture, "the cloud is asked about a server only while nobody reaches it, and only its word counts")
{
    std::vector<ServerEnded> unreachable;
    std::vector<std::string> ended;
    EndedServers servers { context, { .timers = timers, .isReader = [] { return true; }, .unreachable = [&] { return unreachable; }, .onEnded = [&](const ServerEnded& run) { ended.push_back(run.server + run.instance); } }, { .url = "http://cloud" } };
    servers.start();
    advance(100s);
    CHECK_FALSE(platform.take("http://cloud/hosts"));
    unreachable = { { .server = "e0", .instance = "run1" }, { .server = "e1", .instance = "run1" }, { .server = "e2", .instance = "run1" } };
    advance(1s);
    loseAnswer(platform.take("http://cloud/hosts").value());
    CHECK(ended.empty());
    advance(31s);
    answer(platform.take("http://cloud/hosts").value(), 200, R"([{"name":"e0","state":"ended"},{"name":"e1","state":"leaving"},{"name":"e3","state":"ended"},{"name":"e2"}])");
    CHECK(ended == std::vector<std::string> { "e0run1" });
}

} // namespace siskinspread
