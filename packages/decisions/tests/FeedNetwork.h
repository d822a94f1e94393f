#pragma once

#include "siskinspread/ConfigurationFeed.h"

#include <algorithm>
#include <deque>
#include <map>
#include <set>

namespace siskinspread {

/** Feeds of all hosts, the store, and the messages between them, in virtual time. */
class FeedNetwork {
public:
    FeedNetwork(size_t domains, size_t hostsPerDomain);

    /** One step of a script: time, a tick, a delivery, a loss, a duplicate, a cut, a restart, an outage, a publish. */
    void perform(uint32_t choice);
    void heal();
    void runWithoutFaults(std::chrono::milliseconds time);

    void publish() { ++m_storeRevision; }
    void setStoreUp(bool isUp) { m_storeUp = isUp; }
    void remove(const std::string& host);

    std::string violation() const { return m_violation; }
    std::string soleWatcher() const;
    uint64_t storeRevision() const { return m_storeRevision; }
    size_t storeCalls() const { return m_storeCalls; }
    size_t hostCount() const { return m_hosts.size(); }
    size_t hostsInForce(uint64_t revision) const;

private:
    struct Host {
        ConfigurationFeedState feed;
        size_t domain { 0 };
        uint64_t incarnation { 0 };
        uint64_t highestEnforced { 0 }; /**< By any incarnation. */
        bool storeAnswered { false }; /**< To this incarnation. */
        std::optional<MonotonicTime> watchUntil;
        uint64_t watchRevision { 0 };
        std::map<std::string, uint64_t> heard; /**< Highest revision delivered to this incarnation from each host. */
        uint64_t toldFloor { 0 }; /**< Highest revision of a former incarnation that an answering peer had heard. */
    };
    struct Message {
        std::string from;
        std::string to;
        uint64_t toIncarnation; /**< Answers reach the incarnation that asked; zero: any. */
        FeedEvent event;
        bool asksRevision { false };
        bool fetches { false };
    };

    void dispatch(const std::string& name, const FeedEvent& event);
    void perform(const std::string& name, const FeedAction& action);
    void checkEnforced(Host& host, uint64_t revision);
    void sendAdvert(const std::string& from, const std::string& to);
    void deliver(const Message& message);
    void answer(const Message& message);
    void finishWatch(const std::string& name);
    void restart(const std::string& name);
    void updateMembers();
    bool isCut(const std::string& from, const std::string& to) const { return m_cuts.contains({ from, to }); }
    std::string nameAt(size_t index) const;

    std::map<std::string, Host> m_hosts;
    std::deque<Message> m_messages;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::set<std::string> m_storeCuts;
    MonotonicTime m_now { std::chrono::hours { 1 } };
    uint64_t m_storeRevision { 1 };
    bool m_storeUp { true };
    size_t m_storeCalls { 0 };
    std::string m_violation;
};

constexpr std::chrono::milliseconds feedRound { 250 };

inline FeedNetwork::FeedNetwork(size_t domains, size_t hostsPerDomain)
{
    for (size_t i = 0; i < domains * hostsPerDomain; ++i) {
        const std::string name = "d" + std::to_string(i / hostsPerDomain) + "h" + std::to_string(i % hostsPerDomain);
        Host& host = m_hosts[name];
        host.domain = i / hostsPerDomain;
        host.feed.self = name;
        host.feed.seed = i;
    }
    updateMembers();
}

inline std::string FeedNetwork::nameAt(size_t index) const
{
    return std::next(m_hosts.begin(), static_cast<std::ptrdiff_t>(index % m_hosts.size()))->first;
}

inline void FeedNetwork::updateMembers()
{
    std::map<size_t, FeedMembersChanged> byDomain;
    for (const auto& [name, host] : m_hosts) {
        byDomain[host.domain].hosts.push_back(name);
    }
    for (auto& [domain, members] : byDomain) {
        for (const auto& [other, otherMembers] : byDomain) {
            if (other != domain) {
                members.relays.push_back(otherMembers.hosts.front());
            }
        }
    }
    for (auto& [name, host] : m_hosts) {
        dispatch(name, byDomain[host.domain]);
    }
}

inline void FeedNetwork::dispatch(const std::string& name, const FeedEvent& event)
{
    std::vector<FeedAction> actions;
    step(m_hosts.at(name).feed, {}, event, m_now, actions);
    for (const FeedAction& action : actions) {
        perform(name, action);
    }
}

inline void FeedNetwork::checkEnforced(Host& host, uint64_t revision)
{
    const bool known = host.storeAnswered || host.toldFloor >= host.highestEnforced;
    if (revision < host.highestEnforced && known) {
        m_violation = host.feed.self + " went from " + std::to_string(host.highestEnforced) + " to " + std::to_string(revision);
    }
    host.highestEnforced = std::max(host.highestEnforced, revision);
}

inline void FeedNetwork::perform(const std::string& name, const FeedAction& action)
{
    Host& host = m_hosts.at(name);
    if (const auto* watch = std::get_if<WatchStore>(&action)) {
        ++m_storeCalls;
        host.watchUntil = m_now + watch->waitTime;
        host.watchRevision = watch->knownRevision;
    } else if (const auto* fetch = std::get_if<FetchConfiguration>(&action)) {
        m_messages.push_back({ .from = name, .to = fetch->host, .toIncarnation = 0, .event = {}, .fetches = true });
    } else if (const auto* ask = std::get_if<AskRevision>(&action)) {
        m_messages.push_back({ .from = name, .to = ask->host, .toIncarnation = 0, .event = {}, .asksRevision = true });
    } else if (const auto* announcement = std::get_if<AnnounceRevision>(&action)) {
        for (const std::string& to : announcement->hosts) {
            sendAdvert(name, to);
        }
    } else if (const auto* enforced = std::get_if<EnforceConfiguration>(&action)) {
        checkEnforced(host, enforced->document.revision);
    }
}

inline void FeedNetwork::sendAdvert(const std::string& from, const std::string& to)
{
    const bool sameDomain = m_hosts.at(from).domain == m_hosts.at(to).domain;
    m_messages.push_back({ .from = from, .to = to, .toIncarnation = 0, .event = RevisionHeard { from, sameDomain, makeAdvert(m_hosts.at(from).feed, m_now) } });
}

inline void FeedNetwork::deliver(const Message& message)
{
    const auto to = m_hosts.find(message.to);
    const bool arrives = to != m_hosts.end() && !isCut(message.from, message.to)
        && (!message.toIncarnation || message.toIncarnation == to->second.incarnation + 1);
    if (!arrives) {
        return;
    }
    if (message.fetches || message.asksRevision) {
        answer(message);
        return;
    }
    Host& host = to->second;
    if (const auto* heard = std::get_if<RevisionHeard>(&message.event)) {
        uint64_t& highest = host.heard[message.from];
        highest = std::max(highest, heard->advert.revision);
    }
    if (const auto* told = std::get_if<RevisionTold>(&message.event)) {
        const auto teller = m_hosts.find(told->host);
        if (teller != m_hosts.end()) {
            host.toldFloor = std::max(host.toldFloor, told->heardFromAsker);
        }
    }
    dispatch(message.to, message.event);
}

inline void FeedNetwork::answer(const Message& message)
{
    const Host& host = m_hosts.at(message.to);
    const auto asker = m_hosts.find(message.from);
    if (asker == m_hosts.end()) {
        return;
    }
    Message reply { .from = message.to, .to = message.from, .toIncarnation = asker->second.incarnation + 1, .event = {} };
    if (message.fetches && host.feed.inForce) {
        reply.event = ConfigurationFetched { message.to, *host.feed.inForce };
    } else if (message.fetches) {
        reply.event = FetchFailed { message.to };
    } else if (const auto told = answerAskRevision(host.feed, message.from)) {
        const auto heard = host.heard.find(message.from);
        if (heard != host.heard.end() && told->heardFromAsker < heard->second) {
            m_violation = message.to + " forgot what " + message.from + " had in force";
        }
        reply.event = *told;
    } else {
        return;
    }
    m_messages.push_back(reply);
}

inline void FeedNetwork::finishWatch(const std::string& name)
{
    Host& host = m_hosts.at(name);
    if (!host.watchUntil) {
        return;
    }
    const bool reachable = m_storeUp && !m_storeCuts.contains(name);
    const bool changed = m_storeRevision > host.watchRevision;
    const bool isRead = host.feed.ready ? changed : true;
    if (reachable && !isRead && m_now < *host.watchUntil) {
        return;
    }
    host.watchUntil.reset();
    if (!reachable) {
        dispatch(name, StoreCallFailed {});
    } else if (isRead) {
        host.storeAnswered = true;
        dispatch(name, StoreAnswered { { .revision = m_storeRevision, .body = "b", .problem = {} } });
    } else {
        dispatch(name, StoreUnchanged {});
    }
}

inline void FeedNetwork::restart(const std::string& name)
{
    Host& host = m_hosts.at(name);
    const uint64_t seed = host.feed.seed + 1000;
    host.feed = {};
    host.feed.self = name;
    host.feed.seed = seed;
    ++host.incarnation;
    host.storeAnswered = false;
    host.watchUntil.reset();
    host.heard.clear();
    host.toldFloor = 0;
    updateMembers();
}

inline void FeedNetwork::remove(const std::string& host)
{
    m_hosts.erase(host);
    updateMembers();
}

inline void FeedNetwork::perform(uint32_t choice)
{
    const std::string name = nameAt(choice >> 8);
    const std::string other = nameAt(choice >> 16);
    m_now += std::chrono::milliseconds { 20 } * ((choice >> 24) % 32);
    switch (choice % 32) {
    case 0:
        m_cuts.contains({ name, other }) ? static_cast<void>(m_cuts.erase({ name, other })) : static_cast<void>(m_cuts.insert({ name, other }));
        return;
    case 1:
        restart(name);
        return;
    case 2:
        m_storeUp = !m_storeUp;
        return;
    case 3:
    case 4:
        publish();
        return;
    case 5:
        m_storeCuts.contains(name) ? static_cast<void>(m_storeCuts.erase(name)) : static_cast<void>(m_storeCuts.insert(name));
        return;
    case 6:
    case 7:
    case 8:
    case 9:
        finishWatch(name);
        return;
    case 10:
    case 11:
    case 12:
    case 13:
        if (name != other) {
            sendAdvert(name, other);
        }
        return;
    case 14:
    case 15:
    case 16:
    case 17:
        dispatch(name, FeedTick {});
        return;
    default:
        break;
    }
    if (m_messages.empty()) {
        return;
    }
    const auto picked = m_messages.begin() + static_cast<std::ptrdiff_t>((choice >> 8) % m_messages.size());
    const Message message = *picked;
    if (choice % 32 != 18) { // 18: the message stays in flight and is delivered again
        m_messages.erase(picked);
    }
    if (choice % 32 != 19) { // 19: the message is lost
        deliver(message);
    }
}

inline void FeedNetwork::heal()
{
    m_cuts.clear();
    m_storeCuts.clear();
    m_storeUp = true;
}

inline void FeedNetwork::runWithoutFaults(std::chrono::milliseconds time)
{
    for (auto end = m_now + time; m_now < end; m_now += feedRound) {
        const auto round = static_cast<uint64_t>(m_now.time_since_epoch() / feedRound);
        for (const auto& [name, host] : m_hosts) {
            dispatch(name, FeedTick {});
            finishWatch(name);
            if (round % 4 == 0 && host.feed.members.size() > 1) {
                const uint64_t pick = std::hash<std::string> {}(name + std::to_string(round)) % host.feed.members.size();
                if (host.feed.members[pick] != name) {
                    sendAdvert(name, host.feed.members[pick]); // a ping and its acknowledgement
                    sendAdvert(host.feed.members[pick], name);
                }
            }
        }
        for (size_t count = m_messages.size(); count > 0; --count) {
            const Message message = m_messages.front();
            m_messages.pop_front();
            deliver(message);
        }
    }
}

inline std::string FeedNetwork::soleWatcher() const
{
    std::string watcher;
    for (const auto& [name, host] : m_hosts) {
        if (host.feed.storeCallOpen) {
            watcher = watcher.empty() ? name : "several";
        }
    }
    return watcher;
}

inline size_t FeedNetwork::hostsInForce(uint64_t revision) const
{
    return static_cast<size_t>(std::count_if(m_hosts.begin(), m_hosts.end(),
        [revision](const auto& entry) { return entry.second.feed.inForce && entry.second.feed.inForce->revision == revision; }));
}

} // namespace siskinspread
