#include "SoakRollout.h"

#include <algorithm>
#include <array>

namespace siskinspread::soak {

namespace {

    using nlohmann::json;
    using std::chrono::milliseconds;

    const std::string service = "moving";
    const std::string versionBefore = "v1";
    const std::string firstCandidate = "v2";
    const std::string secondCandidate = "v3";
    constexpr int replicasOfVersion = 3;
    // Longer than the traffic needs to be moved in the end (about 7 s), so that the version is on trial for some seconds before.
    constexpr milliseconds within { 12000 };
    constexpr milliseconds lateFault { 3500 };
    constexpr milliseconds replacedAfter { 3000 };
    // Replicas of a version that was rolled back drain some seconds later.
    constexpr milliseconds drainAfter { 1000 };
    constexpr milliseconds drainTime { 2000 };
    constexpr std::array<std::string_view, 5> caseNames { "good", "failing", "slow", "failing late", "replaced" };

    bool isBad(RolloutCase rolloutCase)
    {
        return rolloutCase == RolloutCase::Failing || rolloutCase == RolloutCase::Slow || rolloutCase == RolloutCase::FailingLate;
    }

    VersionFault faultOf(RolloutCase rolloutCase)
    {
        switch (rolloutCase) {
        case RolloutCase::Failing:
            return VersionFault::Failing;
        case RolloutCase::Slow:
            return VersionFault::Slow;
        case RolloutCase::Good:
        case RolloutCase::FailingLate:
        case RolloutCase::Replaced:
            break;
        }
        return VersionFault::None;
    }

} // namespace

SoakRollout::SoakRollout(asio::io_context& context, Ledger& ledger, platform::test::StandInPlatform& platform, uint64_t seed, std::function<void(const std::string&)> tell)
    : m_context(context)
    , m_ledger(ledger)
    , m_platform(platform)
    , m_tell(std::move(tell))
    , m_random(seed)
    , m_case(static_cast<RolloutCase>(seed % caseNames.size()))
{
}

void SoakRollout::later(milliseconds delay, std::function<void()> action)
{
    auto timer = std::make_shared<asio::steady_timer>(m_context, delay);
    timer->async_wait([timer, action = std::move(action)](const asio::error_code& cancelled) {
        if (!cancelled) {
            action();
        }
    });
}

void SoakRollout::add(int count, const std::string& version, VersionFault fault)
{
    for (int number = 0; number < count; ++number) {
        auto replica = std::make_unique<SoakReplica>(m_context, nextInstance(), m_ledger, m_random());
        replica->setVersion(version, fault);
        auto link = std::make_unique<SoakProxy>(m_context, replica->endpoint());
        m_servers.push_back({ .version = version, .replica = std::move(replica), .link = std::move(link) });
        announce(m_servers.back(), false);
    }
}

void SoakRollout::announce(Server& server, bool leaving)
{
    withdraw(server);
    server.entry = server.replica->instance();
    m_platform.put("servers", server.entry, { { "service", service }, { "address", "127.0.0.1:" + std::to_string(server.link->port()) }, { "zone", "odd" }, { "slots", 16 }, { "state", leaving ? "draining" : "serving" }, { "born", 1 }, { "version", server.version } });
}

void SoakRollout::withdraw(Server& server)
{
    if (!server.entry.empty() && server.entry != server.replica->instance()) {
        m_platform.remove("servers", server.entry);
        server.entry.clear();
    }
}

void SoakRollout::crash(Server& server)
{
    m_tell("crash of " + server.replica->instance() + " of version " + server.version);
    server.replica->restart(nextInstance());
    server.link->resetAll();
    later(drawTime(100, 500), [this, &server] { announce(server, false); });
}

void SoakRollout::start()
{
    m_ledger.versions[versionBefore].allowedFrom = std::chrono::steady_clock::now();
    add(replicasOfVersion, versionBefore, VersionFault::None);
}

void SoakRollout::begin()
{
    const auto orderAt = drawTime(300, 1500);
    m_ledger.versions[firstCandidate].isBad = isBad(m_case);
    later(orderAt, [this] { order(firstCandidate, faultOf(m_case)); });
    if (m_case == RolloutCase::FailingLate) {
        later(orderAt + lateFault, [this] {
            m_tell("version fails from now on");
            for (auto& server : m_servers) {
                server.replica->setVersion(server.version, server.version == firstCandidate ? VersionFault::Failing : VersionFault::None);
            }
        });
    } else if (m_case == RolloutCase::Good) {
        later(orderAt + drawTime(500, 2500), [this] { crash(m_servers.front()); });
        later(orderAt + drawTime(2500, 4500), [this] { crash(m_servers.back()); });
    } else if (m_case == RolloutCase::Replaced) {
        later(orderAt + replacedAfter, [this] {
            m_ledger.versions[firstCandidate].endedAt = std::chrono::steady_clock::now();
            order(secondCandidate, VersionFault::None);
        });
    }
}

/** The replicas are started on the order, so hosts may see them before they have read it. */
void SoakRollout::order(const std::string& version, VersionFault fault)
{
    const auto now = std::chrono::steady_clock::now();
    m_tell("order to move to " + version + ", " + std::string { caseNames.at(static_cast<size_t>(m_case)) });
    m_candidate = version;
    m_state.clear();
    auto& record = m_ledger.versions[version];
    record.allowedFrom = now;
    record.deadline = now + within;
    m_platform.put("rollouts", service, { { "service", service }, { "to", version }, { "within_s", within.count() / 1000 } });
    later(drawTime(0, 300), [this, version, fault] { add(replicasOfVersion, version, fault); });
}

void SoakRollout::followState()
{
    if (m_candidate.empty() || isDecided()) {
        return;
    }
    const auto& status = m_platform.statusOf("rollouts", service);
    if (!status.is_object() || status.value("to", "") != m_candidate || status.value("state", "") == m_state) {
        return;
    }
    m_state = status.value("state", "");
    m_tell("move to " + m_candidate + ": " + m_state);
    if (m_state == "complete") {
        stopOthers(m_candidate);
    } else if (m_state == "rolled_back") {
        m_ledger.versions[m_candidate].endedAt = std::chrono::steady_clock::now();
        for (auto& server : m_servers) {
            if (server.version == m_candidate) {
                later(drainAfter, [this, &server] { announce(server, true); });
                later(drainAfter + drainTime, [this, &server] {
                    server.replica->restart(nextInstance());
                    withdraw(server);
                });
            }
        }
    }
}

/** They stop at once, without draining. */
void SoakRollout::stopOthers(const std::string& version)
{
    for (auto& server : m_servers) {
        if (server.version != version) {
            server.replica->restart(nextInstance());
            withdraw(server);
            server.link->resetAll();
        }
    }
}

void SoakRollout::check()
{
    const std::string expected = isBad(m_case) ? "rolled_back" : "complete";
    if (m_state != expected) {
        m_ledger.problems.push_back("the move to " + m_candidate + " should be " + expected + " and is " + (m_state.empty() ? "not begun" : m_state));
    }
}

} // namespace siskinspread::soak
