#pragma once

#include "siskinspread/HttpClient.h"

#include <curl/curl.h>

#include <functional>
#include <memory>

namespace siskinspread {

struct CurlEasyDelete {
    void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
};

struct CurlSlistDelete {
    void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

/** One transfer: the easy handle, what it sends and what has arrived. */
class CurlTransfer {
public:
    /** Takes an event; false means "pause until resumed" and may be answered to TransferData only. */
    using Emit = std::function<bool(ClientEvent&&)>;

    CurlTransfer(const StartTransfer&, Emit);
    CurlTransfer(const CurlTransfer&) = delete;
    CurlTransfer& operator=(const CurlTransfer&) = delete;

    CURL* handle() const { return m_handle.get(); }
    TransferId id() const { return m_request.transfer; }
    bool isPaused() const { return m_paused; }

    /** Lets a paused transfer deliver again. */
    void resume();

    /** @return the final event for libcurl's result. Call once. */
    TransferEnded finish(CURLcode);

private:
    static size_t onHeader(char* data, size_t size, size_t count, void* self);
    static size_t onBody(char* data, size_t size, size_t count, void* self);

    void configure();
    void emitHeadersOnce();

    const StartTransfer m_request;
    Emit m_emit;
    std::unique_ptr<CURL, CurlEasyDelete> m_handle;
    std::unique_ptr<curl_slist, CurlSlistDelete> m_headerList;
    HttpHeaders m_headers;
    std::string m_body;
    bool m_headersEmitted { false };
    bool m_headComplete { false }; /**< The empty line behind the newest head has come. */
    bool m_paused { false };
    size_t m_headerBytes { 0 }; /**< Of all heads, interim ones included, and of trailers. */
    bool m_headersTooLarge { false };
    bool m_bodyTooLarge { false };
};

} // namespace siskinspread
