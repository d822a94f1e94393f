#include "KeyCost.h"

#include "HeapUse.h"

#include "siskinspread/AtMostOnce.h"
#include "siskinspread/IncarnationLog.h"

#include <ctime>

namespace siskinspread::benchmark {
namespace {

    using namespace std::chrono_literals;

    constexpr size_t keyCounts[] { 1'000, 10'000, 50'000 };
    constexpr size_t responseBytes = 200;
    constexpr double entriesPerSecond[] { 1, 10, 100, 300 };
    constexpr std::chrono::seconds measuredTime { 60 };
    constexpr std::chrono::milliseconds tick { 10 };
    constexpr double ownersOfDomain = 2;
    constexpr double urgentWritesPerSecond = 160; // for all owners together, as LogWriter.cpp shares them

    /** One owner of all slices whose requests are answered at once. */
    class Owner {
    public:
        Owner()
        {
            m_state.self = { "gauteng-1a.18a3f0c2d4e5b697" };
            for (uint32_t slice = 0; slice < m_options.slices.sliceCount; ++slice) {
                raise(SliceTaken { .slice = slice, .assignment = { .owner = m_state.self, .generation = 1, .previous = {} }, .histories = {} });
            }
        }

        void serve(size_t number)
        {
            const RequestId request { .incarnation = m_state.self, .sequence = 2 * number + 1 };
            const std::string text = "hold-" + std::to_string(number) + "-5f0c2d4e5b697a18";
            raise(RequestArrived { .request = request, .refusalId = {}, .key = { .customer = "highveld-grip", .text = text }, .digest = { number, number }, .service = "ledger", .entryHost = "gauteng-1a", .candidates = { "ledger-0", "ledger-1" }, .deadline = m_now.monotonic + 5s, .notAdmitted = {} });
            raise(IntentDurable { .request = request });
            raise(AttemptAnswered { .request = request, .attempt = 1, .backendServer = "ledger-0", .response = std::string(responseBytes, 'r') });
            raise(OutcomeDurable { .request = request });
            m_now.monotonic += 1ms;
            m_now.wall += 1ms;
        }

        size_t remembered() const { return m_state.remembered.size(); }

    private:
        void raise(const AtMostOnceEvent& event)
        {
            std::vector<AtMostOnceAction> actions;
            step(m_state, m_options, event, m_now, actions);
        }

        AtMostOnceOptions m_options;
        AtMostOnceState m_state;
        ClockReading m_now { .monotonic = MonotonicTime { 1h }, .wall = WallTime { 400'000h } };
    };

    /** @return writes a second of a log to which entries come at an even rate, each waited for. */
    double writesPerSecond(double rate, std::chrono::milliseconds interval)
    {
        const IncarnationLogOptions options { .urgentInterval = interval };
        IncarnationLogState state { .self = { "gauteng-1a.18a3f0c2d4e5b697" }, .startMark = "1" };
        MonotonicTime now { 1h };
        uint64_t token = 0;
        size_t writes = 0;
        std::vector<IncarnationLogAction> actions;
        const auto raise = [&](const IncarnationLogEvent& event) { step(state, options, event, now, actions); };
        for (const auto begin = now; now < begin + measuredTime; now += tick) {
            const double passed = std::chrono::duration<double>(now - begin).count();
            while (static_cast<double>(token) < passed * rate) {
                raise(AppendEntry { .token = ++token, .entry = IntentEntry { .request = { state.self, token }, .service = "ledger" } });
            }
            raise(LogTick {});
            for (size_t i = 0; i < actions.size(); ++i) {
                if (const auto* create = std::get_if<CreateBatch>(&actions[i])) {
                    ++writes;
                    raise(BatchCreated { create->batch.number });
                }
            }
            actions.clear();
        }
        return static_cast<double>(writes) / static_cast<double>(measuredTime.count());
    }

} // namespace

std::vector<CapacityLine> measureKeys(const Target& target)
{
    const std::string mechanism = "bounded table of keys at the owner (`AtMostOnce.h`)";
    const auto maxKeys = static_cast<double>(AtMostOnceOptions {}.maxKeys);
    CapacityLine heap { .role = "decide: remembered keys", .figure = "bytes of memory at `maxKeys`, answers of 200 bytes", .sizeName = "keys", .points = {}, .targetSize = maxKeys, .allowance = target.controlBytes, .mechanism = mechanism };
    CapacityLine time { .role = "decide: remembered keys", .figure = "microseconds of processor time a request", .sizeName = "keys", .points = {}, .targetSize = maxKeys, .allowance = 0, .mechanism = mechanism };
    for (const size_t count : keyCounts) {
        const int64_t heapBefore = heapBytes();
        Owner owner;
        const std::clock_t begin = std::clock();
        for (size_t i = 0; i < count; ++i) {
            owner.serve(i);
        }
        const double microseconds = 1e6 * static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
        heap.points.push_back({ static_cast<double>(owner.remembered()), static_cast<double>(heapBytes() - heapBefore) });
        time.points.push_back({ static_cast<double>(owner.remembered()), microseconds / static_cast<double>(count) });
    }
    return { heap, time };
}

std::vector<CapacityLine> measureLogWrites(const Target& target)
{
    const double owners = ownersOfDomain * target.failureDomains;
    const auto interval = writeInterval(urgentWritesPerSecond, static_cast<size_t>(owners));
    CapacityLine line { .role = "store: incarnation logs", .figure = "writes a second of all 16 owners", .sizeName = "entries a second and owner", .points = {}, .targetSize = entriesPerSecond[std::size(entriesPerSecond) - 1], .growth = Growth::Bounded, .allowance = target.storeWritesPerSecond, .mechanism = "group commit (`IncarnationLog.h`)" };
    for (const double rate : entriesPerSecond) {
        line.points.push_back({ rate, owners * writesPerSecond(rate, interval) });
    }
    return { line };
}

} // namespace siskinspread::benchmark
