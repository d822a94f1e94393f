#pragma once

#include "siskinspread/Time.h"

#include <atomic>
#include <semaphore>

namespace siskinspread {

/** Wakes the decide thread. Thread safety: raise from any thread and from a signal handler; wait from one thread. */
class WakeSignal {
public:
    void raise()
    {
        if (!m_raised.exchange(true, std::memory_order_acq_rel)) {
            m_semaphore.release();
        }
    }

    /** Sleeps until raise was called or `until` has come. */
    void waitUntil(MonotonicTime until)
    {
        if (m_semaphore.try_acquire_until(until)) {
            m_raised.store(false, std::memory_order_release);
        }
    }

private:
    std::atomic<bool> m_raised { false };
    std::counting_semaphore<2> m_semaphore { 0 };
};

} // namespace siskinspread
