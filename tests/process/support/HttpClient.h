#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace siskinspread::testing {

struct HttpRequest {
    std::string method { "GET" };
    std::string url; /**< For example "http://127.0.0.1:8080/path". */
    std::vector<std::string> headers {}; /**< Each as "Name: value". */
    std::string body {};
    std::chrono::milliseconds timeout { std::chrono::seconds(30) };
};

struct HttpResponse {
    int status { 0 }; /**< 0 when no head of an answer arrived. */
    std::map<std::string, std::string> headers; /**< Names in lower case. */
    std::string body;
    bool isComplete { false }; /**< Whether the whole answer arrived. */
    std::string error; /**< libcurl's word when it did not. */

    /** @return the header's value, or an empty string. `lowerCaseName` must be in lower case. */
    std::string header(const std::string& lowerCaseName) const;
};

/** One event of a stream of server-sent events. */
struct ServerSentEvent {
    std::string id;
    std::string name;
    std::string data;
};

struct EventStream {
    HttpResponse response; /**< The body holds all that arrived. */
    std::vector<ServerSentEvent> events;
};

/**
 * Called with each event and the number of events so far, from 1, while the stream goes on.
 * @return false to close the connection.
 */
using EventCallback = std::function<bool(const ServerSentEvent& event, size_t count)>;

/** Makes one call on a new connection and waits for the answer. Thread safety: reentrant. */
HttpResponse httpCall(const HttpRequest& request);

/** Makes one call on a new connection and collects its events; `onEvent` may be empty. Thread safety: reentrant. */
EventStream httpStream(const HttpRequest& request, const EventCallback& onEvent = {});

/** @return the text of the tokens in the chunks of a chat completion. Throws when a chunk is not JSON. */
std::string streamedText(const std::vector<ServerSentEvent>& events);

} // namespace siskinspread::testing
