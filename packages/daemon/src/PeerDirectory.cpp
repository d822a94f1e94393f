#include "siskinspread/PeerDirectory.h"

#include "siskinspread/CloudHost.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace siskinspread {

namespace {

    constexpr std::chrono::milliseconds reviewInterval { 250 };
    constexpr std::chrono::milliseconds joinTime { 2000 };
    // Owners of slices take over and ask often; the others may have to in time.
    constexpr std::chrono::milliseconds ownerAskInterval { 5000 };
    constexpr std::chrono::milliseconds otherAskInterval { 30'000 };
    constexpr const char* goodbyeMethod = "goodbye";

} // namespace

PeerDirectory::PeerDirectory(HostContext& context, Parts parts, CloudApiOptions cloud)
    : m_context(context)
    , m_parts(parts)
    , m_cloud(std::move(cloud))
    , m_options({ .asksPlatform = !m_cloud.url.empty() })
{
    m_parts.calls.methods().registerMethod(goodbyeMethod, [this](const std::string& params) -> RpcOutcome {
        const auto document = nlohmann::json::parse(params, nullptr, false);
        if (document.is_object()) {
            takeGoodbye(m_state, { document.value("incarnation", "") });
        }
        return nlohmann::json(true).dump();
    });
}

void PeerDirectory::start()
{
    m_startedAt = m_context.now;
    review();
}

void PeerDirectory::review()
{
    const std::set<IncarnationId> before = m_verdicts.ended;
    std::vector<ExpectedPeer> expected = m_expected;
    expected.insert(expected.end(), m_holders.begin(), m_holders.end());
    m_verdicts = reviewPeers(m_state, m_options, m_parts.membership.state(), m_parts.membership.options(), expected, m_context.now);
    logChanges(before);
    askPlatform();
    m_parts.timers.schedule(m_context.now + reviewInterval, [this] { review(); });
}

void PeerDirectory::logChanges(const std::set<IncarnationId>& before) const
{
    for (const IncarnationId& incarnation : m_verdicts.ended) {
        if (!before.contains(incarnation)) {
            m_context.log.write({ .level = LogLevel::Info, .message = "an incarnation has ended", .fields = { { .name = "incarnation", .value = incarnation.text } } });
        }
    }
}

void PeerDirectory::askPlatform()
{
    std::erase_if(m_askedAt, [this](const auto& asked) { return !m_verdicts.inDoubt.contains(asked.first); });
    const auto interval = m_ownsSlices ? ownerAskInterval : otherAskInterval;
    for (const std::string& host : m_verdicts.inDoubt) {
        const auto [asked, isFirst] = m_askedAt.emplace(host, m_context.now);
        if (!isFirst && m_context.now < asked->second + interval) {
            continue;
        }
        asked->second = m_context.now;
        m_context.platform.start(readCloudHost(m_cloud, host), [this, host](const ClientEvent& event) { onHostState(host, std::get<TransferEnded>(event)); });
    }
}

void PeerDirectory::onHostState(const std::string& host, const TransferEnded& ended)
{
    LastReason reason;
    const auto state = cloudHostState(ended, reason);
    m_context.metrics.countStoreCall(StorePurpose::CloudApi, state ? StoreOutcome::Answered : StoreOutcome::Unavailable);
    if (state == CloudHostState::Ended) {
        takeHostEnded(m_state, host);
    }
}

bool PeerDirectory::isLost(const IncarnationId& incarnation) const
{
    const MembershipState& membership = m_parts.membership.state();
    const schema::PeerSettings* peer = findPeer(m_context.settings, hostOf(incarnation));
    const bool isReachable = peer && isDomainReachable(membership, m_parts.membership.options(), peer->failure_domain(), m_context.now);
    return !isReachable || m_verdicts.ended.contains(incarnation);
}

bool PeerDirectory::hasJoined() const
{
    return m_context.now >= m_startedAt + joinTime;
}

void PeerDirectory::expect(const std::set<IncarnationId>& owners)
{
    m_expected.clear();
    m_ownsSlices = owners.contains(m_context.incarnation);
    for (const IncarnationId& owner : owners) {
        m_expected.push_back(expectedPeer(owner));
    }
}

ExpectedPeer PeerDirectory::expectedPeer(const IncarnationId& incarnation) const
{
    const std::string host = hostOf(incarnation);
    const schema::PeerSettings* peer = findPeer(m_context.settings, host);
    return { .incarnation = incarnation, .host = host, .failureDomain = peer ? peer->failure_domain() : "" };
}

void PeerDirectory::awaitVerdict(const IncarnationId& holder)
{
    std::erase_if(m_holders, [this, &holder](const ExpectedPeer& peer) { return peer.incarnation == holder || isGone(peer.incarnation); });
    m_holders.push_back(expectedPeer(holder));
}

void PeerDirectory::sayGoodbye()
{
    const std::string params = nlohmann::json { { "incarnation", m_context.incarnation.text } }.dump();
    for (const schema::PeerSettings& peer : m_context.settings.peers()) {
        m_parts.calls.call(peer.name(), goodbyeMethod, params, [](const RpcOutcome&) {});
    }
}

} // namespace siskinspread
