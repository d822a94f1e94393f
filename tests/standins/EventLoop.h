#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace siskinspread::standin {

/** Header fields of a response. */
using Headers = std::multimap<std::string, std::string>;

/** One HTTP request as a stand-in sees it. */
struct Call {
    std::string method;
    std::string path; /**< Percent-decoded, without the query. */
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; /**< Names in lower case. */
    std::string body;

    /** @return the header's value, or an empty string. `lowerCaseName` must be in lower case. */
    std::string header(const std::string& lowerCaseName) const;

    /** @return the query parameter's value, or `fallback` when it is absent. Throws std::invalid_argument when not a number. */
    uint64_t queryNumber(const std::string& name, uint64_t fallback) const;
};

/**
 * Answers one call, at once or later. Copies refer to the same call; an answer after the caller has gone is ignored.
 * Thread safety: the event loop's thread only.
 */
class Responder {
public:
    struct Impl;

    explicit Responder(std::shared_ptr<Impl> impl);

    /** Sends a whole answer. */
    void send(int status, std::string body = {}, const Headers& headers = {}) const;

    /** Starts a chunked answer; write and finish follow. */
    void startStream(int status, const Headers& headers) const;

    /** Sends one chunk. Precondition: startStream was called. */
    void write(std::string chunk) const;

    /** Ends a chunked answer as complete. Precondition: startStream was called. */
    void finish() const;

    /** Closes the connection without any further byte, also in the middle of an answer. */
    void closeConnection() const;

    /** Registers what to do when the caller goes away before the answer is complete. */
    void onCallerGone(std::function<void()> callback) const;

private:
    std::shared_ptr<Impl> m_impl;
};

using Handler = std::function<void(const Call&, const Responder&)>;

/**
 * The one thread of a stand-in: timers and an HTTP server on 127.0.0.1. An exception from the handler is answered with
 * status 400 and its text, so a test that misspells a fault fails.
 */
class EventLoop {
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    /** Runs `callback` on the loop's thread after `delay`. */
    void after(std::chrono::microseconds delay, std::function<void()> callback);

    /**
     * Makes every connection that is open now silent for good: nothing more is answered on it, except calls under
     * /control. Connections opened later work.
     */
    void silenceOpenConnections();

    /**
     * Listens, prints "listening 127.0.0.1:PORT" and serves until SIGTERM or SIGINT.
     * @param port the port, or 0 for any free one.
     * @return the exit code of the program.
     */
    int serve(uint16_t port, Handler handler);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace siskinspread::standin
