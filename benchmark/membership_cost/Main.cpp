// Messages, bytes and processor time of membership for each host, in virtual time with the daemon's codec. Prints one line
// for each number of hosts. Processor time contains the delivery between the hosts, so it is an upper bound.

#include "siskinspread/HeartbeatCodec.h"
#include "siskinspread/PeerLiveness.h"

#include <algorithm>
#include <ctime>
#include <deque>
#include <iomanip>
#include <iostream>

namespace {

using namespace siskinspread;
using namespace std::chrono_literals;

constexpr size_t maxDatagramBytes = 1400; // as in MembershipAdapter.cpp
constexpr size_t headerBytes = 28; // IPv4 and UDP
constexpr std::chrono::milliseconds tick { 100 };
constexpr std::chrono::milliseconds reviewInterval { 250 };
constexpr std::chrono::seconds settleTime { 30 };
constexpr std::chrono::seconds measuredTime { 60 };
constexpr size_t ownersOfDomain = 2;

struct Traffic {
    size_t messages { 0 };
    size_t bytes { 0 };
    size_t largeMessages { 0 }; /**< Beyond a datagram; they go by JSON-RPC. */
};

struct Host {
    MembershipState state;
    PeerLivenessState liveness;
    MonotonicTime nextReviewAt {};
    Traffic sent;
};

struct Flight {
    std::string address;
    std::string bytes;
};

class Fleet {
public:
    Fleet(size_t hosts, size_t domains)
    {
        MembershipHints hints;
        for (size_t i = 0; i < hosts; ++i) {
            const std::string domain = "gauteng-" + std::to_string(i % domains);
            const std::string name = domain + "-" + std::to_string(i / domains);
            const std::string address = "10.20." + std::to_string(i / 250) + "." + std::to_string(1 + i % 250) + ":7402";
            Host& host = m_hosts[address];
            host.state.self = { .address = address, .host = name, .failureDomain = domain, .incarnation = name + ".0123456789abcdef" };
            host.state.seed = i;
            hints.hints.push_back({ .address = address, .failureDomain = domain });
            if (i < ownersOfDomain * domains) {
                m_owners.push_back({ .incarnation = { host.state.self.incarnation }, .host = name, .failureDomain = domain });
            }
        }
        for (auto& [address, host] : m_hosts) {
            take(host, hints);
        }
    }

    void run(std::chrono::milliseconds time)
    {
        for (const auto end = m_now + time; m_now < end; m_now += tick) {
            for (auto& [address, host] : m_hosts) {
                take(host, MembershipTick {});
                review(host);
            }
            deliver();
        }
    }

    void forgetTraffic()
    {
        for (auto& [address, host] : m_hosts) {
            host.sent = {};
        }
    }

    Traffic total() const
    {
        Traffic sum;
        for (const auto& [address, host] : m_hosts) {
            sum.messages += host.sent.messages;
            sum.bytes += host.sent.bytes;
            sum.largeMessages += host.sent.largeMessages;
        }
        return sum;
    }

    size_t mostBytes() const
    {
        const auto most = std::max_element(m_hosts.begin(), m_hosts.end(), [](const auto& a, const auto& b) { return a.second.sent.bytes < b.second.sent.bytes; });
        return most->second.sent.bytes;
    }

    bool isComplete() const
    {
        return std::all_of(m_hosts.begin(), m_hosts.end(), [this](const auto& item) { return item.second.state.table.entries.size() + 1 == m_hosts.size(); });
    }

    void stopOne() { m_hosts.erase(m_hosts.begin()); }

private:
    void take(Host& host, const MembershipEvent& event)
    {
        std::vector<MembershipAction> actions;
        step(host.state, {}, event, m_now, actions);
        for (const MembershipAction& action : actions) {
            if (const auto* send = std::get_if<SendMembership>(&action)) {
                schema::RevisionAdvertMessage advert;
                advert.set_host(host.state.self.host);
                advert.set_failure_domain(host.state.self.failureDomain);
                advert.set_revision(1);
                Flight flight { .address = send->address, .bytes = heartbeatMessage(send->message, advert).SerializeAsString() };
                ++host.sent.messages;
                host.sent.bytes += headerBytes + flight.bytes.size();
                host.sent.largeMessages += flight.bytes.size() > maxDatagramBytes;
                m_flights.push_back(std::move(flight));
            }
        }
    }

    void review(Host& host)
    {
        if (m_now >= host.nextReviewAt) {
            host.nextReviewAt = m_now + reviewInterval;
            reviewPeers(host.liveness, { .asksPlatform = true }, host.state, {}, m_owners, m_now);
        }
    }

    void deliver()
    {
        while (!m_flights.empty()) {
            const Flight flight = std::move(m_flights.front());
            m_flights.pop_front();
            const auto host = m_hosts.find(flight.address);
            schema::HeartbeatMessage message;
            if (host != m_hosts.end() && message.ParseFromString(flight.bytes)) {
                take(host->second, MembershipReceived { .message = *membershipMessage(message) });
            }
        }
    }

    std::map<std::string, Host> m_hosts;
    std::vector<ExpectedPeer> m_owners;
    std::deque<Flight> m_flights;
    MonotonicTime m_now { 1h };
};

void measure(Fleet& fleet, size_t hosts, const char* phase)
{
    fleet.forgetTraffic();
    const std::clock_t start = std::clock();
    fleet.run(measuredTime);
    const double processorSeconds = static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
    const Traffic traffic = fleet.total();
    const auto perHostSecond = static_cast<double>(hosts) * static_cast<double>(measuredTime.count());
    std::cout << std::setw(5) << hosts << "  " << std::setw(9) << phase << std::fixed << std::setprecision(2)
              << std::setw(10) << static_cast<double>(traffic.messages) / perHostSecond
              << std::setw(10) << std::setprecision(0) << static_cast<double>(traffic.bytes) / perHostSecond
              << std::setw(10) << static_cast<double>(fleet.mostBytes()) / static_cast<double>(measuredTime.count())
              << std::setw(10) << std::setprecision(4) << static_cast<double>(traffic.largeMessages) / perHostSecond
              << std::setw(10) << std::setprecision(3) << processorSeconds / perHostSecond * 100 << '\n';
}

} // namespace

int main()
{
    std::cout << "hosts      phase  messages     bytes   busiest     large    % core   (a host and second, sent)\n";
    for (const auto& [hosts, domains] : { std::pair<size_t, size_t> { 7, 4 }, { 28, 4 }, { 96, 8 }, { 384, 8 } }) {
        Fleet fleet { hosts, domains };
        fleet.run(settleTime);
        if (!fleet.isComplete()) {
            std::cout << hosts << " hosts: not all know each other after " << settleTime.count() << " s\n";
        }
        measure(fleet, hosts, "at rest");
        fleet.stopOne();
        measure(fleet, hosts - 1, "one dies");
    }
    return 0;
}
