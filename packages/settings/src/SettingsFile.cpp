#include "siskinspread/SettingsFile.h"

#include "DocumentReader.h"
#include "ProblemCollector.h"

#include <set>

namespace siskinspread {

namespace {

    std::string endpoint(const std::string& address, uint32_t port)
    {
        return address + " port " + std::to_string(port);
    }

    void checkPorts(const schema::ListenSettings& listen, ProblemCollector& problems)
    {
        if (listen.has_peer_port() && listen.caller_port() == listen.peer_port()) {
            problems.add("listen.peer_port", "is the same TCP port as listen.caller_port; allowed: a port of its own");
        }
    }

    void checkPeers(const schema::Settings& settings, ProblemCollector& problems)
    {
        const schema::ListenSettings& listen = settings.listen();
        std::set<std::string> names { settings.host().name() };
        std::set<std::string> peerEndpoints { endpoint(listen.address(), listen.peer_port()), endpoint(listen.address(), listen.caller_port()) };
        std::set<std::string> heartbeatEndpoints { endpoint(listen.address(), listen.heartbeat_port()) };
        for (int index = 0; index < settings.peers_size(); ++index) {
            const schema::PeerSettings& peer = settings.peers(index);
            const std::string key = indexKey("peers", static_cast<size_t>(index));
            if (!peer.name().empty() && !names.insert(peer.name()).second) {
                problems.add(key + ".name", "\"" + peer.name() + "\" is the name of this host or of another peer; allowed: a name of its own");
            }
            if (peer.has_peer_port() && !peerEndpoints.insert(endpoint(peer.address(), peer.peer_port())).second) {
                problems.add(key + ".peer_port", endpoint(peer.address(), peer.peer_port()) + " belongs to this host or to another peer; allowed: a TCP endpoint of its own");
            }
            if (peer.has_heartbeat_port() && !heartbeatEndpoints.insert(endpoint(peer.address(), peer.heartbeat_port())).second) {
                problems.add(key + ".heartbeat_port", endpoint(peer.address(), peer.heartbeat_port()) + " belongs to this host or to another peer; allowed: a UDP endpoint of its own");
            }
        }
    }

    /** What is still to be recorded after the last request takes at least one call to the platform. */
    void checkDrain(const schema::Settings& settings, ProblemCollector& problems)
    {
        if (settings.drain().grace_ms() < settings.platform().timeout_ms()) {
            problems.add("drain.grace_ms", "is " + std::to_string(settings.drain().grace_ms()) + "; allowed: at least platform.timeout_ms, which is " + std::to_string(settings.platform().timeout_ms()));
        }
    }

} // namespace

std::optional<schema::Settings> parseSettings(std::string_view text, const std::string& file, LastReason& reason, std::vector<SettingsProblem>* problems)
{
    schema::Settings settings;
    KeyLines lines;
    std::vector<SettingsProblem> found;
    convertDocument(text, file, settings, lines, found);
    ProblemCollector collector { file, lines, found };
    checkPorts(settings.listen(), collector);
    checkPeers(settings, collector);
    checkDrain(settings, collector);
    sortProblems(found);
    if (problems) {
        *problems = found;
    }
    if (!found.empty()) {
        return fail(reason, ResultCode::InvalidSettings, formatProblems(found));
    }
    return settings;
}

std::optional<schema::Settings> loadSettings(const std::filesystem::path& path, LastReason& reason, std::vector<SettingsProblem>* problems)
{
    const std::optional<std::string> text = readDocument(path, ResultCode::InvalidSettings, reason);
    if (!text) {
        if (problems) {
            *problems = { { .file = path.string(), .line = 0, .key = {}, .text = reason.detail.substr(path.string().size() + 2) } };
        }
        return std::nullopt;
    }
    return parseSettings(*text, path.string(), reason, problems);
}

} // namespace siskinspread
