#include "EntryHosts.h"

#include "Eventually.h"
#include "HttpClient.h"
#include "Programs.h"

#include <fstream>
#include <stdexcept>
#include <unistd.h>

namespace siskinspread::testing {
namespace {

    // Below the range from which the kernel takes ports by itself.
    constexpr int firstCallerPort = 21000;
    constexpr int firstPeerPort = 21100;
    constexpr int firstHeartbeatPort = 21200;

    /** @return an address in 127.0.0.0/8 made of the id of this process. */
    std::string ownLoopbackAddress()
    {
        const auto id = static_cast<unsigned>(getpid());
        return "127." + std::to_string(100 + ((id >> 16) & 127)) + "." + std::to_string((id >> 8) & 255) + "." + std::to_string(id & 255);
    }

    std::string program(const std::string& package, const std::string& name)
    {
        return (buildDirectory() / "packages" / package / name).string();
    }

} // namespace

EntryHosts::EntryHosts(std::vector<EntryHostPlace> places, const std::string& objectApi)
    : m_places(std::move(places))
    , m_address(ownLoopbackAddress())
{
    for (size_t i = 0; i < m_places.size(); ++i) {
        static_cast<void>(writeFile(m_places[i].name + ".toml", settingsOf(i, objectApi)));
    }
}

std::string EntryHosts::settingsOf(size_t index, const std::string& objectApi) const
{
    const EntryHostPlace& own = m_places[index];
    std::string text = "[host]\nname = \"" + own.name + "\"\nfailure_domain = \"" + own.failureDomain + "\"\n";
    text += "[listen]\naddress = \"" + m_address + "\"\n";
    text += "caller_port = " + std::to_string(firstCallerPort + index) + "\n";
    text += "peer_port = " + std::to_string(firstPeerPort + index) + "\n";
    text += "heartbeat_port = " + std::to_string(firstHeartbeatPort + index) + "\n";
    text += "[platform]\nobject_api = \"" + objectApi + "\"\n";
    for (size_t i = 0; i < m_places.size(); ++i) {
        if (i == index) {
            continue;
        }
        text += "[[peers]]\nname = \"" + m_places[i].name + "\"\nfailure_domain = \"" + m_places[i].failureDomain + "\"\n";
        text += "address = \"" + m_address + "\"\n";
        text += "peer_port = " + std::to_string(firstPeerPort + i) + "\n";
        text += "heartbeat_port = " + std::to_string(firstHeartbeatPort + i) + "\n";
    }
    return text;
}

std::string EntryHosts::writeFile(const std::string& name, const std::string& content) const
{
    const auto path = m_directory.path() / name;
    std::ofstream file { path };
    file << content;
    file.close();
    if (!file) {
        throw std::runtime_error("can't write " + path.string());
    }
    return path.string();
}

size_t EntryHosts::indexOf(const std::string& name) const
{
    for (size_t i = 0; i < m_places.size(); ++i) {
        if (m_places[i].name == name) {
            return i;
        }
    }
    throw std::runtime_error("no entry host " + name);
}

void EntryHosts::start(const std::string& name)
{
    const auto directory = m_directory.path();
    m_processes[name] = std::make_unique<ChildProcess>(ProcessOptions {
        .program = program("daemon", "siskinspread"),
        .arguments = { "--settings", (directory / (name + ".toml")).string() },
        .errorFile = (directory / (name + ".log")).string(),
    });
    eventually("entry host " + name + " answers", [&] { return status(name).contains("observer"); });
}

void EntryHosts::kill(const std::string& name)
{
    m_processes.at(name)->kill();
    m_processes.erase(name);
}

std::string EntryHosts::callerUrl(const std::string& name, const std::string& path) const
{
    return "http://" + m_address + ":" + std::to_string(firstCallerPort + indexOf(name)) + path;
}

std::string EntryHosts::peerUrl(const std::string& name, const std::string& path) const
{
    return "http://" + m_address + ":" + std::to_string(firstPeerPort + indexOf(name)) + path;
}

nlohmann::json EntryHosts::status(const std::string& name) const
{
    const HttpResponse response = httpCall({ .url = peerUrl(name, "/operator/status") });
    auto document = nlohmann::json::parse(response.body, nullptr, false);
    return document.is_object() ? document : nlohmann::json::object();
}

int EntryHosts::control(std::vector<std::string> arguments) const
{
    ChildProcess process { { .program = program("ctl", "siskinctl"), .arguments = std::move(arguments), .errorFile = {} } };
    const auto end = process.waitForEnd(std::chrono::seconds(60));
    return end ? end->exitCode.value_or(-1) : -1;
}

} // namespace siskinspread::testing
