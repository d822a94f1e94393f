#pragma once

#include "siskinspread/HttpHead.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace siskinspread {

/** What feeding bytes to a parser came to. */
struct ParseProgress {
    size_t consumed { 0 };
    bool messageComplete { false }; /**< Bytes behind `consumed` belong to the next message. */
    bool failed { false };
    bool headTooLarge { false };
};

/** Called while bytes are parsed; each may be empty. */
struct ParserHandlers {
    std::function<void(RequestHead&&)> onRequestHead {};
    /** @return whether a body may follow; false for answers to HEAD. */
    std::function<bool(AnswerHead&&)> onAnswerHead {};
    std::function<void(std::string_view)> onBody {};
};

/**
 * Incremental parser of HTTP/1.1 messages over http_parser, the library that RESTinio parses with. Unlike RESTinio it hands
 * on a body as it arrives and reads on while a request is in progress, so that a caller's close is seen.
 * Messages whose framing can be read in two ways are refused (RFC 9112, section 6.3).
 *
 * Thread safety: one thread at a time.
 */
class HttpStreamParser {
public:
    enum class Kind : uint8_t {
        Requests,
        Answers,
    };

    /**
     * @param maxHeadBytes a larger head fails, and so does a message of which twice as many bytes in a row are neither head nor body:
     *     blank lines, sizes and extensions of chunks, trailers.
     * @param handlers may not call the parser.
     */
    HttpStreamParser(Kind, size_t maxHeadBytes, ParserHandlers handlers);
    ~HttpStreamParser();
    HttpStreamParser(const HttpStreamParser&) = delete;
    HttpStreamParser& operator=(const HttpStreamParser&) = delete;

    /** Parses up to the end of one message. Precondition: no failure before. */
    ParseProgress feed(std::string_view bytes);

    /** Tells that the connection has closed. @return whether that completes an answer without a length. */
    bool finish();

    /** @return whether bytes of a message have arrived and its end has not. */
    bool insideMessage() const;

    void resetForNextMessage();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace siskinspread
