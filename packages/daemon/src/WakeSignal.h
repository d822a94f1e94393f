#pragma once

#include "siskinspread/Time.h"

#include <atomic>
#include <cerrno>
#include <ctime>
#include <semaphore.h>

namespace siskinspread {

/**
 * Wakes the decide thread. A POSIX semaphore: the timed wait of libstdc++ 12's std::counting_semaphore sleeps for half
 * of the time waited so far between two looks, which delays a wake-up by up to 16 ms in a wait of 50 ms.
 * Thread safety: raise from any thread and from a signal handler; wait from one thread.
 */
class WakeSignal {
public:
    WakeSignal() { sem_init(&m_semaphore, 0, 0); }
    ~WakeSignal() { sem_destroy(&m_semaphore); }
    WakeSignal(const WakeSignal&) = delete;
    WakeSignal& operator=(const WakeSignal&) = delete;

    void raise()
    {
        if (!m_raised.exchange(true, std::memory_order_acq_rel)) {
            sem_post(&m_semaphore);
        }
    }

    /** Sleeps until raise was called or `until` has come. */
    void waitUntil(MonotonicTime until)
    {
        const timespec deadline = monotonicDeadline(until);
        int result = 0;
        do {
            result = sem_clockwait(&m_semaphore, CLOCK_MONOTONIC, &deadline);
        } while (result != 0 && errno == EINTR);
        if (result == 0) {
            m_raised.store(false, std::memory_order_release);
        }
    }

private:
    static timespec monotonicDeadline(MonotonicTime until)
    {
        const auto sinceStart = until.time_since_epoch();
        const auto seconds = std::chrono::floor<std::chrono::seconds>(sinceStart);
        const std::chrono::nanoseconds rest = sinceStart - seconds;
        return { .tv_sec = static_cast<time_t>(seconds.count()), .tv_nsec = static_cast<long>(rest.count()) };
    }

    std::atomic<bool> m_raised { false };
    sem_t m_semaphore {};
};

} // namespace siskinspread
