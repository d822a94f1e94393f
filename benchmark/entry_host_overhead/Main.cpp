// Time that the entry host adds to the first byte and to each token of a stream, against direct connections to the same
// stand-in engines in the same run, and the processor time and memory that the daemon uses.

#include "Percentiles.h"
#include "ProcessUsage.h"
#include "StreamLoad.h"

#include "support/Deployment.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <cstdio>
#include <iostream>

namespace siskinspread::benchmark {
namespace {

    // The daemon counts on 16 slots of an engine that has not reported its load.
    constexpr size_t streamsPerEngine = 16;
    constexpr size_t streamsPerCustomer = 32; // half of the default limit
    constexpr double bytesPerKilobyte = 1024;

    struct Options {
        std::vector<size_t> streams;
        size_t tokens { 0 };
        size_t answers { 0 };
        size_t rounds { 0 };
        int betweenTokensMs { 0 };
        int firstTokenMs { 0 };
    };

    /** What the daemon used while it served streams and while the streams went past it. */
    struct DaemonUse {
        std::chrono::milliseconds serving { 0 };
        std::chrono::milliseconds resting { 0 };
        int64_t residentBefore { 0 };
        int64_t residentAllOpen { 0 }; /**< In the part that is not counted, when every stream was open. */
        int64_t residentWarm { 0 }; /**< After that part. */
        int64_t residentAfter { 0 };
    };

    struct Level {
        size_t streams { 0 };
        StreamSample direct;
        StreamSample throughHost;
        DaemonUse use;
    };

    class Overhead {
    public:
        explicit Overhead(const Options& options)
            : m_options(options)
            , m_deployment(deploymentOptions(options))
        {
        }

        Level measure(size_t streams)
        {
            Level level { .streams = streams };
            level.use.residentBefore = usage().residentBytes;
            // A first part of one answer each brings up connections and is not counted.
            runHost(streams, 1, [&] { level.use.residentAllOpen = usage().residentBytes; });
            runDirect(streams, 1);
            level.use.residentWarm = usage().residentBytes;
            for (size_t round = 0; round < m_options.rounds; ++round) {
                const auto start = usage().processorTime;
                append(level.direct, runDirect(streams, m_options.answers));
                const auto middle = usage().processorTime;
                append(level.throughHost, runHost(streams, m_options.answers, {}));
                level.use.resting += middle - start;
                level.use.serving += usage().processorTime - middle;
            }
            level.use.residentAfter = usage().residentBytes;
            return level;
        }

    private:
        static testing::DeploymentOptions deploymentOptions(const Options& options)
        {
            const size_t most = *std::max_element(options.streams.begin(), options.streams.end());
            testing::DeploymentOptions deployment { .failureDomains = 1, .engines = (most + streamsPerEngine - 1) / streamsPerEngine, .customers = (most + streamsPerCustomer - 1) / streamsPerCustomer };
            deployment.engineArguments = { "--slots", std::to_string(most), "--between-tokens-ms", std::to_string(options.betweenTokensMs),
                "--first-token-ms", std::to_string(options.firstTokenMs) };
            return deployment;
        }

        ProcessUsage usage() { return usageOf(m_deployment.host(0).process->pid()); }

        StartTransfer chat(size_t stream)
        {
            const testing::HttpRequest request = m_deployment.chat(0, "stream " + std::to_string(stream), m_options.tokens);
            return { .method = request.method,
                .url = request.url,
                .headers = { { .name = "Content-Type", .value = "application/json" },
                    { .name = "Authorization", .value = "Bearer key-" + std::to_string(stream / streamsPerCustomer) } },
                .body = request.body };
        }

        StreamSample runHost(size_t streams, size_t answers, std::function<void()> onAllOpen)
        {
            return runStreams(m_client, { .streams = streams, .answersPerStream = answers, .request = [this](size_t stream) { return chat(stream); }, .onAllOpen = std::move(onAllOpen) });
        }

        StreamSample runDirect(size_t streams, size_t answers)
        {
            auto request = [this](size_t stream) {
                StartTransfer transfer = chat(stream);
                transfer.url = m_deployment.engine(stream / streamsPerEngine).url("/v1/chat/completions");
                return transfer;
            };
            return runStreams(m_client, { .streams = streams, .answersPerStream = answers, .request = request });
        }

        const Options& m_options;
        testing::Deployment m_deployment;
        LoadClient m_client;
    };

    void printTimes(const char* what, const char* unit, const std::vector<double>& direct, const std::vector<double>& host)
    {
        const Percentiles d = percentilesOf(direct);
        const Percentiles h = percentilesOf(host);
        std::printf("  %-11s median direct %8.2f host %8.2f added %8.2f %s ratio %5.2f | p95 direct %8.2f host %8.2f added %8.2f %s ratio %5.2f | n %zu, %zu\n",
            what, d.median, h.median, h.median - d.median, unit, h.median / d.median, d.p95, h.p95, h.p95 - d.p95, unit, h.p95 / d.p95, d.count, h.count);
    }

    void print(const Level& level)
    {
        const double answers = static_cast<double>(level.throughHost.whole);
        const double tokens = static_cast<double>(level.throughHost.tokenDelayUs.size());
        const double servingMs = static_cast<double>(level.use.serving.count());
        const double seconds = level.throughHost.duration.count();
        const double streams = static_cast<double>(level.streams);
        std::printf("%zu streams: answers whole %zu direct, %zu through the host; failed %zu, %zu\n", level.streams, level.direct.whole,
            level.throughHost.whole, level.direct.failed, level.throughHost.failed);
        printTimes("first byte", "ms", level.direct.firstByteMs, level.throughHost.firstByteMs);
        printTimes("token delay", "us", level.direct.tokenDelayUs, level.throughHost.tokenDelayUs);
        std::printf("  daemon: %.2f ms a request, %.1f us a token, %.3f %% of a core a stream, %.1f %% in all at %.0f tokens/s; at rest %.2f %%\n",
            servingMs / answers, servingMs * 1000 / tokens, servingMs / seconds / 10 / streams, servingMs / seconds / 10, tokens / seconds,
            static_cast<double>(level.use.resting.count()) / level.direct.duration.count() / 10);
        std::printf("  daemon: %.1f MB resident before, %.1f KB more for each stream when all are open, %.2f KB more for each request that has ended\n",
            static_cast<double>(level.use.residentBefore) / bytesPerKilobyte / bytesPerKilobyte,
            static_cast<double>(level.use.residentAllOpen - level.use.residentBefore) / bytesPerKilobyte / streams,
            static_cast<double>(level.use.residentAfter - level.use.residentWarm) / bytesPerKilobyte / answers);
        for (const StreamSample* sample : { &level.direct, &level.throughHost }) {
            if (sample->failed > 0) {
                std::printf("  first failure: %s\n", sample->firstFailure.c_str());
            }
        }
        std::fflush(stdout);
    }

    int run(const Options& options)
    {
        std::printf("answers of %zu tokens, first after %d ms, then %d ms apart; %zu answers a stream in each of %zu rounds\n", options.tokens,
            options.firstTokenMs, options.betweenTokensMs, options.answers, options.rounds);
        Overhead overhead(options);
        size_t failed = 0;
        for (const size_t streams : options.streams) {
            const Level level = overhead.measure(streams);
            print(level);
            failed += level.direct.failed + level.throughHost.failed;
        }
        return failed == 0 ? 0 : 1;
    }

} // namespace
} // namespace siskinspread::benchmark

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    siskinspread::benchmark::Options options;
    po::options_description description("Time that the entry host adds to streams");
    description.add_options()("help", "prints this text");
    description.add_options()("streams", po::value(&options.streams)->multitoken()->default_value({ 1, 16, 256 }, "1 16 256"), "streams at once");
    description.add_options()("tokens", po::value(&options.tokens)->default_value(40), "tokens of an answer");
    description.add_options()("answers", po::value(&options.answers)->default_value(4), "answers of each stream in a round");
    description.add_options()("rounds", po::value(&options.rounds)->default_value(3), "direct and through the host in turn");
    description.add_options()("between-tokens-ms", po::value(&options.betweenTokensMs)->default_value(45), "pace of the stand-in engines");
    description.add_options()("first-token-ms", po::value(&options.firstTokenMs)->default_value(0), "time to the first token of the stand-in engines");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
    if (values.count("help") > 0) {
        std::cout << description;
        return 0;
    }
    return siskinspread::benchmark::run(options);
}
