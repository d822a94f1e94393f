#pragma once

#include "HttpClient.h"
#include "Programs.h"
#include "TempDirectory.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace siskinspread::testing {

struct DeploymentOptions {
    size_t failureDomains { 2 };
    size_t hostsPerFailureDomain { 1 };
    size_t engines { 2 }; /**< Spread over the failure domains; each costs more than the one before. */
    size_t ledgers { 0 }; /**< Backend servers of the plain service "ledger", whose POST calls may not be repeated. */
    bool cloud { false }; /**< Start the cloud API and let it know the entry hosts, the engines and the ledgers. */
    std::vector<std::string> cloudArguments {};
    size_t customers { 1 };
    std::vector<std::string> engineArguments { "--between-tokens-ms", "2" };
    std::string serviceSettings {}; /**< TOML lines of the model service. */
    std::string hostSettings {}; /**< TOML tables that are added to each host's settings. */
};

/** Name of the model service of a deployment. */
constexpr const char* modelName = "drafts";

/** A running entry host. */
struct EntryHost {
    std::string name;
    std::string failureDomain;
    uint16_t callerPort { 0 };
    uint16_t peerPort { 0 };
    uint16_t heartbeatPort { 0 };
    std::unique_ptr<ChildProcess> process;

    /** @return the URL of a path on the callers' port. */
    std::string url(const std::string& path) const;

    /** @return the URL of a path on the port for peers and operators. */
    std::string peerUrl(const std::string& path) const;
};

/**
 * A whole system of real processes on loopback: object API, engines, entry hosts, with published service files. Starts
 * in the constructor, which returns when every host is ready; all that is left is ended by the destructor.
 * Throws std::runtime_error when it can't be started. Thread safety: const members are reentrant.
 */
class Deployment {
public:
    explicit Deployment(DeploymentOptions options = {});
    ~Deployment();
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    EntryHost& host(size_t index) { return m_hosts.at(index); }
    const EntryHost& host(size_t index) const { return m_hosts.at(index); }
    size_t hostCount() const { return m_hosts.size(); }
    StandIn& objectApi() { return *m_objectApi; }
    StandIn& engine(size_t index) { return *m_engines.at(index); }
    StandIn& ledger(size_t index) { return *m_ledgers.at(index); }
    const StandIn& ledger(size_t index) const { return *m_ledgers.at(index); }
    StandIn& cloud() { return *m_cloud; }
    const StandIn& engine(size_t index) const { return *m_engines.at(index); }

    /** Kills an engine, if it still runs, and starts it anew at the same address. */
    void restartEngine(size_t index);

    /** @return what a host tells operators of a backend server, or an empty object. */
    nlohmann::json backendServer(size_t host, const std::string& name) const;

    size_t engineCount() const { return m_engines.size(); }

    /** Lets the cloud give notice; the order is that of the stand-in's /control/notice. */
    void giveNotice(const nlohmann::json& order) const;

    /** Runs siskinctl. @return its exit code and the first line of its output, empty without one. */
    std::pair<int, std::string> control(std::vector<std::string> arguments) const;

    /** @return "Authorization: Bearer ..." of a customer. */
    static std::string authorization(size_t customer = 0);

    /** @return a chat-completions request of one user message; `extra` overrides members of the body. */
    HttpRequest chat(size_t host, const std::string& content, uint64_t tokens, const nlohmann::json& extra = nlohmann::json::object(), size_t customer = 0) const;

    /** @return the account as a host tells it to the customer. */
    nlohmann::json account(size_t host, const std::string& requestId, size_t customer = 0) const;

    /** Polls until the account is final. @return it. */
    nlohmann::json finalAccount(size_t host, const std::string& requestId, size_t customer = 0) const;

    /** @return the value of a series of /metrics whose line starts with `name` and contains `label`; 0 without one. */
    double metric(size_t host, const std::string& name, const std::string& label) const;

private:
    void tellCloud() const;
    void startEngines();
    std::unique_ptr<StandIn> startEngine(size_t index, uint16_t port) const;
    void startLedgers();
    std::string ledgerText() const;
    void describeHosts();
    void startHosts();
    void stopHosts();
    bool becomesReady(EntryHost&);
    std::string settingsText(const EntryHost&) const;
    std::string servicesText() const;
    void publish();

    const DeploymentOptions m_options;
    TempDirectory m_directory;
    std::unique_ptr<StandIn> m_objectApi;
    std::unique_ptr<StandIn> m_cloud;
    std::vector<std::unique_ptr<StandIn>> m_engines;
    std::vector<std::unique_ptr<StandIn>> m_ledgers;
    std::vector<EntryHost> m_hosts;
};

} // namespace siskinspread::testing
