#pragma once

#include "siskinspread/Membership.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <random>

namespace siskinspread {

/** Hosts and the messages between them in virtual time, with cuts in one direction, losses, pauses and restarts. */
class MembershipNetwork {
public:
    struct Host {
        MembershipState state;
        bool running { true };
        bool paused { false };
        std::deque<MembershipMessage> inbox; /**< Arrived while paused. */
        uint32_t starts { 0 };
        size_t bytesSent { 0 };
        size_t messagesSent { 0 };
    };

    MembershipNetwork(size_t domains, size_t hostsPerDomain, MembershipOptions options = {})
        : m_options(options)
    {
        for (size_t i = 0; i < domains * hostsPerDomain; ++i) {
            m_hints.push_back({ .address = std::to_string(1000 + i), .failureDomain = "d" + std::to_string(i / hostsPerDomain) });
        }
        m_hosts.resize(m_hints.size());
        for (size_t i = 0; i < m_hosts.size(); ++i) {
            start(i);
        }
    }

    size_t size() const { return m_hosts.size(); }
    Host& host(size_t index) { return m_hosts[index % m_hosts.size()]; }
    MonotonicTime now() const { return m_now; }
    void setLossPercent(uint32_t percent) { m_lossPercent = percent; }
    void cut(size_t from, size_t to) { m_cuts.insert({ from % size(), to % size() }); }
    void mend(size_t from, size_t to) { m_cuts.erase({ from % size(), to % size() }); }

    bool isCut(size_t from, size_t to) const { return m_cuts.contains({ from, to }); }

    void start(size_t index)
    {
        Host& host = m_hosts[index % size()];
        const MembershipHint& hint = m_hints[index % size()];
        const uint32_t starts = ++host.starts;
        host.state = {};
        host.state.self.address = hint.address;
        host.state.self.host = "h" + hint.address;
        host.state.self.failureDomain = hint.failureDomain;
        // Later incarnations sort after earlier ones at some hosts and before them at others.
        host.state.self.incarnation = host.state.self.host + "." + std::to_string(index % 2 ? 500 - starts : 500 + starts);
        host.state.seed = index + size_t { 1000 } * starts;
        host.running = true;
        host.paused = false;
        host.inbox.clear();
        dispatch(index % size(), MembershipHints { m_hints });
    }

    void stop(size_t index) { host(index).running = false; }
    void pause(size_t index) { host(index).paused = true; }

    void resume(size_t index, bool losesInbox = false)
    {
        Host& woken = host(index);
        woken.paused = false;
        std::deque<MembershipMessage> inbox;
        inbox.swap(woken.inbox);
        for (size_t i = 0; i < inbox.size() && !losesInbox; ++i) {
            dispatch(index % size(), MembershipReceived { inbox[i] });
        }
    }

    std::function<size_t(const MembershipMessage&)> sizeOf = approximateSize; /**< Replace it to count by a codec. */

    void forgetTraffic()
    {
        for (Host& host : m_hosts) {
            host.bytesSent = 0;
            host.messagesSent = 0;
        }
    }

    void leave(size_t index) { dispatch(index % size(), MembershipLeave {}); }

    void heal()
    {
        m_cuts.clear();
        m_lossPercent = 0;
        for (size_t i = 0; i < size(); ++i) {
            if (m_hosts[i].paused) {
                resume(i);
            }
        }
    }

    void run(std::chrono::milliseconds time)
    {
        constexpr std::chrono::milliseconds round { 100 };
        for (const auto end = m_now + time; m_now < end; m_now += round) {
            for (size_t i = 0; i < size(); ++i) {
                if (m_hosts[i].running && !m_hosts[i].paused) {
                    dispatch(i, MembershipTick {});
                }
            }
            deliverAll();
        }
    }

    /** @return what one host believes of another's present process; empty when it knows of none. */
    std::optional<MemberStatus> believes(size_t observer, size_t subject)
    {
        const auto& entries = host(observer).state.table.entries;
        const auto entry = entries.find(host(subject).state.self.address);
        if (entry == entries.end() || entry->second.record.incarnation != host(subject).state.self.incarnation) {
            return std::nullopt;
        }
        return entry->second.record.status;
    }

    /** @return whether every running host knows exactly the running ones as alive, and no others as present. */
    bool agrees()
    {
        for (size_t i = 0; i < size(); ++i) {
            for (size_t j = 0; j < size(); ++j) {
                if (i == j || !m_hosts[i].running) {
                    continue;
                }
                const auto belief = believes(i, j);
                const bool present = belief && isPresent(*belief);
                if (m_hosts[j].running ? belief != MemberStatus::Alive : present) {
                    return false;
                }
            }
        }
        return true;
    }

    /** @return whether all other running hosts of its domain take a host that runs for dead. */
    bool isDeadToAll(size_t subject)
    {
        size_t observers = 0;
        for (size_t i = 0; i < size(); ++i) {
            const bool watches = i != subject % size() && m_hosts[i].running && !m_hosts[i].paused
                && m_hosts[i].state.self.failureDomain == host(subject).state.self.failureDomain;
            if (watches && believes(i, subject) != MemberStatus::Dead) {
                return false;
            }
            observers += watches;
        }
        return observers > 0;
    }

private:
    struct Flight {
        size_t from;
        size_t to;
        MembershipMessage message;
    };

    /** @return roughly the bytes of a message and its headers. */
    static size_t approximateSize(const MembershipMessage& message)
    {
        constexpr size_t recordBytes = 80;
        size_t bytes = 28 + 16 + recordBytes * (1 + message.rumours.size()) + 24 * message.views.size();
        if (const auto* request = std::get_if<DomainRecordsRequest>(&message.body)) {
            bytes += recordBytes * request->records.size();
        } else if (const auto* records = std::get_if<DomainRecords>(&message.body)) {
            bytes += recordBytes * records->records.size();
        }
        return bytes;
    }

    size_t indexOf(const std::string& address) const { return std::stoul(address) - 1000; }

    void dispatch(size_t index, const MembershipEvent& event)
    {
        std::vector<MembershipAction> actions;
        step(m_hosts[index].state, m_options, event, m_now, actions);
        for (const MembershipAction& action : actions) {
            if (const auto* send = std::get_if<SendMembership>(&action)) {
                m_hosts[index].bytesSent += sizeOf(send->message);
                ++m_hosts[index].messagesSent;
                m_flights.push_back({ index, indexOf(send->address), send->message });
            }
        }
    }

    void deliverAll()
    {
        for (int hops = 0; hops < 8 && !m_flights.empty(); ++hops) {
            std::deque<Flight> flights;
            flights.swap(m_flights);
            for (const Flight& flight : flights) {
                deliver(flight);
            }
        }
    }

    void deliver(const Flight& flight)
    {
        Host& to = m_hosts[flight.to];
        if (!to.running || m_cuts.contains({ flight.from, flight.to }) || m_random() % 100 < m_lossPercent) {
            return;
        }
        if (to.paused) {
            to.inbox.push_back(flight.message);
        } else {
            dispatch(flight.to, MembershipReceived { flight.message });
        }
    }

    MembershipOptions m_options;
    std::vector<MembershipHint> m_hints;
    std::vector<Host> m_hosts;
    std::deque<Flight> m_flights;
    std::set<std::pair<size_t, size_t>> m_cuts;
    uint32_t m_lossPercent { 0 };
    std::mt19937 m_random { 7 };
    MonotonicTime m_now { std::chrono::hours { 1 } };
};

/** Cuts, mends, restarts, pauses, resumes or loses messages, and lets time pass. */
template <typename Network>
void disturb(Network& network, uint32_t choice)
{
    const size_t a = choice >> 8;
    const size_t b = choice >> 16;
    const uint32_t operation = choice % 8;
    if (operation == 0) {
        network.cut(a, b);
    } else if (operation == 1) {
        network.mend(a, b);
    } else if (operation == 2) {
        network.start(a);
    } else if (operation == 3) {
        network.pause(a);
    } else if (operation == 4) {
        network.resume(a);
    } else if (operation == 5) {
        network.setLossPercent((choice >> 24) % 40);
    }
    network.run(std::chrono::milliseconds { 100 } * ((choice >> 24) % 32));
}

} // namespace siskinspread
