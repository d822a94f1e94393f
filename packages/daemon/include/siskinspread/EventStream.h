#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace siskinspread {

/**
 * Cuts a stream of server-sent events (HTML Living Standard, section 9.2) into the data of its events. Only the
 * `data` field is kept. Thread safety: none; one object for each stream.
 */
class EventStreamParser {
public:
    /** Longest event that is kept; a longer one ends the stream with isMalformed. */
    static constexpr size_t maxEventBytes = 1U << 20;

    /** Adds bytes as they arrived, cut anywhere. */
    void append(std::string_view bytes);

    /** @return the data of the next whole event, or nothing. */
    std::optional<std::string> next();

    bool isMalformed() const { return m_malformed; }

private:
    std::string m_buffer;
    bool m_malformed { false };
};

} // namespace siskinspread
