#include "support/Deployment.h"
#include "support/Eventually.h"

#include <doctest/doctest.h>

#include <atomic>
#include <csignal>
#include <fstream>
#include <future>
#include <thread>

using namespace siskinspread::testing;
using nlohmann::json;

namespace {

/** Longer than a lease, its takeover, a hold and the interval between reads together. */
constexpr int longWait = 6000;

struct OrderedService {
    std::string name; /**< Also of its pool and of the model. */
    bool checksFencingNumbers { false };
    size_t engines { 1 };
};

/** Two entry hosts of one failure domain and engines whose models, adapters and versions the hosts look after. */
class OrderedEngines {
public:
    explicit OrderedEngines(std::vector<OrderedService> services)
        : m_services(std::move(services))
    {
        for (const OrderedService& service : m_services) {
            for (size_t i = 0; i < service.engines; ++i) {
                std::vector<std::string> arguments { "--between-tokens-ms", "20", "--load-lag-ms", "1000" };
                if (service.checksFencingNumbers) {
                    arguments.emplace_back("--checks-fencing");
                }
                m_engines.push_back(std::make_unique<StandIn>("standin_engine", std::move(arguments)));
            }
        }
    }

    /** Lets the services want this version of their model and their adapter. */
    void publish(const std::string& version)
    {
        const auto file = m_directory.path() / "ordered.toml";
        std::ofstream { file } << text(version, ++m_fileRevision);
        REQUIRE(deployment.control({ "publish", "--object-api", "http://" + deployment.objectApi().address(), file.string() }).first == 0);
    }

    json state(size_t engine) const { return json::parse(httpCall({ .url = m_engines.at(engine)->url("/orders") }).body); }
    uint64_t count(size_t engine, const char* name) const { return state(engine).at(name).get<uint64_t>(); }

    bool serves(size_t engine, const std::string& version) const
    {
        const json found = state(engine);
        const auto isVersion = [&](const json& items) { return items.size() == 1 && items.front() == version; };
        return isVersion(found.at("models")) && isVersion(found.at("adapters"));
    }

    void waitUntilAllServe(const std::string& version) const
    {
        for (size_t i = 0; i < m_engines.size(); ++i) {
            eventually(
                "engine " + std::to_string(i) + " serves " + version, [&] { return serves(i, version); }, longWait);
        }
    }

    void setFaults(size_t engine, const std::string& faults) const { m_engines.at(engine)->setFaults(faults); }
    std::string engineUrl(size_t engine, const std::string& path) const { return m_engines.at(engine)->url(path); }

    /** @return the duties that are held, as a host tells operators. */
    json duties(size_t host) const
    {
        const auto status = json::parse(httpCall({ .url = deployment.host(host).peerUrl("/operator/status") }).body, nullptr, false);
        return status.is_object() ? status.at("duties") : json::array();
    }

    /** @return the index of the one host that holds the duty, as soon as `asked` tells of one. */
    size_t holder(size_t asked = 0) const
    {
        json held;
        eventually(
            "one host holds the duty", [&] { return (held = duties(asked)).size() == 1; }, longWait);
        return held.front().at("holder") == "host-0" ? 0 : 1;
    }

    Deployment deployment { { .failureDomains = 1, .hostsPerFailureDomain = 2, .engines = 0 } };

private:
    std::string engineText(size_t engine) const
    {
        return "[[services.backend_servers]]\nname = \"ordered-" + std::to_string(engine) + "\"\naddress = \"" + m_engines[engine]->address()
            + "\"\nfailure_domain = \"" + deployment.host(0).failureDomain + "\"\nprice_per_hour = 1\n";
    }

    static std::string serviceText(const OrderedService& service, const std::string& version, int fileRevision)
    {
        return "[[services]]\nname = \"" + service.name + "\"\npool = \"" + service.name + "\"\nkind = \"model\"\nfile_revision = " + std::to_string(fileRevision)
            + "\nchecks_fencing_numbers = " + (service.checksFencingNumbers ? "true" : "false") + "\n[services.engine_loads]\nversion = \"" + version
            + "\"\n[[services.engine_loads.adapters]]\nname = \"terse\"\nversion = \"" + version + "\"\n";
    }

    std::string text(const std::string& version, int fileRevision) const
    {
        std::string result;
        size_t engine = 0;
        for (const OrderedService& service : m_services) {
            result += serviceText(service, version, fileRevision);
            for (size_t i = 0; i < service.engines; ++i, ++engine) {
                result += engineText(engine);
            }
        }
        return result;
    }

    const std::vector<OrderedService> m_services;
    std::vector<std::unique_ptr<StandIn>> m_engines;
    TempDirectory m_directory;
    int m_fileRevision { 0 };
};

} // namespace

TEST_CASE("a published version reaches engines that check the number and engines that ignore it, and cuts no stream")
{
    OrderedEngines engines { { { .name = "checking", .checksFencingNumbers = true, .engines = 2 }, { .name = "ignoring" } } };
    engines.publish("1");
    engines.waitUntilAllServe("1");

    std::atomic<bool> isOver { false };
    std::atomic<int> whole { 0 };
    std::atomic<int> broken { 0 };
    const auto sendRequests = [&](size_t host) {
        for (int i = 0; !isOver; ++i) {
            const auto stream = httpStream(engines.deployment.chat(host, "request " + std::to_string(i), 20, { { "model", "checking" } }));
            ++(stream.response.status == 200 && stream.response.isComplete ? whole : broken);
        }
    };
    std::vector<std::future<void>> callers;
    for (size_t i = 0; i < 4; ++i) {
        callers.push_back(std::async(std::launch::async, sendRequests, i % 2));
    }
    engines.publish("2");
    engines.waitUntilAllServe("2");
    isOver = true;
    callers.clear();
    MESSAGE(whole.load() << " whole answers during the change, " << broken.load() << " others");
    CHECK(whole > 0);
    CHECK(broken == 0);
    for (size_t i = 0; i < 3; ++i) {
        CHECK(engines.count(i, "under_streams") == 0);
        CHECK(engines.count(i, "received") == 4); // model and adapter, twice
    }

    const size_t holder = engines.holder();
    const json duty = engines.duties(1 - holder).front();
    CHECK(duty.at("engines").size() == 3);
    CHECK(duty.at("engines").front().at("wanted") == "checking 2, terse 2, mixed");
    engines.deployment.host(holder).process->sendSignal(SIGTERM);
    eventually("the other host took the released lease", [&] {
        const json now = engines.duties(1 - holder);
        return now.size() == 1 && now.front().at("fencing_number") == duty.at("fencing_number").get<uint64_t>() + 1;
    });
}

TEST_CASE("a holder paused past its lease orders nothing when it wakes mid-order, and an order that arrives late is refused or corrected")
{
    // Orders to engines 0 and 1 take effect while the holder is paused, those to 2 and 3 after the next holder's.
    OrderedEngines engines { { { .name = "checking-0", .checksFencingNumbers = true }, { .name = "ignoring-1" }, { .name = "checking-2", .checksFencingNumbers = true }, { .name = "ignoring-3" } } };
    engines.publish("1");
    engines.waitUntilAllServe("1");
    const size_t paused = engines.holder();
    const size_t other = 1 - paused;

    for (size_t i = 0; i < 4; ++i) {
        engines.setFaults(i, R"({"keep_orders": true})");
    }
    engines.publish("2");
    for (size_t i = 0; i < 4; ++i) {
        eventually(
            "the first step to version 2 has arrived", [&] { return engines.count(i, "received") == 3; }, longWait);
    }
    engines.deployment.host(paused).process->sendSignal(SIGSTOP);
    for (size_t i = 0; i < 4; ++i) {
        engines.setFaults(i, R"({"keep_orders": false})");
    }
    engines.setFaults(0, R"({"release_orders": true})");
    engines.setFaults(1, R"({"release_orders": true})");
    engines.publish("3");
    engines.waitUntilAllServe("3");
    CHECK(engines.holder(other) == other);

    engines.setFaults(2, R"({"release_orders": true})");
    engines.setFaults(3, R"({"release_orders": true})");
    CHECK(engines.count(2, "refused") == 1);
    CHECK(engines.serves(2, "3"));
    CHECK_FALSE(engines.serves(3, "3"));
    engines.deployment.host(paused).process->sendSignal(SIGCONT);
    const auto ordersThatWere = [&](const char* outcome) { return engines.deployment.metric(paused, "siskinspread_engine_orders_total", outcome); };
    eventually("the host that woke has dropped what it was about to order", [&] { return ordersThatWere("lease_lost") == 3 && ordersThatWere("fencing_refused") == 1; });
    engines.waitUntilAllServe("3");
    CHECK(engines.holder() == other);
    for (size_t i = 0; i < 4; ++i) {
        CHECK(engines.count(i, "stale") == (i < 2 ? 0 : 1));
    }
}

TEST_CASE("nobody orders without the lease while the store is away; one host does when it returns, and the other one after a kill")
{
    OrderedEngines engines { { { .name = "checking", .checksFencingNumbers = true }, { .name = "ignoring" } } };
    engines.publish("1");
    engines.waitUntilAllServe("1");
    const size_t first = engines.holder();
    const uint64_t number = engines.duties(0).front().at("fencing_number");
    const auto leaseCalls = [&](size_t host, const char* outcome) {
        return engines.deployment.metric(host, "siskinspread_store_calls_total", std::string { "outcome=\"" } + outcome + "\",purpose=\"duty_lease\"");
    };

    const auto lost = [&] { return leaseCalls(first, "unavailable") + leaseCalls(first, "conflict"); };
    const double lostBefore = lost();
    engines.deployment.objectApi().setFaults(R"({"lose_next_write_answers": 1000})");
    // libcurl repeats a call on a kept connection that closes, and the repeated one meets its own write.
    eventually(
        "a renewal's answer was lost", [&] { return lost() > lostBefore; }, longWait);
    engines.deployment.objectApi().setFaults(R"({"lose_next_write_answers": 0})");
    const double answered = leaseCalls(first, "answered");
    eventually(
        "the holder has settled it and renewed", [&] { return leaseCalls(first, "answered") >= answered + 3; }, longWait);
    CHECK(engines.duties(0).front().at("fencing_number") == number);

    engines.deployment.objectApi().setFaults(R"({"down": true})");
    eventually(
        "the lease is over", [&] { return engines.duties(0).empty(); }, longWait);
    for (size_t i = 0; i < 2; ++i) {
        const json order { { "fencing", number }, { "order", "load_model" }, { "model", i ? "ignoring" : "checking" }, { "version", "0" } };
        REQUIRE(httpCall({ .method = "POST", .url = engines.engineUrl(i, "/orders"), .body = order.dump() }).status == 200);
    }
    const uint64_t received = engines.count(0, "received") + engines.count(1, "received");
    const double failed = leaseCalls(first, "unavailable");
    eventually(
        "the store stayed away for some more tries", [&] { return leaseCalls(first, "unavailable") >= failed + 4; }, longWait);
    CHECK(engines.count(0, "received") + engines.count(1, "received") == received);
    CHECK(httpStream(engines.deployment.chat(0, "while the store is away", 4, { { "model", "checking" } })).response.isComplete);

    engines.deployment.objectApi().setFaults(R"({"down": false})");
    engines.waitUntilAllServe("1");
    CHECK(engines.count(0, "received") + engines.count(1, "received") == received + 2);
    const size_t holder = engines.holder();
    engines.deployment.host(holder).process->kill();
    engines.publish("2");
    engines.waitUntilAllServe("2");
    CHECK(engines.holder(1 - holder) == 1 - holder);
    CHECK(engines.duties(1 - holder).front().at("fencing_number") > number + 1);
    CHECK(engines.count(0, "stale") + engines.count(1, "stale") == 0);
}
