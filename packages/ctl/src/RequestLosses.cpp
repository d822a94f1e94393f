#include "siskinspread/RequestLosses.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace siskinspread {

namespace {

    using std::chrono::milliseconds;

    constexpr std::string_view objectBegin = "{\"time\"";
    constexpr int firstFailure = 300; // HTTP status

    std::string text(const nlohmann::json& object, const char* name)
    {
        const auto field = object.find(name);
        return field != object.end() && field->is_string() ? field->get<std::string>() : std::string {};
    }

    int64_t number(const nlohmann::json& object, const char* name, int64_t otherwise)
    {
        const auto field = object.find(name);
        return field != object.end() && field->is_number_integer() ? field->get<int64_t>() : otherwise;
    }

} // namespace

RequestLosses::RequestLosses(LossOptions options)
    : m_options(options)
{
}

void RequestLosses::read(std::istream& lines)
{
    for (std::string line; std::getline(lines, line);) {
        if (const auto begin = line.find(objectBegin); begin != std::string::npos) {
            readObject(line.substr(begin));
        }
    }
}

void RequestLosses::readObject(const std::string& line)
{
    const auto object = nlohmann::json::parse(line, nullptr, false);
    if (!object.is_object()) {
        ++m_totals.unreadable;
        return;
    }
    const auto message = text(object, "message");
    const auto attempt = text(object, "attempt");
    if (message == "lines left out of the log") {
        m_totals.leftOut += static_cast<uint64_t>(std::max<int64_t>(0, number(object, "lines", 0)));
    } else if (message == "request sent") {
        m_waited.try_emplace(attempt, milliseconds { number(object, "waited_ms", 0) });
    }
    if (message != "request refused" && message != "request ended") {
        return;
    }
    ++m_totals.answered;
    const auto waited = m_waited.extract(attempt);
    const auto status = number(object, "status", 0);
    const milliseconds firstByte { number(object, "first_byte_ms", -1) };
    auto result = text(object, "result");
    auto why = text(object, "why");
    if (status > 0 && status < firstFailure) {
        if (firstByte <= m_options.late) {
            ++m_totals.inTime;
            return;
        }
        result = "late";
        why = !waited.empty() && waited.mapped() * 2 > firstByte ? "most of the time at the host, before it was sent" : "most of the time at the replica";
    }
    auto [row, isNew] = m_rows.try_emplace({ result, text(object, "run"), why });
    auto& entry = row->second;
    const auto time = text(object, "time");
    if (isNew) {
        entry = { .result = result, .run = text(object, "run"), .why = why, .firstAt = time, .lastAt = time, .example = attempt };
    }
    ++entry.requests;
    entry.firstAt = std::min(entry.firstAt, time);
    entry.lastAt = std::max(entry.lastAt, time);
}

LossReport RequestLosses::report() const
{
    auto report = m_totals;
    for (const auto& [key, row] : m_rows) {
        report.rows.push_back(row);
    }
    std::stable_sort(report.rows.begin(), report.rows.end(), [](const LossRow& a, const LossRow& b) { return a.requests > b.requests; });
    return report;
}

} // namespace siskinspread
