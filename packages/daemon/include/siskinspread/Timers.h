#pragma once

#include "siskinspread/Time.h"

#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace siskinspread {

/** Callbacks of the decide thread that run at a given time. Thread safety: decide thread only. */
class Timers {
public:
    /** @param callback checks by itself whether it is still wanted; there is no cancel. */
    void schedule(MonotonicTime at, std::function<void()> callback) { m_callbacks.emplace(at, std::move(callback)); }

    /** Runs what is due, also what becomes due meanwhile. */
    void run(MonotonicTime now)
    {
        while (!m_callbacks.empty() && m_callbacks.begin()->first <= now) {
            const auto callback = std::move(m_callbacks.begin()->second);
            m_callbacks.erase(m_callbacks.begin());
            callback();
        }
    }

    /** @return when the next callback is due, or nothing. */
    std::optional<MonotonicTime> next() const
    {
        if (m_callbacks.empty()) {
            return std::nullopt;
        }
        return m_callbacks.begin()->first;
    }

private:
    std::multimap<MonotonicTime, std::function<void()>> m_callbacks;
};

} // namespace siskinspread
