#include "Deployment.h"

#include "Eventually.h"
#include "FreePorts.h"

#include <openssl/sha.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iterator>
#include <stdexcept>

namespace siskinspread::testing {
namespace {

    constexpr int maxStarts = 5; // another process may take a port between its choice and its use
    constexpr size_t portsPerHost = 3;
    constexpr int cannotStartExitCode = 4;

    std::string domainName(size_t index)
    {
        return "domain-" + std::to_string(index);
    }

    std::string customerKey(size_t customer)
    {
        return "key-" + std::to_string(customer);
    }

    std::string sha256(const std::string& text)
    {
        unsigned char digest[SHA256_DIGEST_LENGTH];
        SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest);
        std::string hex;
        for (const unsigned char byte : digest) {
            char digits[3];
            std::snprintf(digits, sizeof digits, "%02x", byte);
            hex += digits;
        }
        return hex;
    }

    std::string quoted(const std::string& text)
    {
        return '"' + text + '"';
    }

    void writeFile(const std::filesystem::path& path, const std::string& text)
    {
        std::ofstream(path) << text;
    }

    std::string backendServerText(const std::string& name, const std::string& address, const std::string& failureDomain, size_t pricePerHour)
    {
        return "[[services.backend_servers]]\nname = " + quoted(name) + "\naddress = " + quoted(address)
            + "\nfailure_domain = " + quoted(failureDomain) + "\nprice_per_hour = " + std::to_string(pricePerHour) + ".0\n";
    }

} // namespace

std::string EntryHost::url(const std::string& path) const
{
    return "http://127.0.0.1:" + std::to_string(callerPort) + path;
}

std::string EntryHost::peerUrl(const std::string& path) const
{
    return "http://127.0.0.1:" + std::to_string(peerPort) + path;
}

Deployment::Deployment(DeploymentOptions options)
    : m_options(std::move(options))
    , m_objectApi(std::make_unique<StandIn>("standin_object_api"))
    , m_cloud(m_options.cloud ? std::make_unique<StandIn>("standin_cloud", m_options.cloudArguments) : nullptr)
{
    startEngines();
    startLedgers();
    publish();
    startHosts();
}

Deployment::~Deployment()
{
    stopHosts();
}

void Deployment::startEngines()
{
    for (size_t i = 0; i < m_options.engines; ++i) {
        m_engines.push_back(startEngine(i, 0));
    }
}

std::unique_ptr<StandIn> Deployment::startEngine(size_t index, uint16_t port) const
{
    std::vector<std::string> arguments = m_options.engineArguments;
    arguments.insert(arguments.end(), { "--name", "engine-" + std::to_string(index) });
    return std::make_unique<StandIn>("standin_engine", std::move(arguments), port);
}

void Deployment::restartEngine(size_t index)
{
    const std::string address = m_engines.at(index)->address();
    m_engines[index]->process().kill();
    m_engines[index] = startEngine(index, static_cast<uint16_t>(std::stoi(address.substr(address.rfind(':') + 1))));
}

void Deployment::startLedgers()
{
    for (size_t i = 0; i < m_options.ledgers; ++i) {
        m_ledgers.push_back(std::make_unique<StandIn>("standin_ledger"));
    }
}

std::string Deployment::ledgerText() const
{
    if (m_ledgers.empty()) {
        return {};
    }
    std::string text = "[[services]]\nname = \"ledger\"\npool = \"ledger\"\nkind = \"plain\"\nfile_revision = 1\n"
                       "[[services.non_repeatable_calls]]\nmethod = \"POST\"\npath_prefix = \"/holds\"\n";
    for (size_t i = 0; i < m_ledgers.size(); ++i) {
        text += backendServerText("ledger-" + std::to_string(i), m_ledgers[i]->address(), domainName(i % m_options.failureDomains), i + 1);
    }
    return text;
}

std::string Deployment::servicesText() const
{
    std::string text;
    for (size_t i = 0; i < m_options.customers; ++i) {
        text += "[[customers]]\nname = \"customer-" + std::to_string(i) + "\"\nkey_sha256 = " + quoted(sha256(customerKey(i))) + "\n";
    }
    if (!m_engines.empty()) {
        text += "[[services]]\nname = " + quoted(modelName) + "\npool = " + quoted(modelName) + "\nkind = \"model\"\nfile_revision = 1\n" + m_options.serviceSettings + "\n";
    }
    for (size_t i = 0; i < m_engines.size(); ++i) {
        text += backendServerText("engine-" + std::to_string(i), m_engines[i]->address(), domainName(i % m_options.failureDomains), i + 1);
    }
    return text + ledgerText();
}

void Deployment::publish()
{
    const auto services = m_directory.path() / "services";
    std::filesystem::create_directory(services);
    writeFile(services / "services.toml", servicesText());
    ChildProcess client({ .program = (buildDirectory() / "packages" / "ctl" / "siskinctl").string(),
        .arguments = { "publish", "--object-api", "http://" + m_objectApi->address(), services.string() },
        .errorFile = (m_directory.path() / "publish.err").string() });
    const auto end = client.waitForEnd();
    if (!end || end->exitCode != 0) {
        std::ifstream errors(m_directory.path() / "publish.err");
        throw std::runtime_error("siskinctl publish failed: " + std::string(std::istreambuf_iterator<char>(errors), {}));
    }
}

void Deployment::describeHosts()
{
    const size_t count = m_options.failureDomains * m_options.hostsPerFailureDomain;
    const auto ports = freePorts(count * portsPerHost);
    m_hosts.clear();
    for (size_t i = 0; i < count; ++i) {
        m_hosts.push_back({ .name = "host-" + std::to_string(i), .failureDomain = domainName(i % m_options.failureDomains), .callerPort = ports[portsPerHost * i], .peerPort = ports[portsPerHost * i + 1], .heartbeatPort = ports[portsPerHost * i + 2], .process = nullptr });
    }
}

std::string Deployment::settingsText(const EntryHost& host) const
{
    std::string text = "[host]\nname = " + quoted(host.name) + "\nfailure_domain = " + quoted(host.failureDomain)
        + "\n[listen]\naddress = \"127.0.0.1\"\ncaller_port = " + std::to_string(host.callerPort) + "\npeer_port = " + std::to_string(host.peerPort)
        + "\nheartbeat_port = " + std::to_string(host.heartbeatPort) + "\n[platform]\nobject_api = \"http://" + m_objectApi->address() + "\"\n" + (m_cloud ? "cloud_api = \"http://" + m_cloud->address() + "\"\nhost_list = \"http://" + m_cloud->address() + "\"\nhost_list_interval_ms = 500\n" : "") + m_options.hostSettings + "\n";
    for (const EntryHost& peer : m_hosts) {
        if (peer.name != host.name) {
            text += "[[peers]]\nname = " + quoted(peer.name) + "\nfailure_domain = " + quoted(peer.failureDomain)
                + "\naddress = \"127.0.0.1\"\npeer_port = " + std::to_string(peer.peerPort) + "\nheartbeat_port = " + std::to_string(peer.heartbeatPort) + "\n";
        }
    }
    return text;
}

void Deployment::tellCloud() const
{
    if (!m_cloud) {
        return;
    }
    auto hosts = nlohmann::json::array();
    for (const EntryHost& host : m_hosts) {
        hosts.push_back({ { "name", host.name }, { "class", "entry" }, { "failure_domain", host.failureDomain } });
    }
    for (size_t i = 0; i < m_engines.size(); ++i) {
        hosts.push_back({ { "name", "engine-" + std::to_string(i) }, { "class", "engine" }, { "failure_domain", "engines" } });
    }
    for (size_t i = 0; i < m_ledgers.size(); ++i) {
        hosts.push_back({ { "name", "ledger-" + std::to_string(i) }, { "class", "ledger" }, { "failure_domain", "ledgers" } });
    }
    httpCall({ .method = "POST", .url = m_cloud->url("/control/hosts"), .body = hosts.dump() });
}

void Deployment::giveNotice(const nlohmann::json& order) const
{
    const auto response = httpCall({ .method = "POST", .url = m_cloud->url("/control/notice"), .body = order.dump() });
    if (response.status != 200) {
        throw std::runtime_error("the cloud stand-in refused the notice: " + response.body);
    }
}

std::pair<int, std::string> Deployment::control(std::vector<std::string> arguments) const
{
    ChildProcess client({ .program = (buildDirectory() / "packages" / "ctl" / "siskinctl").string(), .arguments = std::move(arguments), .errorFile = {} });
    std::string line;
    try {
        line = client.readLine(std::chrono::seconds(60));
    } catch (const std::runtime_error&) {
        line.clear(); // it printed nothing
    }
    const auto end = client.waitForEnd();
    return { end ? end->exitCode.value_or(-1) : -1, line };
}

bool Deployment::becomesReady(EntryHost& host)
{
    bool ended = false;
    eventually(host.name + " is ready", [&] {
        ended = host.process->waitForEnd(std::chrono::milliseconds(0)).has_value();
        return ended || httpCall({ .url = host.url("/readyz") }).status == 200;
    });
    if (ended && host.process->waitForEnd()->exitCode != cannotStartExitCode) {
        throw std::runtime_error(host.name + " ended at its start");
    }
    return !ended;
}

void Deployment::startHosts()
{
    for (int start = 0; start < maxStarts; ++start) {
        describeHosts();
        tellCloud();
        for (EntryHost& host : m_hosts) {
            const auto settings = m_directory.path() / (host.name + ".toml");
            writeFile(settings, settingsText(host));
            host.process = std::make_unique<ChildProcess>(ProcessOptions { .program = (buildDirectory() / "packages" / "daemon" / "siskinspread").string(),
                .arguments = { "--settings", settings.string() },
                .errorFile = (m_directory.path() / (host.name + ".log")).string() });
        }
        if (std::all_of(m_hosts.begin(), m_hosts.end(), [this](EntryHost& host) { return becomesReady(host); })) {
            return;
        }
        stopHosts();
    }
    throw std::runtime_error("the entry hosts found no free ports");
}

void Deployment::stopHosts()
{
    for (EntryHost& host : m_hosts) {
        if (host.process) {
            host.process->sendSignal(SIGTERM);
        }
    }
    for (EntryHost& host : m_hosts) {
        if (host.process) {
            host.process->waitForEnd(); // the destructor kills what has not ended in time
            host.process.reset();
        }
    }
}

std::string Deployment::authorization(size_t customer)
{
    return "Authorization: Bearer " + customerKey(customer);
}

HttpRequest Deployment::chat(size_t host, const std::string& content, uint64_t tokens, const nlohmann::json& extra, size_t customer) const
{
    nlohmann::json body { { "model", modelName }, { "stream", true }, { "max_tokens", tokens }, { "messages", nlohmann::json::array({ { { "role", "user" }, { "content", content } } }) } };
    body.update(extra);
    return { .method = "POST", .url = m_hosts.at(host).url("/v1/chat/completions"), .headers = { authorization(customer), "Content-Type: application/json" }, .body = body.dump(), .timeout = std::chrono::seconds(60) };
}

nlohmann::json Deployment::account(size_t host, const std::string& requestId, size_t customer) const
{
    const auto response = httpCall({ .url = m_hosts.at(host).url("/accounts/" + requestId), .headers = { authorization(customer) } });
    return nlohmann::json::parse(response.body, nullptr, false);
}

nlohmann::json Deployment::finalAccount(size_t host, const std::string& requestId, size_t customer) const
{
    nlohmann::json found;
    eventually("the account of " + requestId + " is final", [&] {
        found = account(host, requestId, customer);
        return found.is_object() && found.value("standing", "") == "final";
    });
    return found;
}

nlohmann::json Deployment::backendServer(size_t host, const std::string& name) const
{
    const auto response = httpCall({ .url = "http://127.0.0.1:" + std::to_string(m_hosts.at(host).peerPort) + "/operator/status" });
    const auto status = nlohmann::json::parse(response.body, nullptr, false);
    for (const auto& server : status.is_object() ? status.value("backend_servers", nlohmann::json::array()) : nlohmann::json::array()) {
        if (server.value("name", "") == name) {
            return server;
        }
    }
    return nlohmann::json::object();
}

double Deployment::metric(size_t host, const std::string& name, const std::string& label) const
{
    const std::string text = httpCall({ .url = m_hosts.at(host).url("/metrics") }).body;
    size_t start = 0;
    while (start < text.size()) {
        const size_t end = std::min(text.find('\n', start), text.size());
        const std::string line = text.substr(start, end - start);
        if (line.starts_with(name) && line.find(label) != std::string::npos) {
            return std::stod(line.substr(line.rfind(' ') + 1));
        }
        start = end + 1;
    }
    return 0;
}

} // namespace siskinspread::testing
