#include "siskinspread/HostLog.h"

#include <algorithm>
#include <chrono>

namespace siskinspread {

namespace {

    constexpr size_t maxGatheredBytes = 256U << 10U;

    std::chrono::milliseconds wallMilliseconds()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    }

} // namespace

HostLog::HostLog(HostLogOptions options)
    : m_options(std::move(options))
    , m_writer(LineWriterOptions { .descriptor = m_options.descriptor })
    , m_log(LogOptions { .host = m_options.host, .failureDomain = m_options.failureDomain, .write = [this](std::string_view line) {
                            m_gathered.append(line);
                            return true;
                        } })
{
}

void HostLog::write(LogLevel level, std::string_view message, std::vector<LogField> fields)
{
    const auto now = wallMilliseconds();
    if (now.count() / 1000 != m_second) {
        beginSecond(now.count() / 1000);
    }
    // Warnings and errors say that beliefs change and are few; they pass where lines about requests no longer do.
    const size_t bound = level >= LogLevel::Warning ? m_options.linesPerSecond * 2 : m_options.linesPerSecond;
    if (m_linesThisSecond >= bound || m_gathered.size() > maxGatheredBytes) {
        ++m_leftOut;
        ++m_leftOutTotal;
        return;
    }
    ++m_linesThisSecond;
    m_log.write({ .level = level, .message = std::string { message }, .fields = std::move(fields) });
}

void HostLog::beginSecond(int64_t second)
{
    m_second = second;
    m_linesThisSecond = 0;
    if (m_leftOut > 0) {
        m_log.write({ .level = LogLevel::Warning, .message = "lines left out of the log", .fields = { { "lines", m_leftOut } } });
        m_leftOut = 0;
    }
}

void HostLog::flush()
{
    if (m_gathered.empty()) {
        return;
    }
    if (!m_writer.tryWrite(m_gathered)) {
        const auto lines = static_cast<uint64_t>(std::count(m_gathered.begin(), m_gathered.end(), '\n'));
        m_leftOut += lines;
        m_leftOutTotal += lines;
    }
    m_gathered.clear();
}

} // namespace siskinspread
