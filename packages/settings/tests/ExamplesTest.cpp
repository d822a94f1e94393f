#include "siskinspread/ServiceFile.h"
#include "siskinspread/SettingsFile.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

namespace siskinspread {

namespace {

    std::vector<std::filesystem::path> tomlFiles(const std::string& directory)
    {
        std::vector<std::filesystem::path> files;
        for (const auto& entry : std::filesystem::directory_iterator { SISKINSPREAD_SOURCE "/examples/" + directory }) {
            files.push_back(entry.path());
        }
        std::ranges::sort(files);
        return files;
    }

    std::vector<schema::Settings> hostsOf(const std::string& user)
    {
        std::vector<schema::Settings> hosts;
        for (const std::filesystem::path& file : tomlFiles(user + "/hosts")) {
            LastReason reason;
            const auto settings = loadSettings(file, reason);
            REQUIRE_MESSAGE(settings, reason.detail);
            CHECK(settings->host().name() == file.stem());
            hosts.push_back(*settings);
        }
        return hosts;
    }

    /** @return what a peer entry has to say about the host. */
    schema::PeerSettings asPeer(const schema::Settings& host)
    {
        schema::PeerSettings peer;
        peer.set_name(host.host().name());
        peer.set_failure_domain(host.host().failure_domain());
        peer.set_address(host.listen().address());
        peer.set_peer_port(host.listen().peer_port());
        peer.set_heartbeat_port(host.listen().heartbeat_port());
        return peer;
    }

    std::set<std::string> failureDomains(const std::vector<schema::Settings>& hosts)
    {
        std::set<std::string> domains;
        for (const schema::Settings& host : hosts) {
            domains.insert(host.host().failure_domain());
        }
        return domains;
    }

} // namespace

TEST_CASE("the example settings load, and each host lists the others as they are")
{
    for (const std::string user : { "cehasa", "zafran" }) {
        const std::vector<schema::Settings> hosts = hostsOf(user);
        CHECK(hosts.size() == 7);
        CHECK(failureDomains(hosts).size() == 4);
        for (const schema::Settings& host : hosts) {
            std::set<std::string> expected;
            for (const schema::Settings& other : hosts) {
                if (other.host().name() != host.host().name()) {
                    expected.insert(asPeer(other).SerializeAsString());
                }
            }
            std::set<std::string> listed;
            for (const schema::PeerSettings& peer : host.peers()) {
                listed.insert(peer.SerializeAsString());
            }
            CHECK_MESSAGE(listed == expected, host.host().name());
        }
    }
}

TEST_CASE("the example service files load, agree, and have their backend servers in the hosts' failure domains")
{
    const std::map<std::string, std::map<std::string, int>> expectedReplicas {
        { "cehasa", { { "drafting", 20 }, { "ledger", 4 } } },
        { "zafran", { { "blend-sheets", 20 }, { "orders", 4 } } },
    };
    for (const auto& [user, replicas] : expectedReplicas) {
        const std::set<std::string> domains = failureDomains(hostsOf(user));
        std::vector<ServiceDocument> documents;
        std::map<std::string, int> seen;
        int customers = 0;
        for (const std::filesystem::path& file : tomlFiles(user + "/services")) {
            LastReason reason;
            const auto document = loadServiceDocument(file, reason);
            REQUIRE_MESSAGE(document, reason.detail);
            documents.push_back(*document);
            customers += document->content.customers_size();
            for (const schema::Service& service : document->content.services()) {
                seen[service.name()] = service.backend_servers_size();
                for (const schema::BackendServer& server : service.backend_servers()) {
                    CHECK(domains.contains(server.failure_domain()));
                }
            }
        }
        CHECK(formatProblems(checkTogether(documents)).empty());
        CHECK(seen == replicas);
        CHECK(customers == 5);
    }
}

} // namespace siskinspread
