#include "siskinspread/EventScanner.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace siskinspread {

std::string EventScanner::feed(std::string_view bytes)
{
    const size_t before = m_part.size();
    m_part.append(bytes);
    size_t whole = 0;
    for (size_t at = before; at < m_part.size(); ++at) {
        if (passByte(m_part[at])) {
            readId(std::string_view { m_part }.substr(whole, at + 1 - whole));
            whole = at + 1;
        }
    }
    std::string events = m_part.substr(0, whole);
    m_part.erase(0, whole);
    return events;
}

void EventScanner::dropPart()
{
    m_part.clear();
    m_insideEvent = false;
    m_insideLine = false;
    m_afterCarriageReturn = false;
}

std::string EventScanner::takePart()
{
    return std::exchange(m_part, {});
}

bool EventScanner::passByte(char byte)
{
    const bool endsSameLine = byte == '\n' && m_afterCarriageReturn;
    m_afterCarriageReturn = byte == '\r';
    if (byte == '\n' || byte == '\r') {
        // An empty line ends an event.
        m_insideEvent = m_insideEvent && (m_insideLine || endsSameLine);
        m_insideLine = false;
        return !m_insideEvent;
    }
    if (!m_insideLine) {
        m_insideLine = true;
        m_insideEvent = m_insideEvent || byte != ':';
    }
    return false;
}

void EventScanner::readId(std::string_view event)
{
    while (!event.empty()) {
        auto line = event.substr(0, event.find_first_of("\r\n"));
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
