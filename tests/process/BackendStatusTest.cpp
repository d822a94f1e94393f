#include "support/Deployment.h"
#include "support/Eventually.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <future>

using namespace siskinspread::testing;
using nlohmann::json;

namespace {

constexpr uint64_t shortAnswer = 4;

uint64_t total(const Deployment& deployment, size_t engine, const char* counter)
{
    return json::parse(httpCall({ .url = deployment.engine(engine).url("/control/totals") }).body).at(counter).get<uint64_t>();
}

void waitForState(const Deployment& deployment, const std::string& server, const std::string& state)
{
    const std::string description = "all hosts see " + server + " as " + state;
    for (size_t host = 0; host < deployment.hostCount(); ++host) {
        eventually(description, [&] { return deployment.backendServer(host, server).value("state", "") == state; });
    }
}

double listReads(const Deployment& deployment, size_t host)
{
    return deployment.metric(host, R"(siskinspread_store_calls_total{)", R"(outcome="answered",purpose="host_list")");
}

/** With two hosts in a domain both read the platform's list. */
void waitForListReads(const Deployment& deployment, double count)
{
    std::vector<double> wanted;
    for (size_t host = 0; host < deployment.hostCount(); ++host) {
        wanted.push_back(listReads(deployment, host) + count);
    }
    for (size_t host = 0; host < deployment.hostCount(); ++host) {
        eventually("the host has read the platform's list again", [&] { return listReads(deployment, host) >= wanted[host]; });
    }
}

/** A list's word of a leave counts against a run that had shown itself 5 s earlier. */
void waitForClockTolerance(const Deployment& deployment)
{
    waitForListReads(deployment, 12);
}

/** Sends requests of different prompts to a host and checks that each gets its whole answer. @return the attempts of each. */
std::vector<int> sendToHost(const Deployment& deployment, size_t host, const std::string& content, int requests)
{
    std::vector<int> attempts;
    for (int i = 0; i < requests; ++i) {
        CAPTURE(content);
        CAPTURE(host);
        const auto stream = httpStream(deployment.chat(host, content + " " + std::to_string(i) + " at " + std::to_string(host), shortAnswer));
        CHECK(stream.response.status == 200);
        CHECK(stream.response.isComplete);
        CHECK(stream.events.size() == shortAnswer + 2);
        attempts.push_back(deployment.account(host, stream.response.header("x-request-id")).at("attempts").get<int>());
    }
    return attempts;
}

/** Sends requests of different prompts to every host and checks that each gets its whole answer at the first attempt. */
void sendToAllHosts(const Deployment& deployment, const std::string& content, int requestsPerHost)
{
    for (size_t host = 0; host < deployment.hostCount(); ++host) {
        for (const int attempts : sendToHost(deployment, host, content, requestsPerHost)) {
            CAPTURE(content);
            CAPTURE(host);
            CHECK(attempts == 1);
        }
    }
}

double milliseconds(std::chrono::steady_clock::duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

} // namespace

TEST_CASE("a leaving engine gets nothing more from any of four hosts in two failure domains")
{
    const Deployment deployment { { .hostsPerFailureDomain = 2, .engines = 3 } };
    waitForState(deployment, "engine-0", "live");
    sendToAllHosts(deployment, "before", 2);

    const auto begin = std::chrono::steady_clock::now();
    deployment.engine(0).setFaults(R"({"leaving": true})");
    waitForState(deployment, "engine-0", "leaving");
    MESSAGE("all four hosts saw the leave after " << milliseconds(std::chrono::steady_clock::now() - begin) << " ms");
    const uint64_t started = total(deployment, 0, "started");
    const uint64_t refused = total(deployment, 0, "refused");
    sendToAllHosts(deployment, "after", 5);
    CHECK(total(deployment, 0, "started") == started);
    CHECK(total(deployment, 0, "refused") == refused);
}

TEST_CASE("the cloud's notice takes an engine out at every host before the engine itself says anything")
{
    const Deployment deployment { { .hostsPerFailureDomain = 2, .engines = 3, .cloud = true } };
    waitForState(deployment, "engine-0", "live");
    deployment.giveNotice({ { "hosts", { "engine-0" } }, { "seconds", 600 } });
    waitForState(deployment, "engine-0", "leaving");
    const uint64_t started = total(deployment, 0, "started");
    sendToAllHosts(deployment, "after the notice", 3);
    CHECK(total(deployment, 0, "started") == started);
}

TEST_CASE("the platform's list alone takes a leaving engine out, and takes no later run out while it still tells of the leave")
{
    Deployment deployment { { .hostsPerFailureDomain = 2, .engines = 3, .cloud = true } };
    deployment.cloud().setFaults(R"({"hold_notices": true})");
    waitForState(deployment, "engine-0", "live");
    waitForClockTolerance(deployment);
    deployment.giveNotice({ { "hosts", { "engine-0" } }, { "seconds", 600 } });
    waitForState(deployment, "engine-0", "leaving");
    const uint64_t started = total(deployment, 0, "started");
    sendToAllHosts(deployment, "after the list", 3);
    CHECK(total(deployment, 0, "started") == started);

    deployment.cloud().setFaults(R"({"freeze_list": true})");
    deployment.restartEngine(0);
    waitForState(deployment, "engine-0", "live");
    waitForListReads(deployment, 10);
    waitForState(deployment, "engine-0", "live");
}

TEST_CASE("a list that says live brings neither a leaving nor a dead engine back, and one that misses all engines takes none out")
{
    Deployment deployment { { .hostsPerFailureDomain = 2, .engines = 4, .cloud = true } };
    waitForState(deployment, "engine-3", "live");
    deployment.cloud().setFaults(R"({"freeze_list": true})");
    deployment.engine(0).setFaults(R"({"leaving": true})");
    deployment.engine(1).process().kill();
    waitForState(deployment, "engine-0", "leaving");
    waitForState(deployment, "engine-1", "unreachable");
    waitForListReads(deployment, 4);
    const uint64_t started = total(deployment, 0, "started");
    sendToAllHosts(deployment, "a list that lags", 3);
    CHECK(total(deployment, 0, "started") == started);

    const Deployment unlisted { { .hostsPerFailureDomain = 2, .engines = 2, .cloud = true, .cloudArguments = { "--list-lag-ms", "600000" } } };
    waitForState(unlisted, "engine-0", "live");
    waitForListReads(unlisted, 4);
    sendToAllHosts(unlisted, "an empty list", 3);
    waitForState(unlisted, "engine-0", "live");
    waitForState(unlisted, "engine-1", "live");
}

TEST_CASE("an engine that one of its two observers does not reach stays in use at the others, and that host goes elsewhere")
{
    const Deployment deployment { { .hostsPerFailureDomain = 2, .engines = 3 } };
    for (const std::string engine : { "engine-0", "engine-1", "engine-2" }) {
        waitForState(deployment, engine, "live");
    }
    constexpr size_t cutOff = 0; // it observes engine-0, as both hosts of domain-0 do
    deployment.engine(0).setFaults(json { { "unreachable_for", { deployment.host(cutOff).name } } }.dump());
    const auto failedProbes = [&] { return deployment.metric(cutOff, "siskinspread_backend_probes_total", R"(outcome="unreached")"); };
    const double before = failedProbes();
    eventually("its observations have gone round for longer than others stay fresh", [&] { return failedProbes() >= before + 8; });
    waitForState(deployment, "engine-0", "live");
    const uint64_t started = total(deployment, 0, "started");
    for (size_t host = 0; host < deployment.hostCount(); ++host) {
        const auto attempts = sendToHost(deployment, host, "asymmetric", 20);
        const auto retried = std::count_if(attempts.begin(), attempts.end(), [](int count) { return count > 1; });
        MESSAGE("host " << host << ": " << retried << " of 20 requests took a second attempt");
        CHECK(*std::max_element(attempts.begin(), attempts.end()) <= (host == cutOff ? 2 : 1));
    }
    CHECK(total(deployment, 0, "started") > started);
    waitForState(deployment, "engine-0", "live");
}

TEST_CASE("an engine that nobody reaches is gone at all hosts once the cloud says that its host has ended, and comes back as a new run")
{
    Deployment deployment { { .hostsPerFailureDomain = 2, .engines = 3, .cloud = true } };
    for (const std::string engine : { "engine-0", "engine-1", "engine-2" }) {
        waitForState(deployment, engine, "live");
    }
    deployment.cloud().setFaults(R"({"freeze_list": true})"); // it goes on naming all
    deployment.engine(0).process().kill();
    deployment.engine(1).process().kill();
    waitForState(deployment, "engine-0", "unreachable");
    waitForState(deployment, "engine-1", "unreachable");
    httpCall({ .method = "POST", .url = deployment.cloud().url("/control/ended"), .body = json { { "hosts", { "engine-0" } } }.dump() });
    waitForState(deployment, "engine-0", "gone");
    waitForState(deployment, "engine-1", "unreachable");
    deployment.restartEngine(0);
    waitForState(deployment, "engine-0", "live");
}

TEST_CASE("an engine's own refusal takes it out at the host that got it and at the others")
{
    // The published load is so old that no probe tells of the leave.
    const Deployment deployment { { .failureDomains = 1, .hostsPerFailureDomain = 4, .engines = 1, .engineArguments = { "--between-tokens-ms", "2", "--load-lag-ms", "600000" } } };
    waitForState(deployment, "engine-0", "live");
    deployment.engine(0).setFaults(R"({"leaving": true})");
    CHECK(httpStream(deployment.chat(1, "a refused one", shortAnswer)).response.status != 200);
    waitForState(deployment, "engine-0", "leaving");
}

TEST_CASE("a killed engine gets nothing more once its observers say so, and a new run at its address gets work again")
{
    Deployment deployment { { .hostsPerFailureDomain = 2, .engines = 2 } };
    waitForState(deployment, "engine-0", "live");
    waitForState(deployment, "engine-1", "live");
    const auto begin = std::chrono::steady_clock::now();
    deployment.engine(0).process().kill();
    waitForState(deployment, "engine-0", "unreachable");
    MESSAGE("all four hosts saw the end after " << milliseconds(std::chrono::steady_clock::now() - begin) << " ms");
    sendToAllHosts(deployment, "without it", 3);

    deployment.restartEngine(0);
    waitForState(deployment, "engine-0", "live");
    int sent = 0;
    eventually("the new run gets work", [&] {
        sendToAllHosts(deployment, "with it again " + std::to_string(++sent), 1);
        return total(deployment, 0, "started") > 0;
    });
}

TEST_CASE("an engine that left gets work again as a new run")
{
    Deployment deployment { { .failureDomains = 1, .hostsPerFailureDomain = 2, .engines = 1 } };
    deployment.engine(0).setFaults(R"({"leaving": true})");
    waitForState(deployment, "engine-0", "leaving");
    deployment.engine(0).setFaults(R"({"leaving": false})"); // the same run does not come back
    CHECK(httpStream(deployment.chat(0, "refused", shortAnswer)).response.status == 503);
    deployment.restartEngine(0);
    waitForState(deployment, "engine-0", "live");
    sendToAllHosts(deployment, "a new run", 1);
}

TEST_CASE("an engine that reports a high load gets fewer of the next requests from every host")
{
    const Deployment deployment { { .failureDomains = 1, .hostsPerFailureDomain = 4 } };
    waitForState(deployment, "engine-0", "live");
    waitForState(deployment, "engine-1", "live");
    sendToAllHosts(deployment, "idle", 5);
    const uint64_t whenIdle = total(deployment, 0, "started");
    REQUIRE(whenIdle > 0);

    // Others than the hosts load the engine, so that only its report tells.
    constexpr size_t loadRequests = 16;
    std::atomic<bool> isOver { false };
    std::vector<std::future<void>> load;
    for (size_t i = 0; i < loadRequests; ++i) {
        HttpRequest request = deployment.chat(0, "load " + std::to_string(i), 1'000'000);
        request.url = deployment.engine(0).url("/v1/chat/completions");
        load.push_back(std::async(std::launch::async, [&isOver, request] { httpStream(request, [&isOver](const ServerSentEvent&, size_t) { return !isOver.load(); }); }));
    }
    for (size_t host = 0; host < deployment.hostCount(); ++host) {
        eventually("the host knows of the load", [&] { return deployment.backendServer(host, "engine-0").value("reported_requests", uint64_t { 0 }) == loadRequests; });
    }
    const uint64_t before = total(deployment, 0, "started");
    const uint64_t otherBefore = total(deployment, 1, "started");
    sendToAllHosts(deployment, "loaded", 5);
    MESSAGE("of 20 requests the loaded engine got " << total(deployment, 0, "started") - before << ", and " << whenIdle << " of 20 when it was idle");
    CHECK(total(deployment, 0, "started") - before < total(deployment, 1, "started") - otherBefore);
    CHECK(total(deployment, 0, "started") - before < whenIdle);
    isOver = true;
    deployment.engine(0).setFaults(R"({"down": true})"); // ends the queued ones too
}

TEST_CASE("news of four engines costs each of four hosts, in one failure domain or two, less than a node's allowance for control")
{
    size_t failureDomains = 1;
    SUBCASE("one failure domain") { }
    SUBCASE("two failure domains") { failureDomains = 2; }
    const Deployment deployment { { .failureDomains = failureDomains, .hostsPerFailureDomain = 4 / failureDomains, .engines = 4 } };
    waitForState(deployment, "engine-3", "live");
    const auto count = [&](size_t host, const char* name) { return deployment.metric(host, name, "sent") + deployment.metric(host, name, "received"); };
    constexpr double bytesPerSecondAllowed = 25'000;
    // Which hosts observe is drawn anew with each incarnation; over all hosts there are at least three datagrams a second.
    constexpr double datagrams = 60;
    std::vector<double> before;
    for (size_t host = 0; host < deployment.hostCount(); ++host) {
        before.push_back(count(host, "siskinspread_backend_news_bytes_total"));
    }
    const auto allDatagrams = [&] {
        double total = 0;
        for (size_t host = 0; host < deployment.hostCount(); ++host) {
            total += count(host, "siskinspread_backend_news_total");
        }
        return total;
    };
    const double datagramsBefore = allDatagrams();
    const auto begin = std::chrono::steady_clock::now();
    eventually("the hosts have sent and received more news", [&] { return allDatagrams() >= datagramsBefore + datagrams; });
    const double seconds = milliseconds(std::chrono::steady_clock::now() - begin) / 1000;
    for (size_t host = 0; host < deployment.hostCount(); ++host) {
        const double bytes = count(host, "siskinspread_backend_news_bytes_total") - before[host];
        MESSAGE(failureDomains << " failure domains, host " << host << ": " << bytes / seconds << " bytes a second over " << seconds << " s");
        CHECK(bytes / seconds < bytesPerSecondAllowed);
    }
}
