#pragma once

#include "siskinspread/LineWriter.h"
#include "siskinspread/Log.h"

#include <cstdint>
#include <string>

namespace siskinspread {

/** What the log of a forwarding host may cost. */
struct HostLogOptions {
    std::string host;
    std::string failureDomain;
    int descriptor { 1 }; /**< An open file descriptor; standard output. */
    size_t linesPerSecond { 400 }; /**< Beyond it lines are counted and left out until the second is over. */
};

/**
 * The structured log on standard output: lines are gathered and handed to a writer thread together, so that a line costs
 * no wake-up. Bounded in lines per second; what is left out is counted in a line of its own.
 * Thread safety: one thread.
 */
class HostLog {
public:
    explicit HostLog(HostLogOptions);

    void info(std::string_view message, std::vector<LogField> fields) { write(LogLevel::Info, message, std::move(fields)); }
    void warning(std::string_view message, std::vector<LogField> fields) { write(LogLevel::Warning, message, std::move(fields)); }
    void error(std::string_view message, std::vector<LogField> fields) { write(LogLevel::Error, message, std::move(fields)); }

    /** Hands over what was gathered; to be called every 50 ms or so. */
    void flush();

    uint64_t linesLeftOut() const { return m_leftOutTotal; }

private:
    void write(LogLevel, std::string_view message, std::vector<LogField>);
    void beginSecond(int64_t second);

    HostLogOptions m_options;
    LineWriter m_writer;
    std::string m_gathered;
    Log m_log;
    int64_t m_second { 0 };
    size_t m_linesThisSecond { 0 };
    uint64_t m_leftOut { 0 };
    uint64_t m_leftOutTotal { 0 };
};

} // namespace siskinspread
