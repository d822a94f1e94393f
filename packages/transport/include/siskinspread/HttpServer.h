#pragma once

#include "siskinspread/HttpMessage.h"
#include "siskinspread/LastReason.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace siskinspread {

/** Names one request and its response on one HttpServer; never reused during a run. */
using ExchangeId = uint64_t;

struct IncomingRequest {
    ExchangeId exchange { 0 };
    std::string method;
    std::string target; /**< path and query as sent */
    HttpHeaders headers;
    std::string body;
};

/** Sends a whole response. */
struct RespondWhole {
    ExchangeId exchange { 0 };
    int status { 200 };
    HttpHeaders headers;
    std::string body;
};

/** Starts a response whose length is not known; chunks follow. */
struct StartStream {
    ExchangeId exchange { 0 };
    int status { 200 };
    HttpHeaders headers;
};

struct SendChunk {
    ExchangeId exchange { 0 };
    std::string data;
};

struct EndStream {
    ExchangeId exchange { 0 };
};

using ServerCommand = std::variant<RespondWhole, StartStream, SendChunk, EndStream>;

struct HttpServerOptions {
    std::string address { "127.0.0.1" };
    uint16_t port { 0 }; /**< 0 takes a free port. */
    size_t maxBodyBytes { 1U << 20 }; /**< Beyond it the request is refused while its body arrives. */
    size_t maxHeaderValueBytes { 8192 };
    size_t maxHeaderCount { 64 };
    std::chrono::milliseconds readTimeout { 60000 }; /**< Longest time for a request to arrive; idle time included. */
    std::chrono::milliseconds writeTimeout { 30000 }; /**< Longest time for one write to be taken by the caller. */
    size_t maxUnwrittenBytes { 4U << 20 }; /**< Per exchange; a caller that reads more slowly is disconnected. */
    size_t commandCapacity { 16384 };
};

/** Why the server itself refuses bytes that never became a request. */
enum class ServerRefusal : uint8_t {
    Malformed, /**< Not HTTP, or its head is larger than the limits. */
    BodyTooLarge,
    SenderTooSlow, /**< The request did not arrive within the read timeout. */
};

struct HttpServerHandlers {
    std::function<void(IncomingRequest&&)> onRequest; /**< On the server's thread; must not block. */
    std::function<void(ExchangeId)> onClosed; /**< The connection of an unfinished exchange has closed. */
    /**
     * On the server's thread: makes the response that is sent, as far as the connection takes it, before it is closed.
     * Empty: closes without a response.
     */
    std::function<RespondWhole(ServerRefusal)> refusal {};
};

/**
 * HTTP/1.1 server with one thread of its own. Responses are commands through a bounded ring.
 *
 * Thread safety: start and stop are called by the owner's thread; tryCommand by one thread at a time, which may be
 * another one; the handlers run on the server's thread.
 */
class HttpServer {
public:
    HttpServer(HttpServerOptions, HttpServerHandlers);
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;
    ~HttpServer();

    /**
     * Binds and begins to serve. Precondition: not started before.
     * @return the bound port, or nothing with InvalidSettings when the address cannot be bound.
     */
    std::optional<uint16_t> start(LastReason&);

    /** Closes all connections and joins the thread. Idempotent. Not while another thread is in tryCommand. */
    void stop();

    /** @return false when the command ring is full; `command` is then unchanged. Unknown exchanges are ignored. */
    bool tryCommand(ServerCommand& command);

    /** Answers at once, past the ring. Precondition: called inside a handler, on the server's thread. */
    void respondFromHandler(RespondWhole&& response);

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace siskinspread
