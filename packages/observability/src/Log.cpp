#include "siskinspread/Log.h"

#include "siskinspread/LineWriter.h"

#include <easylogging++.h>
#include <fmt/chrono.h>
#include <nlohmann/json.hpp>

#include <mutex>

INITIALIZE_EASYLOGGINGPP

namespace siskinspread {

namespace {

    constexpr const char* loggerId = "siskinspread";
    constexpr const char* callbackId = "siskinspread-json-lines";
    constexpr const char* defaultCallbackId = "DefaultLogDispatchCallback";

    using Json = nlohmann::ordered_json;

    constexpr size_t maxTextBytes = 4096; // of one field: names and headers may be of any length

    /** @return the time in UTC with milliseconds, in the form of RFC 3339. */
    std::string formatTime(WallTime time)
    {
        const auto seconds = std::chrono::floor<std::chrono::seconds>(time);
        const auto fraction = std::chrono::floor<std::chrono::milliseconds>(time - seconds);
        return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(seconds), fraction.count());
    }

    Json asJson(const LogValue& value)
    {
        const auto* text = std::get_if<std::string>(&value.variant());
        if (text != nullptr && text->size() > maxTextBytes) {
            return fmt::format("{} [{} bytes]", std::string_view { *text }.substr(0, maxTextBytes), text->size());
        }
        return std::visit([](const auto& content) { return Json(content); }, value.variant());
    }

    /** Invalid UTF-8 is replaced, so that no text can make a line unreadable. */
    std::string asLine(const Json& object)
    {
        return object.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
    }

    LogLevel levelOf(el::Level level)
    {
        switch (level) {
        case el::Level::Error:
        case el::Level::Fatal:
            return LogLevel::Error;
        case el::Level::Warning:
            return LogLevel::Warning;
        case el::Level::Info:
            return LogLevel::Info;
        default:
            return LogLevel::Debug;
        }
    }

    void dispatch(LogLevel level, const std::string& line)
    {
        switch (level) {
        case LogLevel::Debug:
            CLOG(DEBUG, loggerId) << line;
            break;
        case LogLevel::Info:
            CLOG(INFO, loggerId) << line;
            break;
        case LogLevel::Warning:
            CLOG(WARNING, loggerId) << line;
            break;
        case LogLevel::Error:
            CLOG(ERROR, loggerId) << line;
            break;
        }
    }

    /** Passes formatted lines on and formats those that come from other loggers of easylogging++. */
    class JsonLineCallback final : public el::LogDispatchCallback {
    public:
        std::function<bool(std::string_view)> write;
        std::function<void()> onLost;
        std::function<std::string(const LogLine&)> format;

    protected:
        void handle(const el::LogDispatchData* data) override
        {
            const std::string text = data->logMessage()->message();
            if (data->logMessage()->logger()->id() == loggerId) {
                writeLine(text);
                return;
            }
            writeLine(format({ .level = levelOf(data->logMessage()->level()), .message = text }));
        }

    private:
        void writeLine(const std::string& line)
        {
            const std::scoped_lock lock { m_mutex };
            if (!reportLost() || !write(line)) {
                ++m_lost;
                onLost();
            }
        }

        /** @return false when lines were lost and even the line that says so could not be taken. */
        bool reportLost()
        {
            if (m_lost && !write(format({ .level = LogLevel::Warning, .message = "log lines lost", .fields = { { "lines", m_lost } } }))) {
                return false;
            }
            m_lost = 0;
            return true;
        }

        uint64_t m_lost { 0 }; /**< Since the last line that told of it; guarded by m_mutex. */
        std::mutex m_mutex;
    };

    void keepOutOfFilesAndTerminals(el::Logger& logger)
    {
        el::Configurations configurations;
        configurations.setGlobally(el::ConfigurationType::Enabled, "true");
        configurations.setGlobally(el::ConfigurationType::ToFile, "false");
        configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
        el::Loggers::reconfigureLogger(&logger, configurations);
    }

} // namespace

std::string_view logLevelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        break;
    }
    return "error";
}

Log::Log(LogOptions options)
    : m_options(std::move(options))
{
    if (!m_options.write) {
        m_standardError = std::make_unique<LineWriter>(LineWriterOptions {});
        m_options.write = [this](std::string_view line) { return m_standardError->tryWrite(line); };
    }
    if (!m_options.onLost) {
        m_options.onLost = [] {};
    }
    if (!m_options.clock) {
        m_options.clock = [] { return std::chrono::system_clock::now(); };
    }
    keepOutOfFilesAndTerminals(*el::Loggers::getLogger(loggerId));
    el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>(defaultCallbackId);
    el::Helpers::installLogDispatchCallback<JsonLineCallback>(callbackId);
    auto* callback = el::Helpers::logDispatchCallback<JsonLineCallback>(callbackId);
    callback->write = m_options.write;
    callback->onLost = m_options.onLost;
    callback->format = [this](const LogLine& entry) { return format(entry); };
}

Log::~Log()
{
    el::Helpers::uninstallLogDispatchCallback<JsonLineCallback>(callbackId);
}

void Log::write(const LogLine& entry)
{
    if (entry.level < m_options.minimumLevel) {
        return;
    }
    dispatch(entry.level, format(entry));
}

std::string Log::format(const LogLine& entry) const
{
    Json object;
    object["time"] = formatTime(m_options.clock());
    object["level"] = logLevelName(entry.level);
    object["host"] = m_options.host;
    object["failure_domain"] = m_options.failureDomain;
    if (entry.requestId) {
        object["request_id"] = formatRequestId(*entry.requestId);
    }
    if (entry.code) {
        object["result_code"] = static_cast<int>(*entry.code);
        object["result"] = resultInfo(*entry.code).name;
    }
    object["message"] = entry.message;
    for (const LogField& field : entry.fields) {
        object.emplace(field.name, asJson(field.value)); // never replaces a fixed field
    }
    return asLine(object);
}

} // namespace siskinspread
