#include "AtMostOnceTrace.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <filesystem>

namespace siskinspread {

namespace {

    const std::filesystem::path traces { std::filesystem::path(SISKINSPREAD_SOURCE) / "packages/decisions/tests/traces" };

    std::vector<std::filesystem::path> traceFiles()
    {
        std::vector<std::filesystem::path> files;
        for (const auto& entry : std::filesystem::directory_iterator(traces)) {
            if (entry.path().filename() != "FORMAT.txt") {
                files.push_back(entry.path());
            }
        }
        std::sort(files.begin(), files.end());
        return files;
    }

    /** One text, so that a failure prints both outcomes. */
    std::string joined(const std::vector<std::string>& lines)
    {
        std::string text;
        for (const std::string& line : lines) {
            text += line + "; ";
        }
        return text;
    }

    void applyAll(AtMostOnceTrace& replay, const TraceFile& trace)
    {
        for (const std::string& step : trace.steps) {
            CAPTURE(step);
            REQUIRE(replay.apply(step));
        }
    }

} // namespace

TEST_CASE("recorded traces end in their stated outcomes")
{
    const auto files = traceFiles();
    REQUIRE(files.size() >= 8);
    for (const auto& file : files) {
        CAPTURE(file.filename().string());
        const TraceFile trace = readTrace(file.string());
        AtMostOnceTrace replay(false);
        applyAll(replay, trace);
        CHECK(joined(replay.finish()) == joined(trace.outcome));
        CHECK(replay.violations().empty());
    }
}

TEST_CASE("the naive owner ends recorded traces in other outcomes")
{
    size_t differ = 0;
    for (const auto& file : traceFiles()) {
        const TraceFile trace = readTrace(file.string());
        if (trace.naiveOutcome.empty()) {
            continue;
        }
        CAPTURE(file.filename().string());
        AtMostOnceTrace replay(true);
        applyAll(replay, trace);
        const auto outcome = replay.finish();
        for (const std::string& line : trace.naiveOutcome) {
            CAPTURE(line);
            CHECK(std::find(outcome.begin(), outcome.end(), line) != outcome.end());
            CHECK(std::find(trace.outcome.begin(), trace.outcome.end(), line) == trace.outcome.end());
        }
        ++differ;
    }
    CHECK(differ >= 2);
}

} // namespace siskinspread
