#pragma once

#include "siskinspread/Ids.h"
#include "siskinspread/ResultCode.h"
#include "siskinspread/Time.h"

#include <chrono>
#include <concepts>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace siskinspread {

class LineWriter;

/** Severity of a log entry, from the least to the most severe. */
enum class LogLevel : uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

/** @return "debug", "info", "warning" or "error". Thread safety: reads constant data only. */
std::string_view logLevelName(LogLevel level);

/** Value of an extra field of a log entry. */
class LogValue {
public:
    LogValue(bool value)
        : m_value(value)
    {
    }
    template <std::signed_integral Number>
    LogValue(Number value)
        : m_value(static_cast<int64_t>(value))
    {
    }
    template <std::unsigned_integral Number>
    requires(!std::same_as<Number, bool>) LogValue(Number value)
        : m_value(static_cast<uint64_t>(value))
    {
    }
    LogValue(double value)
        : m_value(value)
    {
    }
    /** Logged as a number of milliseconds; the name of the field ends in "_ms". */
    LogValue(std::chrono::milliseconds value)
        : m_value(static_cast<int64_t>(value.count()))
    {
    }
    LogValue(std::string_view value)
        : m_value(std::string { value })
    {
    }
    LogValue(const std::string& value)
        : m_value(value)
    {
    }
    LogValue(const char* value)
        : m_value(std::string { value })
    {
    }

    using Variant = std::variant<bool, int64_t, uint64_t, double, std::string>;

    /** Thread safety: reentrant. */
    const Variant& variant() const { return m_value; }

private:
    Variant m_value;
};

/** An extra field of a log entry; its name is in snake_case and none of the names of docs/OBSERVABILITY.md's fixed fields. */
struct LogField {
    std::string name;
    LogValue value;
};

/** One line of the log. */
struct LogLine {
    LogLevel level { LogLevel::Info };
    std::string message {}; /**< The same words at each occurrence; what varies goes into `fields`. */
    std::optional<RequestId> requestId {};
    std::optional<ResultCode> code {};
    std::vector<LogField> fields {};
};

/** Options of the log of a process. */
struct LogOptions {
    std::string host {};
    std::string failureDomain {};
    LogLevel minimumLevel { LogLevel::Info };
    /**
     * Receives each line with its newline, one call at a time; returns false where it could not take it. A LineWriter on
     * standard error when empty.
     */
    std::function<bool(std::string_view line)> write {};
    std::function<void()> onLost {}; /**< A line could not be taken. Called on the thread that wrote it. */
    std::function<WallTime()> clock {}; /**< The system clock when empty. */
};

/**
 * The log of a process: one JSON object a line on standard error, through easylogging++. It opens no file. Lines that
 * other code logs with easylogging++ are wrapped in the same form. A reader that stops reading holds up nobody: lines that
 * cannot be taken are counted, and the next one that can be is preceded by a line with their number.
 *
 * Precondition: at most one Log exists at a time, since easylogging++ keeps its state for the whole process.
 * Thread safety: write may be called from any thread; construction and destruction while no other thread logs.
 */
class Log {
public:
    explicit Log(LogOptions options);
    ~Log();
    Log(const Log&) = delete;
    Log& operator=(const Log&) = delete;

    /** Writes one line, unless its level is below the minimum. Thread safety: any thread. */
    void write(const LogLine& entry);

private:
    std::string format(const LogLine& entry) const;

    std::unique_ptr<LineWriter> m_standardError;
    LogOptions m_options;
};

} // namespace siskinspread
