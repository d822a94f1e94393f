#include "siskinspread/HttpStreamParser.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace siskinspread;

namespace {

struct Parsed {
    std::vector<AnswerHead> heads;
    std::vector<std::string> bodies;
    size_t complete { 0 };
    bool failed { false };
};

/** Feeds the text in pieces of these sizes, in turn, and collects what comes out. */
Parsed parseAnswers(std::string_view text, const std::vector<size_t>& pieces)
{
    Parsed parsed;
    HttpStreamParser parser { HttpStreamParser::Kind::Answers, 4096,
        { .onAnswerHead = [&](AnswerHead&& head) {
             parsed.heads.push_back(std::move(head));
             parsed.bodies.emplace_back();
             return true; },
            .onBody = [&](std::string_view bytes) { parsed.bodies.back().append(bytes); } } };
    size_t turn = 0;
    std::string pending;
    while (!text.empty() && !parsed.failed) {
        const auto size = std::min(text.size(), pieces.empty() ? text.size() : std::max<size_t>(1, pieces[turn++ % pieces.size()]));
        pending.append(text.substr(0, size));
        text.remove_prefix(size);
        while (!pending.empty() && !parsed.failed) {
            const auto progress = parser.feed(pending);
            pending.erase(0, progress.consumed);
            parsed.failed = progress.failed;
            if (!progress.messageComplete) {
                break;
            }
            ++parsed.complete;
            parser.resetForNextMessage();
        }
    }
    return parsed;
}

const std::string twoAnswers = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-A: b\r\n\r\nhello"
                               "HTTP/1.1 500 Oh No\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";

} // namespace

TEST_CASE("answers are read alike however their bytes are cut into pieces")
{
    const auto whole = parseAnswers(twoAnswers, {});
    CHECK(whole.complete == 2);
    CHECK(whole.bodies == std::vector<std::string> { "hello", "abc" });
    CHECK(whole.heads[1].phrase == "Oh No");
    CHECK(whole.heads[0].framing == BodyFraming::Length);
    CHECK(whole.heads[1].framing == BodyFraming::Chunked);
    CHECK(rc::check("pieces", [&] {
        const auto pieces = *rc::gen::container<std::vector<size_t>>(rc::gen::inRange<size_t>(1, 30));
        const auto parsed = parseAnswers(twoAnswers, pieces);
        RC_ASSERT(parsed.bodies == whole.bodies);
        RC_ASSERT(parsed.complete == size_t { 2 });
        RC_ASSERT_FALSE(parsed.failed);
    }));
}

TEST_CASE("any bytes either fail or are consumed, and never crash the parser")
{
    CHECK(rc::check("random bytes", [] {
        auto text = twoAnswers;
        const auto changes = *rc::gen::container<std::vector<std::pair<size_t, char>>>(rc::gen::pair(rc::gen::inRange<size_t>(0, twoAnswers.size()), rc::gen::arbitrary<char>()));
        for (const auto& [at, byte] : changes) {
            text[at] = byte;
        }
        const auto parsed = parseAnswers(text, { 7 });
        RC_ASSERT(parsed.complete <= size_t { 8 });
    }));
}

TEST_CASE("an answer without a length ends with its connection")
{
    std::string body;
    HttpStreamParser parser { HttpStreamParser::Kind::Answers, 4096, { .onAnswerHead = [](AnswerHead&& head) { return head.framing == BodyFraming::UntilClose; }, .onBody = [&](std::string_view bytes) { body.append(bytes); } } };
    CHECK_FALSE(parser.feed("HTTP/1.1 200 OK\r\n\r\nabc").messageComplete);
    CHECK(parser.insideMessage());
    CHECK(parser.finish());
    CHECK(body == "abc");
}

TEST_CASE("a connection that closes inside a head or a body with a length completes nothing")
{
    for (const char* text : { "HTTP/1.1 200 OK\r\nContent-Le", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc" }) {
        HttpStreamParser parser { HttpStreamParser::Kind::Answers, 4096, { .onAnswerHead = [](AnswerHead&&) { return true; }, .onBody = [](std::string_view) {} } };
        parser.feed(text);
        CHECK_FALSE(parser.finish());
    }
}
