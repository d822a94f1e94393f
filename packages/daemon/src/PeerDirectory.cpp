#include "siskinspread/PeerDirectory.h"

#include <nlohmann/json.hpp>

namespace siskinspread {

namespace {

    constexpr std::chrono::milliseconds askInterval { 500 };
    // Ten unanswered questions; a shorter silence is common while a host is busy or paused.
    constexpr std::chrono::milliseconds silenceLimit { 5000 };
    constexpr const char* identityMethod = "identity";
    constexpr const char* goodbyeMethod = "goodbye";

} // namespace

PeerDirectory::PeerDirectory(HostContext& context, Timers& timers, PeerCalls& calls)
    : m_context(context)
    , m_timers(timers)
    , m_calls(calls)
{
    m_calls.methods().registerMethod(identityMethod, [this](const std::string&) -> RpcOutcome {
        return nlohmann::json(m_context.incarnation.text).dump();
    });
    m_calls.methods().registerMethod(goodbyeMethod, [this](const std::string& params) -> RpcOutcome {
        const auto document = nlohmann::json::parse(params, nullptr, false);
        if (document.is_object()) {
            markEnded({ document.value("incarnation", "") });
        }
        return nlohmann::json(true).dump();
    });
}

void PeerDirectory::start()
{
    askAll();
}

void PeerDirectory::askAll()
{
    forgiveOwnPause();
    for (const schema::PeerSettings& peer : m_context.settings.peers()) {
        m_calls.call(peer.name(), identityMethod, "", [this, host = peer.name()](const RpcOutcome& outcome) { onIdentity(host, outcome); });
    }
    judgeSilence();
    m_timers.schedule(m_context.now + askInterval, [this] { askAll(); });
}

void PeerDirectory::onIdentity(const std::string& host, const RpcOutcome& outcome)
{
    const auto result = nlohmann::json::parse(outcome.resultJson, nullptr, false);
    if (!outcome.ok() || !result.is_string()) {
        return;
    }
    const IncarnationId incarnation { result.get<std::string>() };
    Peer& peer = m_peers[host];
    if (!peer.incarnation.text.empty() && peer.incarnation != incarnation) {
        markEnded(peer.incarnation);
    }
    peer = { .incarnation = incarnation, .answeredAt = m_context.now };
    if (!m_final.contains(incarnation)) {
        m_ended.erase(incarnation); // it was silent and is back
    }
    for (const auto& [expected, since] : m_expected) {
        if (hostOf(expected) == host && expected != incarnation) {
            markEnded(expected);
        }
    }
    m_expected.erase(incarnation);
}

void PeerDirectory::markEnded(const IncarnationId& incarnation)
{
    m_ended.insert(incarnation);
    m_final.insert(incarnation);
}

void PeerDirectory::expect(const IncarnationId& incarnation)
{
    const auto peer = m_peers.find(hostOf(incarnation));
    const bool isKnown = peer != m_peers.end() && peer->second.incarnation == incarnation;
    if (isKnown || incarnation == m_context.incarnation) {
        return;
    }
    m_expected.emplace(incarnation, m_context.now);
}

// A host that was paused has asked nobody meanwhile: the silence is its own, and it would close the logs of all others.
void PeerDirectory::forgiveOwnPause()
{
    const bool wasPaused = m_askedAt && m_context.now - *m_askedAt > 2 * askInterval;
    m_askedAt = m_context.now;
    if (!wasPaused) {
        return;
    }
    for (auto& [host, peer] : m_peers) {
        peer.answeredAt = m_context.now;
    }
    for (auto& [incarnation, since] : m_expected) {
        since = m_context.now;
    }
}

void PeerDirectory::judgeSilence()
{
    for (const auto& [host, peer] : m_peers) {
        if (m_context.now - peer.answeredAt > silenceLimit) {
            m_ended.insert(peer.incarnation);
        }
    }
    for (const auto& [incarnation, since] : m_expected) {
        if (m_context.now - since > silenceLimit) {
            m_ended.insert(incarnation);
        }
    }
}

std::vector<SliceOwnerCandidate> PeerDirectory::live() const
{
    std::vector<SliceOwnerCandidate> candidates { { .incarnation = m_context.incarnation, .failureDomain = m_context.settings.host().failure_domain() } };
    for (const auto& [host, peer] : m_peers) {
        const schema::PeerSettings* settings = findPeer(m_context.settings, host);
        if (settings && !m_ended.contains(peer.incarnation) && m_context.now - peer.answeredAt <= silenceLimit) {
            candidates.push_back({ .incarnation = peer.incarnation, .failureDomain = settings->failure_domain() });
        }
    }
    return candidates;
}

void PeerDirectory::sayGoodbye()
{
    const std::string params = nlohmann::json { { "incarnation", m_context.incarnation.text } }.dump();
    for (const schema::PeerSettings& peer : m_context.settings.peers()) {
        m_calls.call(peer.name(), goodbyeMethod, params, [](const RpcOutcome&) {});
    }
}

} // namespace siskinspread
