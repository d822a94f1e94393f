#include "siskinspread/Log.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

namespace siskinspread {

namespace {

    /** A log whose lines are kept and whose clock stands still. */
    struct CapturedLog {
        explicit CapturedLog(LogLevel minimumLevel = LogLevel::Info)
            : log({ .host = "gauteng-1a",
                .failureDomain = "gauteng-1",
                .minimumLevel = minimumLevel,
                .write = [this](std::string_view line) { return take(line); },
                .onLost = [this] { ++lost; },
                .clock = [] { return WallTime { std::chrono::milliseconds { 1700000000123 } }; } })
        {
        }

        bool take(std::string_view line)
        {
            if (hasRoom) {
                lines.emplace_back(line);
            }
            return hasRoom;
        }

        std::vector<std::string> lines;
        bool hasRoom { true };
        int lost { 0 };
        Log log;
    };

} // namespace

TEST_CASE("a line is one JSON object with the fixed fields first and one newline at its end")
{
    CapturedLog captured;
    captured.log.write({ .level = LogLevel::Warning,
        .message = "attempt failed",
        .requestId = RequestId { .incarnation = { "gauteng-1a.00f3a1b2c4d5e6f7" }, .sequence = 7 },
        .code = ResultCode::BackendNoProgress,
        .fields = { { "attempt", 2 }, { "wait_ms", std::chrono::milliseconds { 250 } }, { "server", "draft-1" }, { "last", true } } });
    REQUIRE(captured.lines.size() == 1);
    CHECK(captured.lines[0] == "{\"time\":\"2023-11-14T22:13:20.123Z\",\"level\":\"warning\",\"host\":\"gauteng-1a\",\"failure_domain\":\"gauteng-1\","
                               "\"request_id\":\"gauteng-1a.00f3a1b2c4d5e6f7-7\",\"result_code\":402,\"result\":\"backend_no_progress\",\"message\":\"attempt failed\","
                               "\"attempt\":2,\"wait_ms\":250,\"server\":\"draft-1\",\"last\":true}\n");
}

TEST_CASE("no text can break a line or stand in for a fixed field")
{
    CapturedLog captured;
    captured.log.write({ .message = "two\nlines \"quoted\" \xff %v %s", .fields = { { "level", "debug" }, { "big", uint64_t { 1 } << 63U } } });
    REQUIRE(captured.lines.size() == 1);
    CHECK(captured.lines[0].find('\n') == captured.lines[0].size() - 1);
    const auto object = nlohmann::json::parse(captured.lines[0]);
    CHECK(object["level"] == "info");
    CHECK(object["big"] == uint64_t { 1 } << 63U);
    CHECK(object["message"].get<std::string>().starts_with("two\nlines \"quoted\" "));
    CHECK(object["message"].get<std::string>().ends_with(" %v %s"));
}

// Guards against one text of others, a name of a megabyte, that fills the ring and pushes out the lines of a whole process.
TEST_CASE("a text that is too long is cut, and its length is told")
{
    CapturedLog captured;
    const std::string name(1U << 20U, 'n');
    captured.log.write({ .message = "replica entry passed over", .fields = { { "replica", name }, { "why", std::string(4096, 'w') }, { "accents", std::string(3000, '\xc3') } } });
    REQUIRE(captured.lines.size() == 1);
    CHECK(captured.lines[0].size() < 24'000);
    const auto object = nlohmann::json::parse(captured.lines[0]);
    CHECK(object["replica"] == std::string(4096, 'n') + " [1048576 bytes]");
    CHECK(object["why"] == std::string(4096, 'w'));
}

TEST_CASE("entries below the minimum level are left out")
{
    CapturedLog captured { LogLevel::Warning };
    captured.log.write({ .level = LogLevel::Info, .message = "quiet" });
    captured.log.write({ .level = LogLevel::Error, .message = "loud" });
    REQUIRE(captured.lines.size() == 1);
    CHECK(captured.lines[0].find("loud") != std::string::npos);
}

TEST_CASE("lines of several threads stay whole and none is lost")
{
    constexpr size_t threadCount = 4;
    constexpr size_t entriesPerThread = 250;
    CapturedLog captured;
    {
        std::vector<std::jthread> threads;
        threads.reserve(threadCount);
        for (size_t thread = 0; thread < threadCount; ++thread) {
            threads.emplace_back([&captured, thread] {
                for (size_t entry = 0; entry < entriesPerThread; ++entry) {
                    captured.log.write({ .message = "entry", .fields = { { "number", thread * entriesPerThread + entry } } });
                }
            });
        }
    }
    std::vector<bool> seen(threadCount * entriesPerThread);
    for (const std::string& line : captured.lines) {
        seen.at(nlohmann::json::parse(line)["number"].get<size_t>()) = true;
    }
    CHECK(captured.lines.size() == seen.size());
    CHECK(std::ranges::find(seen, false) == seen.end());
}

TEST_CASE("lines that cannot be taken are counted, and the next line is preceded by their number")
{
    CapturedLog captured;
    captured.hasRoom = false;
    captured.log.write({ .message = "first" });
    captured.log.write({ .message = "second" });
    captured.hasRoom = true;
    captured.log.write({ .message = "third" });
    CHECK(captured.lost == 2);
    REQUIRE(captured.lines.size() == 2);
    const auto report = nlohmann::json::parse(captured.lines[0]);
    CHECK(report["message"] == "log lines lost");
    CHECK(report["lines"] == 2);
    CHECK(nlohmann::json::parse(captured.lines[1])["message"] == "third");
}

} // namespace siskinspread
