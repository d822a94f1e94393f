#include "siskinspread/EventStream.h"

namespace siskinspread {

namespace {

    constexpr std::string_view dataField = "data:";

    std::string dataOf(std::string_view event)
    {
        std::string data;
        while (!event.empty()) {
            const size_t end = event.find('\n');
            std::string_view line = event.substr(0, end);
            event = end == std::string_view::npos ? std::string_view {} : event.substr(end + 1);
            if (!line.starts_with(dataField)) {
                continue;
            }
            line.remove_prefix(dataField.size());
            if (line.starts_with(' ')) {
                line.remove_prefix(1);
            }
            if (!data.empty()) {
                data += '\n';
            }
            data += line;
        }
        return data;
    }

} // namespace

void EventStreamParser::append(std::string_view bytes)
{
    for (const char c : bytes) {
        if (c != '\r') {
            m_buffer += c;
        }
    }
    if (m_buffer.size() > maxEventBytes) {
        m_malformed = true;
        m_buffer.clear();
    }
}

std::optional<std::string> EventStreamParser::next()
{
    for (;;) {
        const size_t end = m_buffer.find("\n\n");
        if (end == std::string::npos) {
            return std::nullopt;
        }
        std::string data = dataOf(std::string_view { m_buffer }.substr(0, end));
        m_buffer.erase(0, end + 2);
        if (!data.empty()) {
            return data;
        }
    }
}

} // namespace siskinspread
