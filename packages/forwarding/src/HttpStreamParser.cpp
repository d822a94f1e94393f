#include "siskinspread/HttpStreamParser.h"

#include <http_parser.h>

#include <algorithm>
#include <cctype>

namespace siskinspread {

namespace {

    // Names and values are counted by maxHeadBytes; the marks between them at most double a head of one-letter headers.
    constexpr size_t framingFactor = 2;
    // RFC 9110, section 15. The library takes any three digits.
    constexpr unsigned firstStatus = 100;
    constexpr unsigned lastStatus = 599;

    /** The library takes names with spaces, which the next reader may take for another header (RFC 9112, section 5.1). */
    bool isHeaderName(std::string_view name)
    {
        constexpr std::string_view others = "!#$%&'*+-.^_`|~";
        return !name.empty() && std::all_of(name.begin(), name.end(), [&](unsigned char letter) { return std::isalnum(letter) != 0 || others.find(static_cast<char>(letter)) != std::string_view::npos; });
    }

    bool isHeaderValue(std::string_view value)
    {
        return value.find_first_of(std::string_view { "\0\r\n", 3 }) == std::string_view::npos;
    }

    /** The library looks for the end of the line only. */
    bool isReasonPhrase(std::string_view phrase)
    {
        return std::none_of(phrase.begin(), phrase.end(), [](unsigned char letter) { return letter == 0x7f || (letter < ' ' && letter != '\t'); });
    }

} // namespace

struct HttpStreamParser::State {
    http_parser parser {};
    http_parser_settings callbacks {};
    size_t maxHeadBytes { 0 };
    size_t headBytes { 0 };
    size_t framingBytes { 0 }; /**< Read since the last byte of a body, or since the head or the message began. */
    bool progressed { false }; /**< A head or part of a body was delivered by the bytes that are being parsed. */
    ParserHandlers handlers;
    std::string target;
    std::string phrase;
    HttpHeaders headers;
    bool readingValue { false };
    bool inside { false };
    bool complete { false };
    bool headDone { false };
    bool headTooLarge { false };

    void clear();
    int append(std::string& part, const char* bytes, size_t length);
    int onHeaderName(const char* bytes, size_t length);
    int onHeaderValue(const char* bytes, size_t length);
    int onHead();
    BodyFraming framing() const;
    void deliverRequestHead();
    bool deliverAnswerHead();
    void setCallbacks();
};

void HttpStreamParser::State::clear()
{
    target.clear();
    phrase.clear();
    headers.clear();
    readingValue = false;
    inside = false;
    complete = false;
    headDone = false;
    headBytes = 0;
    framingBytes = 0;
}

int HttpStreamParser::State::append(std::string& part, const char* bytes, size_t length)
{
    headBytes += length;
    if (headBytes > maxHeadBytes) {
        headTooLarge = true;
        return 1;
    }
    part.append(bytes, length);
    return 0;
}

int HttpStreamParser::State::onHeaderName(const char* bytes, size_t length)
{
    if (headDone) {
        return 0; // a trailer: nothing that is passed on depends on it
    }
    if (headers.empty() || readingValue) {
        headers.emplace_back();
        readingValue = false;
    }
    return append(headers.back().name, bytes, length);
}

int HttpStreamParser::State::onHeaderValue(const char* bytes, size_t length)
{
    if (headDone) {
        return 0;
    }
    readingValue = true;
    return append(headers.back().value, bytes, length);
}

BodyFraming HttpStreamParser::State::framing() const
{
    if ((parser.flags & F_CHUNKED) != 0) {
        return BodyFraming::Chunked;
    }
    if (parser.content_length != UINT64_MAX) {
        return BodyFraming::Length;
    }
    return parser.type == HTTP_RESPONSE ? BodyFraming::UntilClose : BodyFraming::None;
}

void HttpStreamParser::State::deliverRequestHead()
{
    handlers.onRequestHead(RequestHead { .method = http_method_str(static_cast<http_method>(parser.method)),
        .target = std::move(target),
        .headers = std::move(headers),
        .framing = framing(),
        .length = framing() == BodyFraming::Length ? parser.content_length : 0,
        .keepAlive = http_should_keep_alive(&parser) != 0,
        .readsChunks = parser.http_major > 1 || parser.http_minor > 0 });
}

bool HttpStreamParser::State::deliverAnswerHead()
{
    const int status = static_cast<int>(parser.status_code);
    const bool bodyless = status == 204 || status == 304;
    AnswerHead head { .status = status, .phrase = std::move(phrase), .headers = std::move(headers), .framing = bodyless ? BodyFraming::None : framing() };
    head.length = head.framing == BodyFraming::Length ? parser.content_length : 0;
    head.keepAlive = http_should_keep_alive(&parser) != 0;
    return handlers.onAnswerHead(std::move(head)) && !bodyless;
}

int HttpStreamParser::State::onHead()
{
    headDone = true;
    progressed = true;
    if (!std::all_of(headers.begin(), headers.end(), [](const HttpHeader& header) { return isHeaderName(header.name) && isHeaderValue(header.value); })) {
        return -1;
    }
    if (parser.type == HTTP_REQUEST) {
        // A tunnel or another protocol cannot be forwarded.
        if (parser.method == HTTP_CONNECT || (parser.upgrade != 0 && parser.method != HTTP_GET)) {
            return -1;
        }
        deliverRequestHead();
        return parser.upgrade != 0 ? -1 : 0;
    }
    if (parser.status_code < firstStatus || parser.status_code > lastStatus || !isReasonPhrase(phrase)) {
        return -1;
    }
    return deliverAnswerHead() ? 0 : 1;
}

void HttpStreamParser::State::setCallbacks()
{
    http_parser_settings_init(&callbacks);
    callbacks.on_message_begin = [](http_parser* source) {
        auto& state = *static_cast<State*>(source->data);
        state.clear();
        state.inside = true;
        return 0;
    };
    callbacks.on_url = [](http_parser* source, const char* bytes, size_t length) {
        auto& state = *static_cast<State*>(source->data);
        return state.append(state.target, bytes, length);
    };
    callbacks.on_status = [](http_parser* source, const char* bytes, size_t length) {
        auto& state = *static_cast<State*>(source->data);
        return state.append(state.phrase, bytes, length);
    };
    callbacks.on_header_field = [](http_parser* source, const char* bytes, size_t length) { return static_cast<State*>(source->data)->onHeaderName(bytes, length); };
    callbacks.on_header_value = [](http_parser* source, const char* bytes, size_t length) { return static_cast<State*>(source->data)->onHeaderValue(bytes, length); };
    callbacks.on_headers_complete = [](http_parser* source) { return static_cast<State*>(source->data)->onHead(); };
    callbacks.on_body = [](http_parser* source, const char* bytes, size_t length) {
        auto& state = *static_cast<State*>(source->data);
        state.progressed = true;
        state.handlers.onBody(std::string_view { bytes, length });
        return 0;
    };
    callbacks.on_message_complete = [](http_parser* source) {
        auto& state = *static_cast<State*>(source->data);
        state.complete = true;
        state.inside = false;
        // Stops the parser behind the message: what follows is looked at only once the next one is expected.
        http_parser_pause(source, 1);
        return 0;
    };
}

HttpStreamParser::HttpStreamParser(Kind kind, size_t maxHeadBytes, ParserHandlers handlers)
    : m_state(std::make_unique<State>())
{
    m_state->maxHeadBytes = maxHeadBytes;
    m_state->handlers = std::move(handlers);
    http_parser_init(&m_state->parser, kind == Kind::Requests ? HTTP_REQUEST : HTTP_RESPONSE);
    m_state->parser.data = m_state.get();
    m_state->setCallbacks();
}

HttpStreamParser::~HttpStreamParser() = default;

ParseProgress HttpStreamParser::feed(std::string_view bytes)
{
    auto& state = *m_state;
    ParseProgress progress;
    state.progressed = false;
    progress.consumed = http_parser_execute(&state.parser, &state.callbacks, bytes.data(), bytes.size());
    const auto error = HTTP_PARSER_ERRNO(&state.parser);
    progress.messageComplete = state.complete;
    progress.headTooLarge = state.headTooLarge || error == HPE_HEADER_OVERFLOW;
    progress.failed = error != HPE_OK && error != HPE_PAUSED;
    if (error == HPE_PAUSED) {
        http_parser_pause(&state.parser, 0);
    }
    state.framingBytes = state.progressed ? 0 : state.framingBytes + progress.consumed;
    if (state.framingBytes > state.maxHeadBytes * framingFactor) {
        progress.failed = true;
        progress.headTooLarge = progress.headTooLarge || !state.headDone;
    }
    return progress;
}

bool HttpStreamParser::finish()
{
    auto& state = *m_state;
    if (!state.inside || !state.headDone) {
        return false;
    }
    http_parser_execute(&state.parser, &state.callbacks, nullptr, 0);
    return state.complete;
}

bool HttpStreamParser::insideMessage() const
{
    return m_state->inside;
}

void HttpStreamParser::resetForNextMessage()
{
    m_state->clear();
}

} // namespace siskinspread
