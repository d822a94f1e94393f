#pragma once

#include "siskinspread/HttpMessage.h"
#include "siskinspread/LastReason.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace siskinspread {

/** Names one transfer of one HttpClient; chosen by its user and never reused during a run. */
using TransferId = uint64_t;

struct StartTransfer {
    TransferId transfer { 0 };
    std::string method { "GET" };
    std::string url;
    HttpHeaders headers;
    std::string body;
    std::chrono::milliseconds connectTimeout { 1000 };
    std::chrono::milliseconds totalTimeout { 0 }; /**< 0: none; streams have progress deadlines instead. */
    /**
     * Takes a connection of its own. Required for a call that may not be repeated: on a pooled connection that closes
     * before the first byte of the answer libcurl sends the request again by itself.
     */
    bool freshConnection { false };
    /** Delivers the body in pieces as it arrives; otherwise whole with TransferEnded. */
    bool streaming { false };
    /** When the client's thread comes to this transfer only now or later, it ends NothingSent. By the monotonic clock. */
    std::optional<std::chrono::steady_clock::time_point> startBefore {};
    size_t maxBodyBytes { 8U << 20 }; /**< Of a body that is delivered whole; beyond it the transfer fails. */
};

struct CancelTransfer {
    TransferId transfer { 0 };
};

using ClientCommand = std::variant<StartTransfer, CancelTransfer>;

struct TransferHeaders {
    TransferId transfer { 0 };
    int status { 0 };
    HttpHeaders headers;
};

struct TransferData {
    TransferId transfer { 0 };
    std::string data;
};

/** How a transfer ended. */
enum class TransferEnd : uint8_t {
    Complete, /**< The whole answer arrived. */
    NothingSent, /**< No byte of the request left this host: the request did not run. */
    Broken, /**< Failed after bytes were sent: the request may have run. */
    Cancelled,
};

struct TransferEnded {
    TransferId transfer { 0 };
    TransferEnd end { TransferEnd::Complete };
    int status { 0 };
    HttpHeaders headers;
    std::string body; /**< Of a transfer that is not streaming. */
    std::string detail; /**< The library's words when the transfer failed. */
};

using ClientEvent = std::variant<TransferHeaders, TransferData, TransferEnded>;

struct HttpClientOptions {
    size_t commandCapacity { 16384 };
    size_t maxConnections { 4096 };
    std::chrono::milliseconds pollInterval { 1000 }; /**< Longest sleep while nothing happens. */
};

/**
 * HTTP client with one thread of its own over libcurl's multi interface.
 *
 * Thread safety: tryCommand is called by one thread at a time. `deliver` runs on the client's thread and must not
 * block; it returns false, leaving the event unchanged, when its ring is full, and is then called again with the same
 * event until it takes it, while the transfers behind it wait.
 */
class HttpClient {
public:
    using Deliver = std::function<bool(std::unique_ptr<ClientEvent>&)>;

    HttpClient(HttpClientOptions, Deliver);
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;
    ~HttpClient();

    /** Begins to work. Precondition: not started before. */
    void start();

    /** Cancels all transfers without events and joins the thread. Idempotent. */
    void stop();

    /** @return false when the command ring is full; `command` is then unchanged. */
    bool tryCommand(ClientCommand& command);

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

/**
 * Performs one transfer on the calling thread, for programs without a loop of their own. Blocks for `totalTimeout`
 * at most. Thread safety: reentrant.
 */
TransferEnded performTransfer(const StartTransfer&);

} // namespace siskinspread
