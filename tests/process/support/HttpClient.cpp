#include "HttpClient.h"

#include <algorithm>
#include <cctype>
#include <curl/curl.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string_view>

namespace siskinspread::testing {
namespace {

    constexpr std::string_view endMark = "[DONE]";

    /** Initialises libcurl before the first call and releases it at the end of the program. */
    struct CurlLibrary {
        CurlLibrary() { curl_global_init(CURL_GLOBAL_DEFAULT); }
        ~CurlLibrary() { curl_global_cleanup(); }
        CurlLibrary(const CurlLibrary&) = delete;
        CurlLibrary& operator=(const CurlLibrary&) = delete;
    };

    /** What arrives while libcurl works on one call. */
    struct Transfer {
        HttpResponse response;
        std::function<bool()> onBody; /**< Called after each piece of the body; false ends the call. */
    };

    size_t receiveHeader(char* data, size_t size, size_t count, void* user)
    {
        const std::string line(data, size * count);
        const size_t colon = line.find(':');
        if (colon != std::string::npos) {
            std::string name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
            const size_t start = std::min(line.find_first_not_of(' ', colon + 1), line.size());
            const size_t end = line.find_last_not_of("\r\n") + 1;
            static_cast<Transfer*>(user)->response.headers[name] = start < end ? line.substr(start, end - start) : std::string();
        }
        return size * count;
    }

    size_t receiveBody(char* data, size_t size, size_t count, void* user)
    {
        auto* transfer = static_cast<Transfer*>(user);
        transfer->response.body.append(data, size * count);
        const bool goOn = !transfer->onBody || transfer->onBody();
        return goOn ? size * count : 0;
    }

    void perform(const HttpRequest& request, Transfer& transfer)
    {
        static const CurlLibrary library;
        const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> handle(curl_easy_init(), &curl_easy_cleanup);
        curl_slist* list = curl_slist_append(nullptr, "Expect:");
        for (const std::string& header : request.headers) {
            list = curl_slist_append(list, header.c_str());
        }
        const std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> headers(list, &curl_slist_free_all);
        curl_easy_setopt(handle.get(), CURLOPT_URL, request.url.c_str());
        curl_easy_setopt(handle.get(), CURLOPT_PATH_AS_IS, 1L); // a test may want to send a path with dot segments
        curl_easy_setopt(handle.get(), CURLOPT_NOPROXY, "*");
        curl_easy_setopt(handle.get(), CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT_MS, static_cast<long>(request.timeout.count()));
        curl_easy_setopt(handle.get(), CURLOPT_HTTPHEADER, headers.get());
        if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
            curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body.size()));
            curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDS, request.body.c_str());
        }
        curl_easy_setopt(handle.get(), CURLOPT_CUSTOMREQUEST, request.method.c_str());
        curl_easy_setopt(handle.get(), CURLOPT_HEADERFUNCTION, receiveHeader);
        curl_easy_setopt(handle.get(), CURLOPT_HEADERDATA, &transfer);
        curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, receiveBody);
        curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &transfer);
        const CURLcode result = curl_easy_perform(handle.get());
        long status = 0;
        curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &status);
        transfer.response.status = static_cast<int>(status);
        transfer.response.isComplete = result == CURLE_OK;
        transfer.response.error = result == CURLE_OK ? "" : curl_easy_strerror(result);
    }

    /** Appends the value of a field to what earlier lines of the event gave. */
    void addField(ServerSentEvent& event, std::string_view line)
    {
        const size_t colon = line.find(':');
        if (colon == std::string_view::npos || colon == 0) {
            return;
        }
        const std::string_view field = line.substr(0, colon);
        std::string_view value = line.substr(colon + 1);
        if (value.starts_with(' ')) {
            value.remove_prefix(1);
        }
        if (field == "data") {
            event.data += (event.data.empty() ? "" : "\n") + std::string(value);
        } else if (field == "id") {
            event.id = value;
        } else if (field == "event") {
            event.name = value;
        }
    }

    ServerSentEvent parseEvent(std::string_view text)
    {
        ServerSentEvent event;
        while (!text.empty()) {
            const size_t end = std::min(text.find('\n'), text.size());
            addField(event, text.substr(0, end));
            text.remove_prefix(std::min(end + 1, text.size()));
        }
        return event;
    }

} // namespace

std::string HttpResponse::header(const std::string& lowerCaseName) const
{
    auto found = headers.find(lowerCaseName);
    return found == headers.end() ? std::string() : found->second;
}

HttpResponse httpCall(const HttpRequest& request)
{
    Transfer transfer;
    perform(request, transfer);
    return transfer.response;
}

EventStream httpStream(const HttpRequest& request, const EventCallback& onEvent)
{
    EventStream stream;
    Transfer transfer;
    size_t parsed = 0;
    transfer.onBody = [&] {
        const std::string& body = transfer.response.body;
        for (size_t end = body.find("\n\n", parsed); end != std::string::npos; end = body.find("\n\n", parsed)) {
            stream.events.push_back(parseEvent(std::string_view(body).substr(parsed, end - parsed)));
            parsed = end + 2;
            if (onEvent && !onEvent(stream.events.back(), stream.events.size())) {
                return false;
            }
        }
        return true;
    };
    perform(request, transfer);
    stream.response = std::move(transfer.response);
    return stream;
}

std::string streamedText(const std::vector<ServerSentEvent>& events)
{
    std::string text;
    for (const ServerSentEvent& event : events) {
        if (event.data.empty() || event.data == endMark) {
            continue;
        }
        const auto chunk = nlohmann::json::parse(event.data);
        for (const auto& choice : chunk.value("choices", nlohmann::json::array())) {
            text += choice.value("delta", nlohmann::json::object()).value("content", std::string());
        }
    }
    return text;
}

} // namespace siskinspread::testing
