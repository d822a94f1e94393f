#include "Throughput.h"

#include "LedgerCalls.h"
#include "Percentiles.h"
#include "ProcessUsage.h"
#include "RequestLoad.h"

#include <cstdio>

namespace siskinspread::benchmark {
namespace {

    // The daemon counts on 16 slots of each backend server, so that admission queues none of 100 requests.
    constexpr size_t ledgers = 8;
    constexpr size_t customers = 4;

    /** One path under one number of requests in flight. */
    struct PathSample {
        RequestSample requests;
        uint64_t logWrites { 0 };
        std::chrono::milliseconds processorTime { 0 };
    };

    class Throughput {
    public:
        explicit Throughput(const ThroughputOptions& options)
            : m_options(options)
            , m_deployment({ .failureDomains = 1, .engines = 0, .ledgers = ledgers, .customers = customers })
            , m_calls(m_deployment, 0)
        {
            m_calls.waitForOwner();
        }

        void measure(size_t inFlight)
        {
            PathSample passThrough;
            PathSample atMostOnce;
            for (size_t round = 0; round < m_options.rounds; ++round) {
                runPart(passThrough, inFlight, [this] { return m_calls.passThrough(); });
                runPart(atMostOnce, inFlight, [this] { return m_calls.atMostOnce(); });
            }
            std::printf("%zu in flight\n", inFlight);
            print("pass-through", passThrough);
            print("at most once", atMostOnce);
            std::printf("  ratio of requests a second, at most once to pass-through: %.3f\n", rate(atMostOnce) / rate(passThrough));
            std::fflush(stdout);
        }

    private:
        void runPart(PathSample& path, size_t inFlight, std::function<StartTransfer()> next)
        {
            const pid_t daemon = m_deployment.host(0).process->pid();
            const uint64_t writes = logWrites(m_deployment);
            const auto processorTime = usageOf(daemon).processorTime;
            append(path.requests, runRequests(m_client, { .inFlight = inFlight, .duration = m_options.partDuration, .next = std::move(next) }));
            path.processorTime += usageOf(daemon).processorTime - processorTime;
            path.logWrites += logWrites(m_deployment) - writes;
        }

        static double rate(const PathSample& path)
        {
            return static_cast<double>(path.requests.latencyMs.size()) / path.requests.duration.count();
        }

        static void print(const char* name, const PathSample& path)
        {
            const Percentiles latency = percentilesOf(path.requests.latencyMs);
            const double answered = static_cast<double>(latency.count);
            const double writes = static_cast<double>(path.logWrites);
            std::printf("  %s: %.0f requests/s, latency median %.2f ms p95 %.2f ms, n %zu, daemon %.3f ms a request, "
                        "%.1f log writes per thousand requests, %.1f log writes/s\n",
                name, rate(path), latency.median, latency.p95, latency.count, static_cast<double>(path.processorTime.count()) / answered,
                writes * 1000 / answered, writes / path.requests.duration.count());
            for (const auto& [status, count] : path.requests.otherAnswers) {
                std::printf("  %s: %zu answered %d\n", name, count, status);
            }
        }

        const ThroughputOptions& m_options;
        testing::Deployment m_deployment;
        LedgerCalls m_calls;
        LoadClient m_client;
    };

} // namespace

void measureThroughput(const ThroughputOptions& options)
{
    Throughput throughput(options);
    for (const size_t inFlight : options.inFlight) {
        throughput.measure(inFlight);
    }
}

} // namespace siskinspread::benchmark
