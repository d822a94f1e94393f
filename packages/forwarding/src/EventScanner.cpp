#include "siskinspread/EventScanner.h"

#include <charconv>

namespace siskinspread {

namespace {

    /** @return the end of the first event in `text`, behind its empty line; npos when there is none. */
    size_t endOfEvent(std::string_view text)
    {
        for (size_t at = text.find('\n'); at != std::string_view::npos; at = text.find('\n', at + 1)) {
            size_t next = at + 1;
            if (next < text.size() && text[next] == '\r') {
                ++next;
            }
            if (next < text.size() && text[next] == '\n') {
                return next + 1;
            }
        }
        return std::string_view::npos;
    }

} // namespace

std::string EventScanner::feed(std::string_view bytes)
{
    m_part.append(bytes);
    size_t whole = 0;
    std::string_view rest { m_part };
    for (size_t end = endOfEvent(rest); end != std::string_view::npos; end = endOfEvent(rest)) {
        readId(rest.substr(0, end));
        rest.remove_prefix(end);
        whole += end;
    }
    std::string events = m_part.substr(0, whole);
    m_part.erase(0, whole);
    return events;
}

void EventScanner::readId(std::string_view event)
{
    while (!event.empty()) {
        auto line = event.substr(0, event.find('\n'));
        event.remove_prefix(std::min(event.size(), line.size() + 1));
        if (!line.starts_with("id:")) {
            continue;
        }
        line.remove_prefix(3);
        while (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        uint64_t id = 0;
        if (std::from_chars(line.data(), line.data() + line.size(), id).ec == std::errc {}) {
            m_lastId = id;
        }
    }
}

} // namespace siskinspread
