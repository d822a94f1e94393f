#include "siskinspread/LineWriter.h"

#include <doctest/doctest.h>

#include <unistd.h>

#include <array>
#include <csignal>
#include <future>
#include <string>

namespace siskinspread {

namespace {

    constexpr size_t lineLength = 4000; // few lines fill a pipe
    constexpr size_t capacity = 16;

    /** A pipe whose two ends are closed at the end. */
    struct Pipe {
        std::array<int, 2> ends {};

        Pipe() { REQUIRE(pipe(ends.data()) == 0); }
        ~Pipe()
        {
            closeEnd(0);
            closeEnd(1);
        }

        void closeEnd(size_t end)
        {
            if (ends.at(end) >= 0) {
                close(ends.at(end));
            }
            ends.at(end) = -1;
        }

        std::string readAll() const
        {
            std::string text;
            std::array<char, 4096> block {};
            for (ssize_t count = 1; count > 0;) {
                count = read(ends[0], block.data(), block.size());
                text.append(block.data(), static_cast<size_t>(std::max<ssize_t>(count, 0)));
            }
            return text;
        }
    };

    std::string numberedLine(size_t number)
    {
        std::string line = std::to_string(number);
        line.resize(lineLength - 1, '.');
        return line + "\n";
    }

} // namespace

TEST_CASE("a reader who does not read holds up neither the writing thread nor the end")
{
    Pipe pipe;
    size_t taken = 0;
    {
        LineWriter writer { { .descriptor = pipe.ends[1], .capacity = capacity, .flushTime = std::chrono::milliseconds { 0 } } };
        while (writer.tryWrite(numberedLine(taken))) {
            ++taken;
        }
    }
    CHECK(taken >= capacity);
}

TEST_CASE("lines that were taken arrive whole and in order, those that waited at the end too")
{
    constexpr size_t lineCount = 12;
    Pipe pipe;
    std::string expected;
    auto received = std::async(std::launch::async, [&pipe] { return pipe.readAll(); });
    {
        LineWriter writer { { .descriptor = pipe.ends[1], .capacity = capacity, .flushTime = std::chrono::hours { 1 } } };
        for (size_t number = 0; number < lineCount; ++number) {
            REQUIRE(writer.tryWrite(numberedLine(number)));
            expected += numberedLine(number);
        }
    }
    pipe.closeEnd(1);
    CHECK(received.get() == expected);
}

TEST_CASE("a reader that has gone ends the writing")
{
    std::signal(SIGPIPE, SIG_IGN); // as the daemon does
    Pipe pipe;
    pipe.closeEnd(0);
    LineWriter writer { { .descriptor = pipe.ends[1], .capacity = capacity, .flushTime = std::chrono::hours { 1 } } };
    writer.tryWrite(numberedLine(0));
}

} // namespace siskinspread
