#include "siskinspread/RequestLosses.h"

#include "siskinspread/Presentation.h"

#include <doctest/doctest.h>

#include <sstream>

using namespace siskinspread;
using std::chrono::milliseconds;

namespace {

LossReport read(const std::string& lines)
{
    RequestLosses losses { { .late = milliseconds { 600 } } };
    std::istringstream stream { lines };
    losses.read(stream);
    return losses.report();
}

std::string ended(const std::string& attempt, int status, const std::string& result, const std::string& why, int firstByteMs)
{
    return R"({"time":"2026-01-01T00:00:0)" + attempt + R"(Z","message":"request ended","attempt":")" + attempt + R"(","status":)" + std::to_string(status) + R"(,"result":")" + result
        + R"(","run":"ran","why":")" + why + R"(","first_byte_ms":)" + std::to_string(firstByteMs) + "}\n";
}

} // namespace

TEST_CASE("requests are counted by cause, the most first, with the first one as an example")
{
    const auto report = read(ended("1", 200, "ok", "stream complete", 100) + ended("3", 502, "backend_stream_broken", "the replica broke off", -1)
        + ended("2", 502, "backend_stream_broken", "the replica broke off", -1) + ended("4", 504, "deadline_expired", "no answer", -1)
        + R"({"time":"2026-01-01T00:00:05Z","message":"request refused","attempt":"5","status":429,"result":"customer_limit","run":"not_run","why":"over the limit"})" + "\n");
    CHECK(report.answered == 5);
    CHECK(report.inTime == 1);
    REQUIRE(report.rows.size() == 3);
    CHECK(report.rows[0].result == "backend_stream_broken");
    CHECK(report.rows[0].requests == 2);
    CHECK(report.rows[0].example == "3");
    CHECK(report.rows[0].firstAt < report.rows[0].lastAt);
}

TEST_CASE("a late answer tells whether the time went at the host or at the replica")
{
    const std::string sent = R"({"time":"2026-01-01T00:00:01Z","message":"request sent","attempt":"1","waited_ms":500})";
    const auto report = read(sent + "\n" + ended("1", 200, "ok", "stream complete", 800) + ended("2", 200, "ok", "stream complete", 900));
    REQUIRE(report.rows.size() == 2);
    CHECK(report.rows[0].result == "late");
    CHECK(report.rows[0].why != report.rows[1].why);
    CHECK(report.inTime == 0);
}

TEST_CASE("a collector's prefix, other lines and broken lines do no harm, and what is missing is told")
{
    const auto report = read("12.5 host-1 " + ended("1", 200, "ok", "stream complete", 100) + "no object\n{\"time\" broken\n"
        + R"({"time":"t","message":"lines left out of the log","lines":7})" + "\n" + R"({"time":3,"message":[],"attempt":{}})" + "\n");
    CHECK(report.answered == 1);
    CHECK(report.unreadable == 1);
    CHECK(report.leftOut == 7);
    CHECK(presentText(report).find("too low") != std::string::npos);
    CHECK(presentJson(report).find("\"lines_left_out\":7") != std::string::npos);
}
