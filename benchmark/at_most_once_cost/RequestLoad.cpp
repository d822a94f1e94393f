#include "RequestLoad.h"

#include <stdexcept>
#include <unordered_map>

namespace siskinspread::benchmark {
namespace {

    constexpr int statusOk = 200;
    constexpr std::chrono::minutes longestSilence { 1 };

    class RequestLoad {
    public:
        RequestLoad(LoadClient& client, const RequestLoadOptions& options)
            : m_client(client)
            , m_options(options)
        {
        }

        RequestSample run()
        {
            m_begin = Clock::now();
            while (m_open.size() < m_options.inFlight && mayStart()) {
                startNext();
            }
            while (!m_open.empty()) {
                const auto event = m_client.next(Clock::now() + longestSilence);
                if (!event) {
                    throw std::runtime_error("no request was answered within a minute");
                }
                if (const auto* ended = std::get_if<TransferEnded>(event->event.get())) {
                    onEnded(*ended, event->at);
                }
            }
            m_sample.duration = Clock::now() - m_begin;
            return std::move(m_sample);
        }

    private:
        bool mayStart() const
        {
            return m_started < m_options.requests && Clock::now() - m_begin < m_options.duration;
        }

        void startNext()
        {
            const auto startedAt = Clock::now();
            m_open.emplace(m_client.start(m_options.next()), startedAt);
            if (++m_started == m_options.requests && m_options.onAllStarted) {
                m_options.onAllStarted();
            }
        }

        void onEnded(const TransferEnded& event, Clock::time_point at)
        {
            const auto entry = m_open.find(event.transfer);
            const std::chrono::duration<double, std::milli> latency = at - entry->second;
            m_open.erase(entry);
            if (event.end == TransferEnd::Complete && event.status == statusOk) {
                m_sample.latencyMs.push_back(latency.count());
            } else {
                ++m_sample.otherAnswers[event.status];
            }
            if (mayStart()) {
                startNext();
            }
        }

        LoadClient& m_client;
        const RequestLoadOptions& m_options;
        Clock::time_point m_begin;
        size_t m_started { 0 };
        std::unordered_map<TransferId, Clock::time_point> m_open; /**< When each was started. */
        RequestSample m_sample;
    };

} // namespace

RequestSample runRequests(LoadClient& client, const RequestLoadOptions& options)
{
    return RequestLoad(client, options).run();
}

void append(RequestSample& total, const RequestSample& part)
{
    total.latencyMs.insert(total.latencyMs.end(), part.latencyMs.begin(), part.latencyMs.end());
    for (const auto& [status, count] : part.otherAnswers) {
        total.otherAnswers[status] += count;
    }
    total.duration += part.duration;
}

} // namespace siskinspread::benchmark
