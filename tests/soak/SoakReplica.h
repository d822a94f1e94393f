#pragma once

#include "SoakLedger.h"

#include "siskinspread/CallerConnection.h"

#include <asio.hpp>

#include <functional>
#include <memory>
#include <random>
#include <string>

namespace siskinspread::soak {

/** How a version of a service is bad. */
enum class VersionFault : uint8_t {
    None,
    Failing,
    Slow,
};

/** A replica that answers after a while and notes what it ran. Thread safety: loop thread only. */
class SoakReplica {
public:
    SoakReplica(asio::io_context&, std::string instance, Ledger&, uint64_t seed);

    asio::ip::tcp::endpoint endpoint() const { return { asio::ip::make_address("127.0.0.1"), m_acceptor.local_endpoint().port() }; }
    const std::string& instance() const { return m_instance; }

    /** Starts again under another instance name; the address stays. */
    void restart(std::string instance);
    /** From here on its answers name a limit in requests a second, or none. */
    void setLimit(std::optional<double>);
    /** @param crash called soon after an answer on a part that crashes replicas has begun. */
    void setCrash(std::function<void()> crash) { m_crash = std::move(crash); }
    /** Notes requests as those of a version, which answers well or badly. */
    void setVersion(std::string version, VersionFault fault)
    {
        m_version = std::move(version);
        m_versionFault = fault;
    }
    /** From here on some answers break off after the run. */
    void setLosesAnswers(bool loses) { m_losesAnswers = loses; }

private:
    void accept();
    void handle(ReceivedRequest&&);
    HttpHeaders answerHeaders(const std::string& id) const;
    void answer(const std::shared_ptr<CallerConnection>&, const std::string& id);
    void answerBadly(const std::shared_ptr<CallerConnection>&, const std::string& id);
    void beginStream(const std::shared_ptr<CallerConnection>&, const std::string& id, uint64_t after);
    void nextEvent(const std::shared_ptr<CallerConnection>&, const std::string& id, uint64_t event);
    void later(std::chrono::milliseconds, std::function<void()>);
    uint64_t draw(uint64_t below) { return m_random() % below; }

    asio::io_context& m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::shared_ptr<const CallerConnectionHooks> m_hooks;
    std::string m_instance;
    Ledger& m_ledger;
    std::mt19937_64 m_random;
    std::optional<double> m_limit;
    std::function<void()> m_crash;
    bool m_losesAnswers { false };
    std::string m_version; /**< Empty where the service is not moved between versions. */
    VersionFault m_versionFault { VersionFault::None };
};

} // namespace siskinspread::soak
