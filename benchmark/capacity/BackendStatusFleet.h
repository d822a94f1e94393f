#pragma once

#include "siskinspread/BackendServerStatus.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace siskinspread::benchmark {

/** Sizes of a fleet. */
struct FleetOptions {
    size_t failureDomains { 8 };
    size_t hostsOfDomain { 6 };
    size_t serversOfDomain { 10 };
};

/**
 * The decision BackendServerStatus at every entry host, with probes that are answered at once and datagrams that arrive
 * in the next round, in virtual time. Counts the bytes of the datagrams as they are encoded.
 */
class BackendStatusFleet {
public:
    explicit BackendStatusFleet(const FleetOptions& options);

    /** Lets virtual time pass. */
    void run(std::chrono::milliseconds time);

    /** Lets all servers of the first failure domain leave, as its hosts hear it from the cloud. */
    void reclaimFirstDomain();

    /** @return how many pairs of host and server of the first domain know of the leave. */
    size_t hostsThatKnowOfLeave() const;

    void forgetTraffic();

    size_t hostCount() const { return m_hosts.size(); }
    double meanBytesSent() const;
    double mostBytesSent() const;

private:
    struct Host {
        std::string name;
        size_t domain { 0 };
        BackendServerStatusState state;
        size_t bytesSent { 0 };
    };
    struct Delivery {
        size_t host { 0 };
        BackendServerEvent event;
    };

    void addHosts();
    void configure();
    void dispatch(size_t host, const BackendServerEvent& event);
    void perform(size_t host, const ServerAction& action);
    void sendObservations(size_t from, size_t to, const std::vector<ServerObservation>& observations);
    void sendLeave(size_t from, const ShareLeave& leave);
    size_t relayOf(size_t domain) const { return domain * m_options.hostsOfDomain; }
    std::string serverName(size_t domain, size_t index) const;

    const FleetOptions m_options;
    std::vector<Host> m_hosts; /**< Those of a domain stand together. */
    std::map<std::string, size_t> m_indexes; /**< By name and by incarnation. */
    std::deque<Delivery> m_deliveries;
    MonotonicTime m_now { std::chrono::hours { 1 } };
};

} // namespace siskinspread::benchmark
