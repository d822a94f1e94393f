#include "StreamLoad.h"

#include <charconv>
#include <stdexcept>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace siskinspread::benchmark {
namespace {

    constexpr std::string_view emittedField = "\"siskinspread_emitted_us\":";
    constexpr std::string_view endMark = "data: [DONE]";
    constexpr std::string_view digits = "0123456789";
    constexpr std::chrono::minutes longestSilence { 1 };

    int64_t microseconds(Clock::time_point time)
    {
        return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count();
    }

    struct OpenAnswer {
        size_t stream { 0 };
        Clock::time_point startedAt;
        bool hasBegun { false };
        int status { 0 };
        std::string unread; /**< Bytes that may hold the beginning of a field. */
        bool hasEndMark { false };
    };

    class StreamLoad {
    public:
        StreamLoad(LoadClient& client, const StreamLoadOptions& options)
            : m_client(client)
            , m_options(options)
            , m_answersLeft(options.streams, options.answersPerStream)
        {
        }

        StreamSample run()
        {
            const auto begin = Clock::now();
            size_t started = 0;
            auto lastProgress = begin;
            while (started < m_options.streams || !m_open.empty()) {
                const Clock::time_point nextStart = begin + m_options.startSpread * static_cast<int64_t>(started) / static_cast<int64_t>(m_options.streams);
                if (started < m_options.streams && Clock::now() >= nextStart) {
                    startAnswer(started++);
                    continue;
                }
                const Clock::time_point until = started < m_options.streams ? nextStart : lastProgress + longestSilence;
                if (const auto event = m_client.next(until)) {
                    lastProgress = event->at;
                    std::visit([&](const auto& e) { on(e, event->at); }, *event->event);
                } else if (Clock::now() - lastProgress >= longestSilence) {
                    throw std::runtime_error("no stream made progress within a minute");
                }
            }
            m_sample.duration = Clock::now() - begin;
            return std::move(m_sample);
        }

    private:
        void startAnswer(size_t stream)
        {
            --m_answersLeft[stream];
            StartTransfer request = m_options.request(stream);
            request.streaming = true;
            const auto startedAt = Clock::now();
            m_open.emplace(m_client.start(std::move(request)), OpenAnswer { .stream = stream, .startedAt = startedAt });
        }

        void on(const TransferHeaders& event, Clock::time_point /*at*/)
        {
            m_open.at(event.transfer).status = event.status;
        }

        void on(const TransferData& event, Clock::time_point at)
        {
            OpenAnswer& answer = m_open.at(event.transfer);
            if (!std::exchange(answer.hasBegun, true)) {
                m_sample.firstByteMs.push_back(std::chrono::duration<double, std::milli>(at - answer.startedAt).count());
                countBegun(answer);
            }
            answer.unread += event.data;
            readTokens(answer, at);
        }

        void countBegun(const OpenAnswer& answer)
        {
            const bool isFirstOfStream = m_answersLeft[answer.stream] + 1 == m_options.answersPerStream;
            if (isFirstOfStream && ++m_begun == m_options.streams && m_options.onAllOpen) {
                m_options.onAllOpen();
            }
        }

        void readTokens(OpenAnswer& answer, Clock::time_point at)
        {
            size_t read = 0;
            for (;;) {
                const size_t field = answer.unread.find(emittedField, read);
                const size_t end = field == std::string::npos ? field : answer.unread.find_first_not_of(digits, field + emittedField.size());
                if (end == std::string::npos) {
                    break;
                }
                int64_t emitted = 0;
                std::from_chars(answer.unread.data() + field + emittedField.size(), answer.unread.data() + end, emitted);
                m_sample.tokenDelayUs.push_back(static_cast<double>(microseconds(at) - emitted));
                read = end;
            }
            answer.unread.erase(0, read);
            answer.hasEndMark = answer.hasEndMark || answer.unread.find(endMark) != std::string::npos;
        }

        void on(const TransferEnded& event, Clock::time_point /*at*/)
        {
            const auto entry = m_open.find(event.transfer);
            const OpenAnswer answer = std::move(entry->second);
            m_open.erase(entry);
            const bool isWhole = event.end == TransferEnd::Complete && answer.hasEndMark;
            ++(isWhole ? m_sample.whole : m_sample.failed);
            if (!isWhole && m_sample.firstFailure.empty()) {
                m_sample.firstFailure = std::to_string(answer.status) + " " + event.detail + " " + answer.unread;
            }
            if (m_answersLeft[answer.stream] > 0) {
                startAnswer(answer.stream);
            }
        }

        LoadClient& m_client;
        const StreamLoadOptions& m_options;
        std::vector<size_t> m_answersLeft; /**< By stream: not started yet. */
        std::unordered_map<TransferId, OpenAnswer> m_open;
        size_t m_begun { 0 };
        StreamSample m_sample;
    };

} // namespace

StreamSample runStreams(LoadClient& client, const StreamLoadOptions& options)
{
    return StreamLoad(client, options).run();
}

void append(StreamSample& total, const StreamSample& part)
{
    total.firstByteMs.insert(total.firstByteMs.end(), part.firstByteMs.begin(), part.firstByteMs.end());
    total.tokenDelayUs.insert(total.tokenDelayUs.end(), part.tokenDelayUs.begin(), part.tokenDelayUs.end());
    total.whole += part.whole;
    total.failed += part.failed;
    total.duration += part.duration;
    if (total.firstFailure.empty()) {
        total.firstFailure = part.firstFailure;
    }
}

} // namespace siskinspread::benchmark
