#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace siskinspread {

/**
 * Finds the ends and ids of events in a stream (WHATWG HTML, section "Server-sent events"), so that a stream can be broken
 * off and continued between two events. Lines end in "\n", "\r\n" or "\r"; comments and empty lines between two events belong to none.
 * Thread safety: one thread at a time.
 */
class EventScanner {
public:
    /** Takes bytes of the stream. @return the events that are whole now, as received; what follows is kept back. */
    std::string feed(std::string_view bytes);

    /** Forgets a part of an event that will not be completed. */
    void dropPart();

    /** @return the part of an event that was kept back; the event stays unfinished until its end is fed. */
    std::string takePart();

    /** @return whether an event or a line has begun and not ended. */
    bool hasPart() const { return m_insideEvent || m_insideLine; }
    /** @return how much is kept back. */
    size_t partBytes() const { return m_part.size(); }

    /** @return the id of the last whole event that had one. */
    std::optional<uint64_t> lastId() const { return m_lastId; }

private:
    /** Follows the lines. @return whether the stream is between two events behind this byte. */
    bool passByte(char);
    void readId(std::string_view event);

    std::string m_part;
    std::optional<uint64_t> m_lastId;
    bool m_insideEvent { false }; /**< A line that is no comment has begun since the last empty line. */
    bool m_insideLine { false };
    bool m_afterCarriageReturn { false }; /**< A "\n" that follows belongs to the same end of a line. */
};

} // namespace siskinspread
