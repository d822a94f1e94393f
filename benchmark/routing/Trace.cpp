#include "Trace.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <istream>
#include <iterator>
#include <ostream>
#include <random>
#include <sstream>

namespace siskinspread::benchmark {

namespace {

    /** Draws that do not depend on a standard library's distributions, so that traces are equal everywhere. */
    class Random {
    public:
        explicit Random(uint64_t seed)
            : m_engine(seed)
        {
        }

        double unit() { return static_cast<double>(m_engine() >> 11) * 0x1p-53; }
        uint32_t between(uint32_t low, uint32_t high) { return low + static_cast<uint32_t>(unit() * (high - low + 1)); }
        bool chance(double probability) { return unit() < probability; }
        double exponential(double mean) { return -mean * std::log(1 - unit()); }

        /** Index of a list of `count` whose popularity falls with the power `exponent` of the rank. */
        uint32_t zipf(uint32_t count, double exponent)
        {
            double sum = 0;
            for (uint32_t i = 1; i <= count; ++i) {
                sum += std::pow(i, -exponent);
            }
            double left = unit() * sum;
            for (uint32_t i = 1; i < count; ++i) {
                left -= std::pow(i, -exponent);
                if (left < 0) {
                    return i - 1;
                }
            }
            return count - 1;
        }

    private:
        std::mt19937_64 m_engine;
    };

    constexpr uint32_t firstSharedDocument = 100; // segment ids below are the customers' instructions
    constexpr uint32_t firstTurn = 10000;

    struct Generator {
        Random random;
        Trace trace;
        uint32_t nextTurn { firstTurn };
    };

    uint32_t pickCustomer(Random& random)
    {
        constexpr std::array shares { 0.40, 0.28, 0.16, 0.10, 0.06 };
        double left = random.unit();
        for (uint32_t i = 0; i + 1 < shares.size(); ++i) {
            left -= shares[i];
            if (left < 0) {
                return i;
            }
        }
        return shares.size() - 1;
    }

    /** Length of a shared document: a fixed function of its id. */
    uint32_t documentTokens(uint32_t id, uint32_t low, uint32_t high)
    {
        return low + (id * 2654435761U >> 8) % (high - low + 1);
    }

    /** What a kind of conversation looks like. */
    struct Conversation {
        uint32_t instructionTokens;
        uint32_t documents;
        double documentExponent;
        uint32_t shortestDocument;
        uint32_t longestDocument;
        double meanTurns;
        double meanPauseSeconds;
        uint32_t shortestAnswer;
        uint32_t longestAnswer;
        uint32_t secondsAllowed;
    };

    constexpr Conversation crewQuery { 1200, 30, 1.0, 1800, 3200, 3.0, 6.0, 60, 240, 20 };
    constexpr Conversation blendSheet { 1500, 60, 0.9, 3000, 8000, 3.0, 10.0, 300, 800, 60 };

    void addConversation(Generator& generator, const Conversation& kind, uint32_t customer, double startSeconds, double endSeconds)
    {
        Random& random = generator.random;
        const uint32_t document = firstSharedDocument + random.zipf(kind.documents, kind.documentExponent);
        std::vector<PromptSegment> prompt {
            { .id = customer + 1, .tokens = kind.instructionTokens },
            { .id = document, .tokens = documentTokens(document, kind.shortestDocument, kind.longestDocument) },
        };
        double at = startSeconds;
        while (at < endSeconds) {
            prompt.push_back({ .id = generator.nextTurn++, .tokens = random.between(60, 200) });
            const uint32_t answer = random.between(kind.shortestAnswer, kind.longestAnswer);
            generator.trace.requests.push_back({
                .arrival = std::chrono::milliseconds(static_cast<int64_t>(at * 1000)),
                .customer = customer,
                .priority = 1,
                .outputTokens = answer,
                .timeAllowed = std::chrono::seconds(kind.secondsAllowed),
                .prompt = prompt,
            });
            prompt.push_back({ .id = generator.nextTurn++, .tokens = answer });
            if (random.chance(1 / kind.meanTurns)) {
                return;
            }
            at += answer * 0.03 + 1 + random.exponential(kind.meanPauseSeconds);
        }
    }

    void addTaggedOrder(Generator& generator, double at)
    {
        constexpr uint32_t tagInstructions = 50;
        generator.trace.requests.push_back({
            .arrival = std::chrono::milliseconds(static_cast<int64_t>(at * 1000)),
            .customer = pickCustomer(generator.random),
            .priority = 0,
            .outputTokens = generator.random.between(8, 20),
            .timeAllowed = std::chrono::seconds(30),
            .prompt = { { .id = tagInstructions, .tokens = 900 }, { .id = generator.nextTurn++, .tokens = generator.random.between(30, 120) } },
        });
    }

    /** Starts conversations as a Poisson process of the given rate a second. */
    template <typename Rate, typename Add>
    void poisson(Random& random, double from, double to, double highestRate, Rate rate, Add add)
    {
        for (double at = from + random.exponential(1 / highestRate); at < to; at += random.exponential(1 / highestRate)) {
            if (random.chance(rate(at) / highestRate)) {
                add(at);
            }
        }
    }

    constexpr double traceSeconds = 90;

    void addCrewQueries(Generator& generator, double highestRate, double (*rate)(double))
    {
        poisson(generator.random, 0, traceSeconds, highestRate, rate, [&generator](double at) {
            addConversation(generator, crewQuery, pickCustomer(generator.random), at, traceSeconds);
        });
    }

    double dawnRate(double at)
    {
        if (at < 25) {
            return 5 + at * 0.6;
        }
        return at < 60 ? 20 : 10;
    }

    double steadyRate(double)
    {
        return 13;
    }

    double quietRate(double)
    {
        return 8;
    }

    void addBlendSheets(Generator& generator)
    {
        const auto sheets = [](double) { return 3.2; };
        const auto tags = [](double) { return 12.0; };
        poisson(generator.random, 0, traceSeconds, 3.2, sheets, [&generator](double at) {
            addConversation(generator, blendSheet, pickCustomer(generator.random), at, traceSeconds);
        });
        poisson(generator.random, 0, traceSeconds, 12.0, tags, [&generator](double at) { addTaggedOrder(generator, at); });
    }

    void addBurst(Generator& generator)
    {
        const auto burst = [](double) { return 100.0; };
        poisson(generator.random, 30, 38, 100.0, burst, [&generator](double at) {
            addConversation(generator, crewQuery, 0, at, traceSeconds);
        });
    }

} // namespace

Trace generateTrace(std::string_view workload, uint64_t seed)
{
    Generator generator { .random = Random(seed), .trace = { .workload = std::string(workload), .requests = {} } };
    if (workload == "dawn-rush") {
        addCrewQueries(generator, 20, dawnRate);
    } else if (workload == "blend-sheets") {
        addBlendSheets(generator);
    } else if (workload == "steady") {
        addCrewQueries(generator, 13, steadyRate);
    } else if (workload == "customer-burst") {
        addCrewQueries(generator, 8, quietRate);
        addBurst(generator);
    }
    std::stable_sort(generator.trace.requests.begin(), generator.trace.requests.end(), [](const auto& left, const auto& right) {
        return left.arrival < right.arrival;
    });
    return generator.trace;
}

void writeTrace(std::ostream& out, const Trace& trace)
{
    for (const TraceRequest& request : trace.requests) {
        out << request.arrival.count() << ' ' << request.customer << ' ' << static_cast<int>(request.priority) << ' '
            << request.outputTokens << ' ' << request.timeAllowed.count();
        for (const PromptSegment& segment : request.prompt) {
            out << ' ' << segment.id << ':' << segment.tokens;
        }
        out << '\n';
    }
}

Trace readTrace(std::istream& in, std::string_view workload)
{
    Trace trace { .workload = std::string(workload), .requests = {} };
    std::string line;
    while (std::getline(in, line)) {
        std::istringstream fields(line);
        int64_t arrival = 0;
        int64_t allowed = 0;
        int priority = 0;
        TraceRequest request;
        fields >> arrival >> request.customer >> priority >> request.outputTokens >> allowed;
        request.arrival = std::chrono::milliseconds(arrival);
        request.timeAllowed = std::chrono::milliseconds(allowed);
        request.priority = static_cast<uint8_t>(priority);
        PromptSegment segment;
        char colon = 0;
        while (fields >> segment.id >> colon >> segment.tokens) {
            request.prompt.push_back(segment);
        }
        trace.requests.push_back(request);
    }
    return trace;
}

} // namespace siskinspread::benchmark
