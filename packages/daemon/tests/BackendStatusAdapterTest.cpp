#include "HostFixture.h"

#include "siskinspread/BackendStatusAdapter.h"
#include "siskinspread/BackendTraffic.h"
#include "siskinspread/CallerResponse.h"
#include "siskinspread/HeartbeatCodec.h"
#include "siskinspread/ServerLoadReport.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace siskinspread {

namespace {

    constexpr const char* serviceName = "drafts";
    constexpr const char* idleReport = R"({"instance": "run-1", "running": 0, "queued": 0, "slots": 8, "leaving": false})";

    /** Host "a" with the engines "near-0" and "near-1" of its domain and "far" of domain "two". */
    struct StatusFixture : HostFixture {
        StatusFixture()
        {
            schema::Configuration configuration;
            configuration.set_revision(1);
            schema::Service& service = *configuration.add_services();
            service.set_name(serviceName);
            service.set_pool(serviceName);
            addServer(service, "near-0", "10.0.0.1:8000", "one");
            addServer(service, "near-1", "10.0.0.1:8001", "one");
            addServer(service, "far", "10.0.0.2:8000", "two");
            pools.apply(configuration);
            status.configured(configuration);
            status.start();
        }

        static void addServer(schema::Service& service, const std::string& name, const std::string& address, const std::string& domain)
        {
            schema::BackendServer& server = *service.add_backend_servers();
            server.set_name(name);
            server.set_address(address);
            server.set_failure_domain(domain);
        }

        void makeKnown(const std::string& host, const std::string& domain, uint32_t number)
        {
            const MemberRecord record { .address = "127.0.0.1:" + std::to_string(4000 + number), .host = host, .failureDomain = domain, .incarnation = host + ".1" };
            const MembershipMessage ping { .sender = record, .views = {}, .rumours = {}, .body = Ping {} };
            membership.receive({ .address = record.address, .bytes = heartbeatMessage(ping, {}).SerializeAsString() });
        }

        /** Lets time pass and answers the probes of both engines; an empty report means no answer. */
        void probe(std::chrono::milliseconds time, const std::string& first, const std::string& second)
        {
            constexpr std::chrono::milliseconds turn { 50 };
            for (const MonotonicTime end = context.now + time; context.now < end;) {
                advance(turn);
                answerProbe("0.0.1:8000/load", first);
                answerProbe("0.0.1:8001/load", second);
            }
        }

        void answerProbe(const std::string& url, const std::string& report)
        {
            while (const auto open = backendServers.take(url)) {
                report.empty() ? loseAnswer(*open) : answer(*open, 200, report);
            }
        }

        bool mayReceiveWork(const std::string& server) const
        {
            return mayReceive(*findBackendServer(pools.find(serviceName)->view, server), {});
        }

        std::vector<schema::BackendNewsMessage> newsTo(const std::string& address) const
        {
            std::vector<schema::BackendNewsMessage> news;
            for (const Datagram& datagram : heartbeats.sent) {
                schema::HeartbeatMessage message;
                if (datagram.address == address && message.ParseFromString(datagram.bytes) && message.has_backend_news()) {
                    news.push_back(message.backend_news());
                }
            }
            return news;
        }

        PeerCalls calls { context };
        RecordedDatagrams heartbeats;
        ConfigurationFeedAdapter feed { context, timers, { .url = "http://store" }, calls, [](const schema::Configuration&) {} };
        MembershipAdapter membership { context, timers, calls, heartbeats, feed };
        ServicePools pools { context };
        BackendStatusAdapter status { context, { .timers = timers, .probes = backendServers, .heartbeats = heartbeats, .pools = pools, .membership = membership } };
    };

    schema::BackendNewsMessage newsOf(const ServerObservation& observation, MonotonicTime now, std::optional<BackendLoadReport> load = std::nullopt, const std::string& domain = "one")
    {
        schema::HeartbeatMessage message;
        const auto datagrams = observationDatagrams({ .incarnation = observation.observer, .failureDomain = domain }, { { .observation = observation, .load = load } }, now);
        REQUIRE(datagrams.size() == 1);
        REQUIRE(message.ParseFromString(datagrams.front()));
        return message.backend_news();
    }

} // namespace

TEST_CASE("a starting host uses every server, and later only those that someone reached")
{
    StatusFixture host;
    CHECK(host.mayReceiveWork("near-0"));
    CHECK(host.mayReceiveWork("near-1"));
    CHECK(host.status.stateName("near-1") == "joining");
    host.probe(std::chrono::seconds(1), idleReport, "");
    CHECK(host.status.stateName("near-0") == "live");
    CHECK(host.mayReceiveWork("near-1"));
    host.probe(std::chrono::seconds(5), idleReport, "");
    CHECK(host.mayReceiveWork("near-0"));
    CHECK_FALSE(host.mayReceiveWork("near-1"));
    host.probe(std::chrono::seconds(2), idleReport, idleReport);
    CHECK(host.mayReceiveWork("near-1"));
}

TEST_CASE("a host that reaches no server still tries them all")
{
    StatusFixture host;
    host.probe(std::chrono::seconds(30), "", "");
    CHECK(host.mayReceiveWork("near-0"));
    CHECK(host.mayReceiveWork("near-1"));
}

TEST_CASE("a server of another domain is not probed, and is used until its domain says that it is not reached")
{
    StatusFixture host;
    host.probe(std::chrono::seconds(8), idleReport, idleReport);
    CHECK_FALSE(host.backendServers.take("10.0.0.2"));
    CHECK(host.mayReceiveWork("far"));
    host.status.hear(newsOf({ .observer = "c.1", .sequence = 1, .server = "far", .observers = 1 }, host.context.now, std::nullopt, "two"), 1);
    host.probe(std::chrono::seconds(1), idleReport, idleReport);
    CHECK_FALSE(host.mayReceiveWork("far"));
    host.status.hear(newsOf({ .observer = "c.1", .sequence = 2, .server = "far", .instance = "run-1", .reachable = true, .observers = 1 }, host.context.now, std::nullopt, "two"), 1);
    host.probe(std::chrono::seconds(1), idleReport, idleReport);
    CHECK(host.mayReceiveWork("far"));
    CHECK(host.status.stateName("far") == "live");
}

TEST_CASE("a report of leaving, a refusal and a sign from outside each end the new work and are passed on")
{
    for (const std::string sign : { "report", "refusal", "outside", "early" }) {
        CAPTURE(sign);
        StatusFixture host;
        host.makeKnown("b", "one", 2);
        if (sign == "early") {
            host.status.leaveSign("near-0");
        }
        host.probe(std::chrono::seconds(2), idleReport, idleReport);
        if (sign == "report") {
            host.probe(std::chrono::seconds(2), R"({"instance": "run-1", "running": 3, "queued": 0, "leaving": true})", idleReport);
        } else if (sign == "refusal") {
            BackendTraffic traffic { host.backendServers };
            traffic.onAnswer = [&](const std::string& address, const HttpHeaders& headers) { host.status.answered(address, headers); };
            traffic.start({ .url = "http://10.0.0.1:8000/v1/chat/completions" }, [](const ClientEvent&) {});
            answer(*host.backendServers.take("chat"), 503, "", { { .name = header::leaving, .value = "run-1" } });
        } else if (sign == "outside") {
            host.status.leaveSign("near-0");
        }
        CHECK(host.status.stateName("near-0") == "leaving");
        CHECK_FALSE(host.mayReceiveWork("near-0"));
        const auto news = host.newsTo("127.0.0.1:4002");
        CHECK(std::any_of(news.begin(), news.end(), [](const auto& n) { return n.leaves_size() && n.leaves(0).server() == "near-0"; }));

        host.probe(std::chrono::seconds(2), R"({"instance": "run-2", "running": 0, "queued": 0})", idleReport);
        CHECK(host.mayReceiveWork("near-0"));
    }
}

TEST_CASE("another domain hears of a leave again and again, also while no host of it is known yet")
{
    for (const bool isKnown : { false, true }) {
        CAPTURE(isKnown);
        StatusFixture host;
        host.probe(std::chrono::seconds(2), idleReport, idleReport);
        host.status.leaveSign("near-0");
        for (int second = 0; second < 10; second += 5) {
            if (isKnown) {
                host.makeKnown("c", "two", 3);
            }
            host.heartbeats.sent.clear();
            host.probe(std::chrono::seconds(5), idleReport, idleReport);
            const auto news = host.newsTo("127.0.0.1:4003");
            CHECK(std::any_of(news.begin(), news.end(), [](const auto& n) { return n.observations_size() && n.observations(0).server() == "near-0" && n.observations(0).leaving(); }));
        }
    }
}

TEST_CASE("one of two observers does not judge alone")
{
    StatusFixture host;
    host.makeKnown("b", "one", 2);
    host.probe(std::chrono::seconds(2), idleReport, idleReport);
    for (int second = 0; second < 8; ++second) {
        host.makeKnown("b", "one", 2); // it is alive and says nothing of the server
        host.probe(std::chrono::seconds(1), "", idleReport);
    }
    CHECK(host.mayReceiveWork("near-0"));
    host.status.hear(newsOf({ .observer = "b.1", .sequence = 1, .server = "near-0", .instance = "run-1" }, host.context.now), 1);
    host.probe(std::chrono::seconds(1), "", idleReport);
    CHECK_FALSE(host.mayReceiveWork("near-0"));
    CHECK(host.status.stateName("near-0") == "unreachable");
}

TEST_CASE("a server that leaves this host's own requests without an answer is avoided at once, and tried again later")
{
    StatusFixture host;
    BackendTraffic traffic { host.backendServers };
    traffic.onNoAnswer = [&](const std::string& address) { host.status.unanswered(address); };
    host.probe(std::chrono::seconds(6), idleReport, idleReport);
    for (const bool mayWork : { true, false }) {
        traffic.start({ .url = "http://10.0.0.1:8000/v1/chat/completions" }, [](const ClientEvent&) {});
        loseAnswer(*host.backendServers.take("chat"));
        CHECK(host.mayReceiveWork("near-0") == mayWork);
    }
    CHECK(host.mayReceiveWork("near-1"));
    CHECK(host.status.stateName("near-0") == "live");
    host.probe(std::chrono::seconds(11), idleReport, idleReport);
    CHECK(host.mayReceiveWork("near-0"));
}

TEST_CASE("a load that another host observed reaches the view with its age")
{
    StatusFixture host;
    const BackendLoadReport load { .sampledAt = host.context.now, .running = 5, .waiting = 2, .slots = 8, .queuedPromptTokens = 9 };
    host.advance(std::chrono::milliseconds(500));
    host.status.hear(newsOf({ .observer = "b.1", .sequence = 1, .server = "near-0", .instance = "run-1", .reachable = true }, host.context.now, load), 1);
    const auto& report = findBackendServer(host.pools.find(serviceName)->view, "near-0")->report;
    REQUIRE(report);
    CHECK(report->sampledAt == load.sampledAt);
    CHECK(report->running == 5);
    CHECK(report->waiting == 2);
    CHECK(report->slots == 8);
    CHECK(report->queuedPromptTokens == 9);
}

TEST_CASE("a malformed report is none, and never throws")
{
    CHECK(parseServerLoadReport(idleReport));
    for (const std::string text : { "", "[]", "null", "{}", R"({"running": -1, "queued": 0})", R"({"running": 1.5, "queued": 0})", R"({"running": "1", "queued": 0})",
             R"({"running": 1, "queued": 99999999999})", R"({"running": 1, "queued": 0, "leaving": 1})", R"({"running": 1, "queued": 0, "instance": 7})", R"({"running": 1, "queued": 0)" }) {
        CAPTURE(text);
        CHECK_FALSE(parseServerLoadReport(text));
    }
    CHECK(rc::check("bytes without meaning", [](const std::string& bytes) { RC_ASSERT(!parseServerLoadReport(bytes)); }));
    StatusFixture host;
    host.probe(std::chrono::seconds(8), "not a report", idleReport);
    CHECK_FALSE(host.mayReceiveWork("near-0"));
    CHECK(host.metrics.metricsText().find("outcome=\"malformed\"} 0") == std::string::npos);
}

TEST_CASE("many observations go in datagrams of bounded size and arrive whole")
{
    std::vector<ObservedServer> observed;
    for (uint64_t i = 1; i <= 200; ++i) {
        observed.push_back({ .observation = { .observer = i % 3 ? "a.1" : "c.1", .sequence = i, .server = "server-" + std::to_string(i), .instance = "run-" + std::to_string(i), .reachable = i % 2 == 0 }, .load = std::nullopt });
    }
    std::vector<ObservedServer> arrived;
    for (const std::string& datagram : observationDatagrams({ .incarnation = "a.1", .failureDomain = "one" }, observed, {})) {
        CHECK(datagram.size() <= 1400);
        schema::HeartbeatMessage message;
        REQUIRE(message.ParseFromString(datagram));
        const auto part = observationsOf(message.backend_news(), {});
        arrived.insert(arrived.end(), part.begin(), part.end());
    }
    REQUIRE(arrived.size() == observed.size());
    for (size_t i = 0; i < arrived.size(); ++i) {
        CHECK(arrived[i].observation.observer == observed[i].observation.observer);
        CHECK(arrived[i].observation.server == observed[i].observation.server);
        CHECK(arrived[i].observation.reachable == observed[i].observation.reachable);
    }
}

} // namespace siskinspread
