#pragma once

#include "siskinspread/HttpClient.h"

#include <chrono>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>

namespace siskinspread::benchmark {

using Clock = std::chrono::steady_clock;

/** An event of a transfer with the time at which the client's thread saw it. */
struct TimedEvent {
    Clock::time_point at;
    std::unique_ptr<ClientEvent> event;
};

/**
 * Many transfers at once from one thread over libcurl's multi interface; the caller takes their events one by one.
 * Thread safety: one thread at a time.
 */
class LoadClient {
public:
    LoadClient();
    ~LoadClient();
    LoadClient(const LoadClient&) = delete;
    LoadClient& operator=(const LoadClient&) = delete;

    /** Starts a transfer. @return the id that it was given. Throws std::runtime_error when too many wait. */
    TransferId start(StartTransfer transfer);

    /** @return the next event, or nothing when none comes before `until`. */
    std::optional<TimedEvent> next(Clock::time_point until);

private:
    bool take(std::unique_ptr<ClientEvent>& event);

    std::mutex m_mutex;
    std::condition_variable m_arrived;
    std::deque<TimedEvent> m_events;
    TransferId m_lastTransfer { 0 };
    HttpClient m_client;
};

} // namespace siskinspread::benchmark
