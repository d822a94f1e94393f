#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace siskinspread {

/**
 * Finds the ends and ids of events in a stream (WHATWG HTML, section "Server-sent events"), so that a stream can be broken
 * off and continued between two events.
 * Thread safety: one thread at a time.
 */
class EventScanner {
public:
    /** Takes bytes of the stream. @return the events that are whole now, as received; what follows is kept back. */
    std::string feed(std::string_view bytes);

    /** Forgets a part of an event that will not be completed. */
    void dropPart() { m_part.clear(); }

    bool hasPart() const { return !m_part.empty(); }
    size_t partBytes() const { return m_part.size(); }

    /** @return the id of the last whole event that had one. */
    std::optional<uint64_t> lastId() const { return m_lastId; }

private:
    void readId(std::string_view event);

    std::string m_part;
    std::optional<uint64_t> m_lastId;
};

} // namespace siskinspread
