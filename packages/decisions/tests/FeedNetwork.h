#pragma once

#include "siskinspread/ConfigurationFeed.h"

#include <algorithm>
#include <deque>

namespace siskinspread {

/** Feeds of all hosts, the store, and the messages between them, in virtual time. */
class FeedNetwork {
public:
    FeedNetwork(size_t domains, size_t hostsPerDomain)
    {
        for (size_t i = 0; i < domains * hostsPerDomain; ++i) {
            const std::string name = "d" + std::to_string(i / hostsPerDomain) + "h" + std::to_string(i % hostsPerDomain);
            m_hosts[name].domain = i / hostsPerDomain;
            restart(name);
        }
        updateMembers();
    }

    void publish() { ++m_storeRevision; }
    void setStoreUp(bool isUp) { m_storeUp = isUp; }
    std::string violation() const { return m_violation; }
    uint64_t storeRevision() const { return m_storeRevision; }
    size_t storeCalls() const { return m_storeCalls; }
    size_t hostCount() const { return m_hosts.size(); }

    void remove(const std::string& host)
    {
        m_hosts.erase(host);
        updateMembers();
    }

    /** One step of a script: time, a tick, a delivery, a loss, a repeat, a cut, a restart, an outage, a publish. */
    void perform(uint32_t choice)
    {
        const std::string name = nameAt(choice >> 8);
        const std::string other = nameAt(choice >> 16);
        const uint32_t operation = choice % 32;
        m_now += std::chrono::milliseconds { 20 } * ((choice >> 24) % 32);
        if (operation == 0) {
            toggle(m_cuts, { name, other });
        } else if (operation == 1) {
            restart(name);
            updateMembers();
        } else if (operation == 2) {
            m_storeUp = !m_storeUp;
        } else if (operation == 3) {
            toggle(m_cuts, { name, "store" });
        } else if (operation < 6) {
            publish();
        } else if (operation < 10) {
            finishWatch(name);
        } else if (operation < 14) {
            sendAdvert(name, other);
        } else if (operation < 18) {
            dispatch(name, FeedTick {});
        } else if (!m_messages.empty()) {
            deliverAny(choice >> 8, operation == 18, operation == 19);
        }
    }

    void heal()
    {
        m_cuts.clear();
        m_storeUp = true;
    }

    void runWithoutFaults(std::chrono::milliseconds time)
    {
        constexpr std::chrono::milliseconds round { 250 };
        for (const auto end = m_now + time; m_now < end; m_now += round) {
            const auto number = static_cast<uint64_t>(m_now.time_since_epoch() / round);
            for (const auto& [name, host] : m_hosts) {
                dispatch(name, FeedTick {});
                finishWatch(name);
                if (number % 4 == 0) {
                    const std::vector<std::string>& members = host.run.feed.members;
                    const std::string& peer = members[std::hash<std::string> {}(name + std::to_string(number)) % members.size()];
                    sendAdvert(name, peer); // a ping and its acknowledgement
                    sendAdvert(peer, name);
                }
            }
            for (size_t count = m_messages.size(); count > 0; --count) {
                deliverAny(0, false, false);
            }
        }
    }

    std::string soleWatcher() const
    {
        std::string watcher;
        for (const auto& [name, host] : m_hosts) {
            if (host.run.feed.storeCallOpen) {
                watcher = watcher.empty() ? name : "several";
            }
        }
        return watcher;
    }

    size_t hostsInForce(uint64_t revision) const
    {
        return static_cast<size_t>(std::count_if(m_hosts.begin(), m_hosts.end(),
            [revision](const auto& item) { return makeAdvert(item.second.run.feed, {}).revision == revision; }));
    }

private:
    /** What a host loses when it restarts. */
    struct Run {
        ConfigurationFeedState feed;
        uint64_t number { 0 };
        bool storeAnswered { false };
        std::optional<MonotonicTime> watchUntil;
        uint64_t watchRevision { 0 };
        std::map<std::string, uint64_t> heard; /**< Highest revision delivered from each host. */
        uint64_t toldFloor { 0 }; /**< Highest revision of a former run that an answering peer had heard. */
    };
    struct Host {
        Run run;
        size_t domain { 0 };
        uint64_t highestEnforced { 0 }; /**< In any run. */
    };
    struct Message {
        std::string from;
        std::string to;
        uint64_t toRun; /**< Answers reach the run that asked; zero: any. */
        std::variant<FeedEvent, FetchConfiguration, AskRevision> content;
    };
    using Way = std::pair<std::string, std::string>;

    static void toggle(std::map<Way, bool>& ways, const Way& way) { ways[way] = !ways[way]; }
    bool isCut(const Way& way) const { return m_cuts.contains(way) && m_cuts.at(way); }
    std::string nameAt(size_t index) const { return std::next(m_hosts.begin(), static_cast<std::ptrdiff_t>(index % m_hosts.size()))->first; }

    void restart(const std::string& name)
    {
        Run& run = m_hosts[name].run;
        const uint64_t number = run.number + 1;
        run = {};
        run.number = number;
        run.feed.self = name;
        run.feed.seed = number;
    }

    void updateMembers()
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

    void dispatch(const std::string& name, const FeedEvent& event)
    {
        std::vector<FeedAction> actions;
        step(m_hosts.at(name).run.feed, {}, event, m_now, actions);
        for (const FeedAction& action : actions) {
            perform(name, action);
        }
    }

    void perform(const std::string& name, const FeedAction& action)
    {
        Host& host = m_hosts.at(name);
        if (const auto* watch = std::get_if<WatchStore>(&action)) {
            ++m_storeCalls;
            host.run.watchUntil = m_now + watch->waitTime;
            host.run.watchRevision = watch->knownRevision;
        } else if (const auto* fetch = std::get_if<FetchConfiguration>(&action)) {
            m_messages.push_back({ name, fetch->host, 0, *fetch });
        } else if (const auto* ask = std::get_if<AskRevision>(&action)) {
            m_messages.push_back({ name, ask->host, 0, *ask });
        } else if (const auto* announcement = std::get_if<AnnounceRevision>(&action)) {
            for (const std::string& to : announcement->hosts) {
                sendAdvert(name, to);
            }
        } else if (const auto* enforced = std::get_if<EnforceConfiguration>(&action)) {
            checkEnforced(host, enforced->document.revision);
        }
    }

    /** A revision may only be lower if nothing that the present run was told of speaks against it. */
    void checkEnforced(Host& host, uint64_t revision)
    {
        const bool couldKnow = host.run.storeAnswered || host.run.toldFloor >= host.highestEnforced;
        if (revision < host.highestEnforced && couldKnow) {
            m_violation = host.run.feed.self + " went from " + std::to_string(host.highestEnforced) + " to " + std::to_string(revision);
        }
        host.highestEnforced = std::max(host.highestEnforced, revision);
    }

    void sendAdvert(const std::string& from, const std::string& to)
    {
        if (from != to) {
            const bool sameDomain = m_hosts.at(from).domain == m_hosts.at(to).domain;
            m_messages.push_back({ from, to, 0, RevisionHeard { from, sameDomain, makeAdvert(m_hosts.at(from).run.feed, m_now) } });
        }
    }

    void deliverAny(size_t index, bool isRepeated, bool isLost)
    {
        const auto picked = m_messages.begin() + static_cast<std::ptrdiff_t>(index % m_messages.size());
        const Message message = *picked;
        if (!isRepeated) {
            m_messages.erase(picked);
        }
        const bool arrives = m_hosts.contains(message.to) && m_hosts.contains(message.from) && !isCut({ message.from, message.to });
        if (isLost || !arrives || (message.toRun && message.toRun != m_hosts.at(message.to).run.number)) {
            return;
        }
        if (const auto* event = std::get_if<FeedEvent>(&message.content)) {
            note(m_hosts.at(message.to).run, *event);
            dispatch(message.to, *event);
        } else {
            answer(message);
        }
    }

    static void note(Run& run, const FeedEvent& event)
    {
        if (const auto* heard = std::get_if<RevisionHeard>(&event)) {
            run.heard[heard->host] = std::max(run.heard[heard->host], heard->advert.revision);
        } else if (const auto* told = std::get_if<RevisionTold>(&event)) {
            run.toldFloor = std::max(run.toldFloor, told->heardFromAsker);
        }
    }

    void answer(const Message& message)
    {
        Run& run = m_hosts.at(message.to).run;
        const auto reply = [&](const FeedEvent& event) {
            m_messages.push_back({ message.to, message.from, m_hosts.at(message.from).run.number, event });
        };
        const auto told = answerAskRevision(run.feed, message.from);
        if (std::holds_alternative<AskRevision>(message.content)) {
            if (told) {
                m_violation = told->heardFromAsker < run.heard[message.from] ? message.to + " forgot " + message.from : m_violation;
                reply(*told);
            }
        } else if (run.feed.inForce) {
            reply(ConfigurationFetched { message.to, *run.feed.inForce });
        } else {
            reply(FetchFailed { message.to });
        }
    }

    void finishWatch(const std::string& name)
    {
        Run& run = m_hosts.at(name).run;
        const bool reachable = m_storeUp && !isCut({ name, "store" });
        const bool answers = !run.feed.ready || m_storeRevision > run.watchRevision;
        if (!run.watchUntil || (reachable && !answers && m_now < *run.watchUntil)) {
            return;
        }
        run.watchUntil.reset();
        if (!reachable) {
            dispatch(name, StoreCallFailed {});
        } else if (answers) {
            run.storeAnswered = true;
            dispatch(name, StoreAnswered { { .revision = m_storeRevision, .body = "b", .problem = {} } });
        } else {
            dispatch(name, StoreUnchanged {});
        }
    }

    std::map<std::string, Host> m_hosts;
    std::deque<Message> m_messages;
    std::map<Way, bool> m_cuts;
    MonotonicTime m_now { std::chrono::hours { 1 } };
    uint64_t m_storeRevision { 1 };
    bool m_storeUp { true };
    size_t m_storeCalls { 0 };
    std::string m_violation;
};

} // namespace siskinspread
