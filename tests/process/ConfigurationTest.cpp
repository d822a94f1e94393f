#include "support/EntryHosts.h"
#include "support/Eventually.h"
#include "support/Programs.h"

#include <doctest/doctest.h>

using namespace siskinspread::testing;

namespace {

const std::vector<EntryHostPlace> places {
    { .name = "one-a", .failureDomain = "one" },
    { .name = "one-b", .failureDomain = "one" },
    { .name = "two-a", .failureDomain = "two" },
    { .name = "two-b", .failureDomain = "two" },
};

struct System {
    System()
    {
        for (const EntryHostPlace& place : places) {
            hosts.start(place.name);
        }
    }

    int publish(uint64_t fileRevision, std::vector<std::string> options = {}) const
    {
        const std::string file = hosts.writeFile("ledger.toml", "[[services]]\nname = \"ledger\"\npool = \"ledger\"\nkind = \"plain\"\nfile_revision = " + std::to_string(fileRevision) + "\n[[services.backend_servers]]\nname = \"ledger-a\"\naddress = \"127.0.0.1:9\"\nfailure_domain = \"one\"\nprice_per_hour = 0.2\n");
        std::vector<std::string> arguments { "publish", "--object-api", store.url("") };
        arguments.insert(arguments.end(), options.begin(), options.end());
        arguments.push_back(file);
        return hosts.control(arguments);
    }

    uint64_t revisionAt(const std::string& host) const { return hosts.status(host).value("configuration_revision", uint64_t { 0 }); }

    void waitForRevision(uint64_t revision) const
    {
        for (const EntryHostPlace& place : places) {
            eventually(place.name + " has revision " + std::to_string(revision), [&] { return revisionAt(place.name) == revision; });
        }
    }

    const StandIn store { "standin_object_api" };
    EntryHosts hosts { places, store.url("") };
};

} // namespace

TEST_CASE("a publish reaches every host, and a host that restarts while the store is away gets it from a peer")
{
    System system;
    REQUIRE(system.publish(1) == 0);
    system.waitForRevision(1);
    REQUIRE(system.publish(2) == 0);
    system.waitForRevision(2);

    system.store.setFaults(R"({"down": true})");
    system.hosts.kill("one-a");
    system.hosts.start("one-a");
    system.waitForRevision(2);
    CHECK(system.publish(3) != 0); // the store is away indeed

    system.store.setFaults(R"({"down": false})");
    REQUIRE(system.publish(3) == 0);
    system.waitForRevision(3);
}

TEST_CASE("publish --wait ends when every live host has the revision in force, and says so when it can't tell")
{
    const System system;
    const std::string nobody = "http://127.0.0.1:9";
    const auto knowsAll = [&] { return system.hosts.status("two-b").value("entry_hosts", nlohmann::json::array()).size() == places.size(); };
    eventually("two-b knows all hosts", knowsAll);
    CHECK(system.publish(1, { "--wait", "--entry-host", system.hosts.peerUrl("two-b", "") }) == 0);
    for (const EntryHostPlace& place : places) {
        CHECK(system.revisionAt(place.name) == 1);
    }
    constexpr int exitNotYet = 6;
    CHECK(system.publish(2, { "--wait", "--wait-timeout", "1", "--entry-host", nobody }) == exitNotYet);
}
