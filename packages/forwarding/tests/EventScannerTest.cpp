#include "siskinspread/EventScanner.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace siskinspread;

TEST_CASE("only whole events are released, and the last id is theirs")
{
    EventScanner scanner;
    CHECK(scanner.feed("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    CHECK(scanner.lastId() == 1U);
    CHECK(scanner.hasPart());
    CHECK(scanner.feed("ta: b\n\n") == "id: 2\ndata: b\n\n");
    CHECK(scanner.lastId() == 2U);
    CHECK_FALSE(scanner.hasPart());
}

TEST_CASE("lines may end in a carriage return as well")
{
    EventScanner scanner;
    CHECK(scanner.feed("id:7\r\ndata: x\r\n\r\nid: 8\r\n") == "id:7\r\ndata: x\r\n\r\n");
    CHECK(scanner.lastId() == 7U);
    scanner.dropPart();
    CHECK_FALSE(scanner.hasPart());
}

TEST_CASE("a stream is the same however it is cut into pieces")
{
    std::string stream;
    for (int id = 1; id <= 20; ++id) {
        stream += "id: " + std::to_string(id) + "\ndata: " + std::string(static_cast<size_t>(id % 7), 'x') + "\n\n";
    }
    CHECK(rc::check("pieces", [&] {
        EventScanner scanner;
        std::string released;
        std::string_view rest { stream };
        while (!rest.empty()) {
            const auto size = std::min(rest.size(), *rc::gen::inRange<size_t>(1, 40));
            released += scanner.feed(rest.substr(0, size));
            rest.remove_prefix(size);
        }
        RC_ASSERT(released == stream);
        RC_ASSERT(scanner.lastId() == std::optional<uint64_t> { 20U });
    }));
}

// Guards against whole streams that look broken off for what follows their last event.
TEST_CASE("comments and empty lines between events are part of none")
{
    for (const std::string between : { "\n", "\n\n", ": comment\n", "\r\n", ":\r", ": one\n\n: two\n" }) {
        CAPTURE(between);
        auto stream = between;
        stream.append("id: 1\n\n").append(between);
        EventScanner scanner;
        CHECK(scanner.feed(stream) == stream);
        CHECK_FALSE(scanner.hasPart());
        CHECK(scanner.lastId() == 1U);
    }
}

TEST_CASE("a comment inside an event, or that has not ended, is kept back")
{
    EventScanner scanner;
    CHECK(scanner.feed("id: 1\n: comment\n").empty());
    CHECK(scanner.hasPart());
    CHECK(scanner.feed("\n: comm") == "id: 1\n: comment\n\n");
    CHECK(scanner.hasPart());
}

TEST_CASE("the same events are found whatever ends their lines, however the stream is cut")
{
    for (const std::string end : { "\n", "\r\n", "\r" }) {
        std::string stream;
        for (const char* line : { "id: 1", "data: a", "", "id: 2", "" }) {
            stream.append(line).append(end);
        }
        for (size_t cut = 0; cut <= stream.size(); ++cut) {
            CAPTURE(end);
            CAPTURE(cut);
            EventScanner scanner;
            const auto first = scanner.feed(stream.substr(0, cut));
            CHECK(first + scanner.feed(stream.substr(cut)) == stream);
            CHECK_FALSE(scanner.hasPart());
            CHECK(scanner.lastId() == 2U);
        }
    }
}
