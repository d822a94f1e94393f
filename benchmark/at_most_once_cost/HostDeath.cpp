#include "HostDeath.h"

#include "Percentiles.h"

#include "support/Deployment.h"
#include "support/Eventually.h"

#include <chrono>
#include <cstdio>
#include <functional>
#include <future>
#include <set>
#include <stdexcept>
#include <thread>

namespace siskinspread::benchmark {
namespace {

    using Clock = std::chrono::steady_clock;

    constexpr std::chrono::milliseconds pollInterval { 5 };
    constexpr std::chrono::seconds longestWait { 60 };
    constexpr const char* key = "open-at-death";
    constexpr const char* slowLedger = R"({"delay_ms":60000})";
    constexpr const char* promptLedger = R"({"delay_ms":0})";
    // No owner at present, owner unreachable, key in progress, log closed, intent not recorded: the caller tries again.
    const std::set<std::string> comeBackCodes { "300", "301", "302", "304", "305" };

    struct DeathTimes {
        double accountFinal { 0 }; /**< Seconds. */
        double keyAnswered { 0 }; /**< Seconds. */
        std::string account; /**< As it is final. */
    };

    class HostDeath {
    public:
        HostDeath()
            : m_deployment({ .failureDomains = 2, .hostsPerFailureDomain = 2, .engines = 0, .ledgers = 1 })
        {
            testing::eventually("the keys have owners", [this] { return hold(0, "warm-up").status == 200; });
            m_deployment.ledger(0).setFaults(slowLedger);
            m_response = std::async(std::launch::async, [this] { holdUntilTaken(); });
        }

        DeathTimes measure()
        {
            const size_t owner = ownerOfOpenRequest();
            const size_t witness = (owner + 1) % m_deployment.hostCount();
            const auto death = Clock::now();
            m_deployment.host(owner).process->kill();
            DeathTimes times;
            times.accountFinal = secondsUntil(death, [&] {
                const auto account = accountAt(witness);
                times.account = account.dump();
                return account.value("standing", "") == "final";
            });
            times.keyAnswered = secondsUntil(death, [&] {
                const auto response = hold(witness, key);
                return response.status != 0 && !isToComeBack(response);
            });
            m_response.wait();
            m_deployment.ledger(0).setFaults(promptLedger);
            return times;
        }

    private:
        testing::HttpResponse hold(size_t host, const std::string& idempotencyKey) const
        {
            return testing::httpCall({ .method = "POST",
                .url = m_deployment.host(host).url("/ledger/holds"),
                .headers = { testing::Deployment::authorization(), "Idempotency-Key: " + idempotencyKey, "X-Deadline-Ms: 30000" },
                .body = R"({"item":"dolly"})" });
        }

        static bool isToComeBack(const testing::HttpResponse& response)
        {
            return comeBackCodes.contains(response.header("x-result-code"));
        }

        /** Ends with an answer of the owner, or when the connection breaks because the host is the owner that is killed. */
        void holdUntilTaken() const
        {
            while (isToComeBack(hold(0, key))) {
                std::this_thread::sleep_for(pollInterval);
            }
        }

        nlohmann::json accountAt(size_t host) const
        {
            const auto response = testing::httpCall({ .url = m_deployment.host(host).url(std::string("/accounts?key=") + key), .headers = { testing::Deployment::authorization() } });
            auto account = nlohmann::json::parse(response.body, nullptr, false);
            return response.status == 200 && account.is_object() ? account : nlohmann::json::object();
        }

        /** Waits until the request has been sent to the ledger. */
        size_t ownerOfOpenRequest() const
        {
            std::string recordedBy;
            testing::eventually("the request is at the ledger", [&] {
                const auto account = accountAt(0);
                recordedBy = account.value("recorded_by", "");
                return account.value("attempts", 0) > 0;
            });
            for (size_t i = 0; i < m_deployment.hostCount(); ++i) {
                if (recordedBy.starts_with(m_deployment.host(i).name + ".")) {
                    return i;
                }
            }
            throw std::runtime_error("no host has recorded the request: " + recordedBy);
        }

        static double secondsUntil(Clock::time_point since, const std::function<bool()>& condition)
        {
            while (!condition()) {
                if (Clock::now() - since > longestWait) {
                    throw std::runtime_error("no final answer within a minute of the host's death");
                }
                std::this_thread::sleep_for(pollInterval);
            }
            return std::chrono::duration<double>(Clock::now() - since).count();
        }

        testing::Deployment m_deployment;
        std::future<void> m_response;
    };

    void print(const char* what, const std::vector<double>& seconds)
    {
        const Percentiles percentiles = percentilesOf(seconds);
        std::printf("  %s: median %.2f s, p95 %.2f s, n %zu\n", what, percentiles.median, percentiles.p95, percentiles.count);
    }

} // namespace

void measureHostDeath(size_t deaths)
{
    std::printf("death of the owner of an open request\n");
    std::vector<double> accountFinal;
    std::vector<double> keyAnswered;
    for (size_t i = 0; i < deaths; ++i) {
        HostDeath death;
        const DeathTimes times = death.measure();
        accountFinal.push_back(times.accountFinal);
        keyAnswered.push_back(times.keyAnswered);
        std::printf("  death %zu: account final after %.2f s, key answered finally after %.2f s: %s\n", i + 1, times.accountFinal, times.keyAnswered, times.account.c_str());
        std::fflush(stdout);
    }
    print("account final at another host", accountFinal);
    print("key answered finally at another host", keyAnswered);
}

} // namespace siskinspread::benchmark
