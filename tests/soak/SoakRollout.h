#pragma once

#include "SoakProxy.h"
#include "SoakReplica.h"

#include "StandInPlatform.h"

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>

namespace siskinspread::soak {

/** What becomes of the version that the operator orders. */
enum class RolloutCase : uint8_t {
    Good, /**< Beside crashes of replicas of both versions. */
    Failing,
    Slow,
    FailingLate,
    Replaced, /**< By another order before its traffic is moved. */
};

/**
 * A service that the operator moves to another version while the faults of the soak go on: its replicas, the order, and what follows from
 * the state that the hosts write. Thread safety: loop thread only.
 */
class SoakRollout {
public:
    /** @param seed decides on the case and the times. @param tell notes an event. */
    SoakRollout(asio::io_context&, Ledger&, platform::test::StandInPlatform&, uint64_t seed, std::function<void(const std::string&)> tell);

    /** Starts the replicas of the version before. */
    void start();
    /** The order follows within two seconds. */
    void begin();
    /** Does what the operator does once the hosts have written a final state. */
    void followState();
    bool isDecided() const { return m_state == "complete" || m_state == "rolled_back"; }
    /** Adds to the ledger's problems where the order did not end as it should. */
    void check();

private:
    struct Server {
        std::string version;
        std::unique_ptr<SoakReplica> replica;
        std::unique_ptr<SoakProxy> link;
        std::string entry; /**< Name in the store; empty: none. */
    };

    void add(int count, const std::string& version, VersionFault);
    void announce(Server&, bool leaving);
    void withdraw(Server&);
    void crash(Server&);
    void order(const std::string& version, VersionFault);
    void stopOthers(const std::string& version);
    void later(std::chrono::milliseconds, std::function<void()>);
    std::string nextInstance() { return "m-" + std::to_string(++m_lastInstance); }
    std::chrono::milliseconds drawTime(int64_t least, int64_t most) { return std::chrono::milliseconds { least + static_cast<int64_t>(m_random() % static_cast<uint64_t>(most - least)) }; }

    asio::io_context& m_context;
    Ledger& m_ledger;
    platform::test::StandInPlatform& m_platform;
    std::function<void(const std::string&)> m_tell;
    std::mt19937_64 m_random;
    RolloutCase m_case;
    std::deque<Server> m_servers;
    std::string m_candidate; /**< Of the newest order. */
    std::string m_state; /**< As the hosts wrote it for that order. */
    uint64_t m_lastInstance { 0 };
};

} // namespace siskinspread::soak
