#pragma once

#include <chrono>
#include <deque>
#include <utility>

namespace siskinspread::standin {

/** A value that readers see as it was some time ago. Before the first change they see Value {}. */
template <typename Value>
class LaggedValue {
public:
    explicit LaggedValue(std::chrono::milliseconds lag)
        : m_lag(lag)
    {
    }

    /** Records the value as of `now`; times must not decrease. */
    void set(Value value, std::chrono::steady_clock::time_point now)
    {
        m_changes.emplace_back(now, std::move(value));
        forgetBefore(now);
    }

    /** @return the value as it was one lag before `now`. */
    const Value& published(std::chrono::steady_clock::time_point now)
    {
        forgetBefore(now);
        return m_published;
    }

private:
    void forgetBefore(std::chrono::steady_clock::time_point now)
    {
        while (!m_changes.empty() && m_changes.front().first + m_lag <= now) {
            m_published = std::move(m_changes.front().second);
            m_changes.pop_front();
        }
    }

    std::chrono::milliseconds m_lag;
    Value m_published {};
    std::deque<std::pair<std::chrono::steady_clock::time_point, Value>> m_changes;
};

} // namespace siskinspread::standin
