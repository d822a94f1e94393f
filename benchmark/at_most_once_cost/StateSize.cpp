#include "StateSize.h"

#include "LedgerCalls.h"
#include "ProcessUsage.h"
#include "RequestLoad.h"

#include <cstdio>
#include <thread>

namespace siskinspread::benchmark {
namespace {

    constexpr size_t customers = 4;
    constexpr size_t warmUpRequests = 2000;
    constexpr size_t closedInFlight = 100;
    // Longer than the daemon's wait for an intent (1.5 s) and its interval of writes that nobody waits for (2 s).
    constexpr std::chrono::seconds settlingTime { 4 };
    constexpr const char* slowLedger = R"({"delay_ms":12000})";
    constexpr const char* promptLedger = R"({"delay_ms":0})";

    struct State {
        int64_t residentBytes { 0 };
        int64_t storeBytes { 0 };
    };

    class StateSize {
    public:
        StateSize()
            : m_deployment({ .failureDomains = 1, .engines = 0, .ledgers = 1, .customers = customers, .hostSettings = "[limits]\nmax_open_requests = 20000" })
            , m_calls(m_deployment, 0)
        {
            m_calls.waitForOwner();
            run(warmUpRequests, closedInFlight);
        }

        void measureClosed(size_t requests)
        {
            const State before = settledState();
            const size_t answered = run(requests, closedInFlight).latencyMs.size();
            print("closed", answered, before, settledState());
        }

        void measureOpen(size_t requests)
        {
            const State before = settledState();
            State open;
            m_deployment.ledger(0).setFaults(slowLedger);
            const RequestSample sample = run(requests, requests, [&] { open = settledState(); });
            m_deployment.ledger(0).setFaults(promptLedger);
            print("open", sample.latencyMs.size(), before, open);
            for (const auto& [status, count] : sample.otherAnswers) {
                std::printf("  %zu answered %d\n", count, status);
            }
            print("the same when closed", sample.latencyMs.size(), before, settledState());
        }

    private:
        RequestSample run(size_t requests, size_t inFlight, std::function<void()> onAllStarted = {})
        {
            return runRequests(m_client, { .inFlight = inFlight, .requests = requests, .next = [this] { return m_calls.atMostOnce(); }, .onAllStarted = std::move(onAllStarted) });
        }

        State settledState()
        {
            std::this_thread::sleep_for(settlingTime);
            return { .residentBytes = usageOf(m_deployment.host(0).process->pid()).residentBytes, .storeBytes = static_cast<int64_t>(logBytes(m_deployment)) };
        }

        static void print(const char* what, size_t requests, const State& before, const State& after)
        {
            const double count = static_cast<double>(requests);
            std::printf("  %s, %zu requests: %.0f bytes of the daemon's memory and %.0f bytes in the store each\n", what, requests,
                static_cast<double>(after.residentBytes - before.residentBytes) / count, static_cast<double>(after.storeBytes - before.storeBytes) / count);
            std::fflush(stdout);
        }

        testing::Deployment m_deployment;
        LedgerCalls m_calls;
        LoadClient m_client;
    };

} // namespace

void measureStateSize(const StateSizeOptions& options)
{
    std::printf("state of at-most-once requests\n");
    StateSize state;
    state.measureClosed(options.closed);
    state.measureOpen(options.open);
}

} // namespace siskinspread::benchmark
