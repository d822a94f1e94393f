#include "Cloud.h"

#include <algorithm>
#include <stdexcept>

namespace siskinspread::standin {
namespace {

    constexpr std::string_view hostsPrefix = "/hosts/";
    constexpr std::string_view weightsPrefix = "/weights/";
    constexpr double defaultPricePerHour = 1;

    const char* stateName(HostState state)
    {
        switch (state) {
        case HostState::Running:
            return "running";
        case HostState::Leaving:
            return "leaving";
        case HostState::Ended:
            return "ended";
        }
        return "";
    }

    nlohmann::json timeJson(const std::optional<std::chrono::system_clock::time_point>& time)
    {
        if (!time) {
            return nullptr;
        }
        return std::chrono::duration_cast<std::chrono::milliseconds>(time->time_since_epoch()).count();
    }

    nlohmann::json hostJson(const CloudHost& host)
    {
        return { { "name", host.name }, { "class", host.hostClass }, { "failure_domain", host.failureDomain },
            { "address", host.address }, { "reclaimable", host.isReclaimable }, { "state", stateName(host.state) },
            { "price_per_hour", host.pricePerHour }, { "notice_at_ms", timeJson(host.noticeAt) }, { "ends_at_ms", timeJson(host.endsAt) } };
    }

    bool take(TokenBucket& bucket, std::chrono::steady_clock::time_point now)
    {
        if (bucket.perSecond <= 0) {
            return true;
        }
        const double elapsed = std::chrono::duration<double>(now - bucket.filledAt).count();
        const double burst = std::max(bucket.perSecond, 1.0);
        bucket.tokens = std::min(burst, bucket.tokens + elapsed * bucket.perSecond);
        bucket.filledAt = now;
        if (bucket.tokens < 1) {
            return false;
        }
        bucket.tokens -= 1;
        return true;
    }

} // namespace

Cloud::Cloud(CloudOptions options, EventLoop& loop)
    : m_options(options)
    , m_loop(loop)
    , m_list(options.listLag)
    , m_weightRate { .perSecond = options.weightsPerSecond, .tokens = std::max(options.weightsPerSecond, 1.0), .filledAt = std::chrono::steady_clock::now() }
{
}

void Cloud::handle(const Call& call, const Responder& responder)
{
    if (call.path.starts_with("/control/")) {
        handleControl(call, responder);
    } else {
        passCommonFaults(m_faults.common, m_loop, responder, [this, call, responder] { serve(call, responder); });
    }
}

void Cloud::handleControl(const Call& call, const Responder& responder)
{
    if (call.path == "/control/faults") {
        setFaults(call, responder, [this](const auto& name, const auto& value) { return setFault(name, value); });
        return;
    }
    const auto order = nlohmann::json::parse(call.body);
    if (call.path == "/control/hosts") {
        for (const auto& description : order) {
            addHost(description);
        }
        publishList();
    } else if (call.path == "/control/notice") {
        giveNotice(order);
    } else if (call.path == "/control/ended") {
        endHosts(selectHosts(order));
    } else if (call.path == "/control/prices") {
        setPrices(order);
    } else {
        responder.send(404);
        return;
    }
    sendJson(responder, 200, nlohmann::json::object());
}

void Cloud::serve(const Call& call, const Responder& responder)
{
    if (call.path == "/hosts") {
        if (call.method == "POST") {
            createHost(call, responder);
        } else {
            sendHosts(responder);
        }
    } else if (call.path.starts_with(hostsPrefix) && call.method == "DELETE") {
        removeHost(call.path.substr(hostsPrefix.size()), call, responder);
    } else if (call.path.starts_with(hostsPrefix)) {
        sendHost(call.path.substr(hostsPrefix.size()), responder);
    } else if (call.path == "/host-list") {
        sendHostList(responder);
    } else if (call.path == "/notices") {
        sendNotices(call, responder);
    } else if (call.path == "/prices") {
        sendJson(responder, 200, m_prices);
    } else if (call.path.starts_with(weightsPrefix)) {
        sendWeights(call.path.substr(weightsPrefix.size()), responder);
    } else {
        responder.send(404);
    }
}

void Cloud::createHost(const Call& call, const Responder& responder)
{
    const auto description = nlohmann::json::parse(call.body);
    if (!passesFencing(description.value("fencing", uint64_t { 0 }), responder)) {
        return;
    }
    auto existing = m_hosts.find(description.value("name", std::string()));
    if (existing != m_hosts.end()) {
        answerOrder(200, existing->second, responder);
        return;
    }
    if (m_faults.refuseStarts > 0) {
        --m_faults.refuseStarts;
        sendJson(responder, 503, { { "error", "no capacity" } });
        return;
    }
    const CloudHost& host = addHost(description);
    publishList();
    answerOrder(201, host, responder);
}

void Cloud::removeHost(const std::string& name, const Call& call, const Responder& responder)
{
    if (!passesFencing(call.queryNumber("fencing", 0), responder)) {
        return;
    }
    auto found = m_hosts.find(name);
    if (found == m_hosts.end()) {
        responder.send(404);
        return;
    }
    endHosts({ name });
    answerOrder(200, found->second, responder);
}

bool Cloud::passesFencing(uint64_t fencing, const Responder& responder)
{
    if (m_options.checksFencing && fencing < m_highestFencing) {
        sendJson(responder, 409, { { "error", "old fencing number" }, { "fencing", m_highestFencing } });
        return false;
    }
    m_highestFencing = std::max(m_highestFencing, fencing);
    return true;
}

void Cloud::answerOrder(int status, const CloudHost& host, const Responder& responder)
{
    if (m_faults.loseNextAnswers > 0) {
        --m_faults.loseNextAnswers;
        responder.closeConnection();
        return;
    }
    sendJson(responder, status, hostJson(host));
}

CloudHost& Cloud::addHost(const nlohmann::json& description)
{
    CloudHost host;
    host.name = description.value("name", std::string());
    if (host.name.empty()) {
        host.name = "host-" + std::to_string(++m_lastName);
    }
    host.hostClass = description.at("class").get<std::string>();
    host.failureDomain = description.at("failure_domain").get<std::string>();
    host.address = description.value("address", std::string());
    host.isReclaimable = description.value("reclaimable", true);
    auto& prices = m_prices[host.hostClass];
    host.pricePerHour = prices.try_emplace(host.failureDomain, defaultPricePerHour).first->second;
    return m_hosts[host.name] = host;
}

void Cloud::giveNotice(const nlohmann::json& order)
{
    const auto now = std::chrono::system_clock::now();
    const std::chrono::seconds lead(order.at("seconds").get<int64_t>());
    for (const std::string& name : selectHosts(order)) {
        CloudHost& host = m_hosts.at(name);
        if (host.state == HostState::Ended) {
            continue;
        }
        host.state = HostState::Leaving;
        host.noticeAt = now;
        host.endsAt = now + lead;
        m_notices.push_back({ .sequence = m_notices.size() + 1, .host = name, .at = now, .lead = lead });
        m_loop.after(lead, [this, name, endsAt = host.endsAt] {
            if (m_hosts.at(name).endsAt == endsAt) { // else a later notice has replaced this one
                endHosts({ name });
            }
        });
    }
    publishList();
}

void Cloud::endHosts(const std::vector<std::string>& names)
{
    for (const std::string& name : names) {
        m_hosts.at(name).state = HostState::Ended;
    }
    publishList();
}

std::vector<std::string> Cloud::selectHosts(const nlohmann::json& order) const
{
    std::vector<std::string> names;
    if (order.contains("hosts")) {
        names = order.at("hosts").get<std::vector<std::string>>();
    } else {
        const auto failureDomain = order.at("failure_domain").get<std::string>();
        for (const auto& [name, host] : m_hosts) {
            if (host.failureDomain == failureDomain) {
                names.push_back(name);
            }
        }
    }
    for (const std::string& name : names) {
        if (m_hosts.count(name) == 0) {
            throw std::invalid_argument("unknown host: " + name);
        }
    }
    return names;
}

void Cloud::setPrices(const nlohmann::json& prices)
{
    m_prices = prices.get<decltype(m_prices)>();
    for (auto& [name, host] : m_hosts) {
        host.pricePerHour = m_prices[host.hostClass].try_emplace(host.failureDomain, defaultPricePerHour).first->second;
    }
}

void Cloud::publishList()
{
    std::vector<CloudHost> listed;
    for (const auto& [name, host] : m_hosts) {
        if (host.state != HostState::Ended) {
            listed.push_back(host);
        }
    }
    m_list.set(std::move(listed), std::chrono::steady_clock::now());
}

void Cloud::sendHosts(const Responder& responder) const
{
    auto hosts = nlohmann::json::array();
    for (const auto& [name, host] : m_hosts) {
        hosts.push_back(hostJson(host));
    }
    sendJson(responder, 200, hosts);
}

void Cloud::sendHost(const std::string& name, const Responder& responder) const
{
    const auto found = m_hosts.find(name);
    if (found == m_hosts.end()) {
        responder.send(404);
        return;
    }
    sendJson(responder, 200, hostJson(found->second));
}

void Cloud::sendHostList(const Responder& responder)
{
    auto hosts = nlohmann::json::array();
    const auto& published = m_list.published(std::chrono::steady_clock::now());
    for (const CloudHost& host : m_faults.frozenList ? *m_faults.frozenList : published) {
        hosts.push_back(hostJson(host));
    }
    sendJson(responder, 200, hosts);
}

void Cloud::sendNotices(const Call& call, const Responder& responder) const
{
    auto notices = nlohmann::json::array();
    for (const ReclaimNotice& notice : m_notices) {
        if (!m_faults.holdNotices && notice.sequence > call.queryNumber("after", 0)) {
            notices.push_back({ { "seq", notice.sequence }, { "host", notice.host }, { "at_ms", timeJson(notice.at) }, { "seconds", notice.lead.count() } });
        }
    }
    sendJson(responder, 200, notices);
}

void Cloud::sendWeights(const std::string& name, const Responder& responder)
{
    if (!take(m_weightRate, std::chrono::steady_clock::now())) {
        responder.send(429, {}, { { "Retry-After", "1" } });
        return;
    }
    responder.send(200, "weights of " + name + "\n");
}

bool Cloud::setFault(const std::string& name, const nlohmann::json& value)
{
    if (name == "refuse_starts") {
        m_faults.refuseStarts = value.get<uint64_t>();
    } else if (name == "lose_next_answers") {
        m_faults.loseNextAnswers = value.get<uint64_t>();
    } else if (name == "hold_notices") {
        m_faults.holdNotices = value.get<bool>();
    } else if (name == "freeze_list") {
        m_faults.frozenList.reset();
        if (value.get<bool>()) {
            m_faults.frozenList = m_list.published(std::chrono::steady_clock::now());
        }
    } else {
        return setCommonFault(m_faults.common, m_loop, name, value);
    }
    return true;
}

} // namespace siskinspread::standin
