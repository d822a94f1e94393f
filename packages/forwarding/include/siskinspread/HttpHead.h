#pragma once

#include "siskinspread/HttpMessage.h"

#include <cstdint>
#include <optional>
#include <string>

namespace siskinspread {

/** How the end of a message body is marked. */
enum class BodyFraming : uint8_t {
    None,
    Length,
    Chunked,
    UntilClose,
};

/** First line and headers of a request. */
struct RequestHead {
    std::string method;
    std::string target; /**< Path and query as sent. */
    HttpHeaders headers;
    BodyFraming framing { BodyFraming::None };
    uint64_t length { 0 }; /**< Where `framing` is Length. */
    bool keepAlive { true };
    bool readsChunks { true }; /**< Its sender speaks HTTP/1.1 or later. */
};

/** Status line and headers of an answer. */
struct AnswerHead {
    int status { 0 };
    std::string phrase;
    HttpHeaders headers;
    BodyFraming framing { BodyFraming::None };
    uint64_t length { 0 }; /**< Where `framing` is Length. */
    bool keepAlive { true };
};

} // namespace siskinspread
