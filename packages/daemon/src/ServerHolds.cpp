#include "siskinspread/ServerHolds.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace siskinspread {

namespace {

    constexpr const char* holdMethod = "hold_server";
    constexpr std::chrono::milliseconds tickInterval { 1'000 };
    constexpr std::chrono::milliseconds holdTime { 60'000 };
    constexpr std::chrono::milliseconds prolongInterval { 20'000 };
    constexpr std::chrono::milliseconds giveUpTime { 30'000 };
    constexpr size_t maxHolds = 4'096;

} // namespace

ServerHolds::ServerHolds(HostContext& context, Parts parts)
    : m_context(context)
    , m_parts(std::move(parts))
{
    m_parts.calls.methods().registerMethod(holdMethod, [this](const std::string& params) { return takeHold(params); });
}

void ServerHolds::start()
{
    tick();
}

void ServerHolds::tick()
{
    m_parts.timers.schedule(m_context.now + tickInterval, [this] { tick(); });
    std::erase_if(m_ends, [this](const auto& item) { return m_context.now >= item.second && !m_own.contains(item.first); });
    for (const auto& [server, end] : std::map<std::string, MonotonicTime> { m_ends }) {
        const auto own = m_own.find(server);
        if (own != m_own.end()) {
            advance(server, own->second);
        }
    }
}

void ServerHolds::holdBack(const std::string& server, Told told)
{
    m_own[server] = { .number = ++m_lastNumber, .waiting = {}, .prolongAt = m_context.now, .giveUpAt = m_context.now + giveUpTime, .told = std::move(told) };
    hold(server, holdTime);
}

void ServerHolds::advance(const std::string& server, OwnHold& own)
{
    const std::vector<std::string> hosts = m_parts.otherHosts();
    if (m_context.now >= own.prolongAt) {
        own.prolongAt = m_context.now + prolongInterval;
        own.waiting = { hosts.begin(), hosts.end() };
        hold(server, holdTime);
    } else {
        std::erase_if(own.waiting, [&hosts](const std::string& host) { return std::find(hosts.begin(), hosts.end(), host) == hosts.end(); });
        const bool isConfirmed = own.waiting.empty();
        if (own.told && (isConfirmed || m_context.now >= own.giveUpAt)) {
            m_context.metrics.countServerHold(isConfirmed);
            std::exchange(own.told, {})(isConfirmed);
            return;
        }
    }
    for (const std::string& host : own.waiting) {
        tell(server, host, holdTime, [this, server, host, number = own.number](const RpcOutcome& outcome) {
            const auto known = m_own.find(server);
            if (outcome.ok() && known != m_own.end() && known->second.number == number) {
                known->second.waiting.erase(host);
            }
        });
    }
}

void ServerHolds::release(const std::string& server)
{
    m_own.erase(server);
    m_ends.erase(server);
    for (const std::string& host : m_parts.otherHosts()) {
        tell(server, host, std::chrono::milliseconds { 0 }, [](const RpcOutcome&) {});
    }
}

void ServerHolds::tell(const std::string& server, const std::string& host, std::chrono::milliseconds time, PeerCalls::Done done)
{
    m_parts.calls.call(host, holdMethod, nlohmann::json { { "server", server }, { "time_ms", time.count() } }.dump(), std::move(done));
}

RpcOutcome ServerHolds::takeHold(const std::string& paramsJson)
{
    const auto params = nlohmann::json::parse(paramsJson, nullptr, false);
    const bool isHold = params.is_object() && params.contains("server") && params["server"].is_string() && params.contains("time_ms") && params["time_ms"].is_number_integer();
    if (!isHold) {
        return rpcFailure(rpc_error::invalidParams, "hold_server takes server and time_ms");
    }
    const auto server = params["server"].get<std::string>();
    if (m_ends.size() >= maxHolds && !m_ends.contains(server)) {
        return rpcFailure(rpc_error::invalidParams, "too many servers are held back");
    }
    hold(server, std::chrono::milliseconds { params["time_ms"].get<int64_t>() });
    return nlohmann::json(true).dump();
}

void ServerHolds::hold(const std::string& server, std::chrono::milliseconds time)
{
    if (time.count() <= 0) {
        m_ends.erase(server);
        return;
    }
    m_ends[server] = m_context.now + std::min(time, holdTime);
}

bool ServerHolds::isHeldBack(const std::string& server) const
{
    const auto end = m_ends.find(server);
    return end != m_ends.end() && m_context.now < end->second;
}

} // namespace siskinspread
