#include "siskinspread/EventStream.h"

#include <doctest/doctest.h>

namespace siskinspread {

TEST_CASE("events come out whole wherever the bytes were cut")
{
    const std::string text = ": comment\n\nid: 1\ndata: one\n\ndata: two\r\ndata: three\r\n\r\ndata: cut";
    for (size_t cut = 0; cut <= text.size(); ++cut) {
        EventStreamParser parser;
        parser.append(std::string_view { text }.substr(0, cut));
        parser.append(std::string_view { text }.substr(cut));
        CHECK(parser.next() == "one");
        CHECK(parser.next() == "two\nthree");
        CHECK_FALSE(parser.next());
    }
}

TEST_CASE("an event without end is bounded")
{
    EventStreamParser parser;
    parser.append(std::string(EventStreamParser::maxEventBytes + 1, 'x'));
    CHECK(parser.isMalformed());
}

} // namespace siskinspread
