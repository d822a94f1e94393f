#include "CurlTransfer.h"

#include <sys/socket.h>

#include <string_view>

namespace siskinspread {

namespace {

    // The library bounds a line, not their number. Servers commonly send a few KB.
    constexpr size_t maxHeaderBytes = 64U << 10U;

    std::string_view trim(std::string_view text)
    {
        constexpr std::string_view blanks = " \t\r\n";
        const size_t begin = text.find_first_not_of(blanks);
        if (begin == std::string_view::npos) {
            return {};
        }
        return text.substr(begin, text.find_last_not_of(blanks) - begin + 1);
    }

    /** Closing the connection drops what the peer has not received: on a path that is silent it would arrive later, when the call has been given up. */
    int dropUnsentOnClose(void* /*unused*/, curl_socket_t socket, curlsocktype /*unused*/)
    {
        const linger atOnce { .l_onoff = 1, .l_linger = 0 };
        return setsockopt(socket, SOL_SOCKET, SO_LINGER, &atOnce, sizeof atOnce) == 0 ? CURL_SOCKOPT_OK : CURL_SOCKOPT_ERROR;
    }

    long curlMilliseconds(std::chrono::milliseconds time)
    {
        return static_cast<long>(time.count());
    }

} // namespace

CurlTransfer::CurlTransfer(const StartTransfer& request, Emit emit)
    : m_request(request)
    , m_emit(std::move(emit))
    , m_handle(curl_easy_init())
{
    configure();
}

void CurlTransfer::configure()
{
    CURL* curl = handle();
    curl_easy_setopt(curl, CURLOPT_PRIVATE, this);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    curl_easy_setopt(curl, CURLOPT_URL, m_request.url.c_str());
    curl_easy_setopt(curl, CURLOPT_PATH_AS_IS, 1L); // the path that was checked is the path that is sent
    curl_easy_setopt(curl, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, curlMilliseconds(m_request.connectTimeout));
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, curlMilliseconds(m_request.totalTimeout));
    curl_easy_setopt(curl, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(curl, CURLOPT_SOCKOPTFUNCTION, &dropUnsentOnClose);
    curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, &CurlTransfer::onHeader);
    curl_easy_setopt(curl, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &CurlTransfer::onBody);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, this);
    if (m_request.freshConnection) {
        curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(curl, CURLOPT_FORBID_REUSE, 1L);
    }
    if (m_request.method != "GET") {
        curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, m_request.method.c_str());
        curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(m_request.body.size()));
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, m_request.body.c_str());
    }
    // Without this line libcurl waits up to a second for "100 Continue" before it sends a larger body.
    curl_slist* list = curl_slist_append(nullptr, "Expect:");
    for (const HttpHeader& header : m_request.headers) {
        list = curl_slist_append(list, (header.name + ": " + header.value).c_str());
    }
    m_headerList.reset(list);
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, list);
}

size_t CurlTransfer::onHeader(char* data, size_t size, size_t count, void* self)
{
    auto& transfer = *static_cast<CurlTransfer*>(self);
    transfer.m_headerBytes += size * count;
    if (transfer.m_headerBytes > maxHeaderBytes) {
        transfer.m_headersTooLarge = true;
        return 0;
    }
    const std::string_view line = trim({ data, size * count });
    if (line.starts_with("HTTP/")) {
        transfer.m_headers.clear(); // an interim response came before
        transfer.m_headComplete = false;
        return size * count;
    }
    transfer.m_headComplete = transfer.m_headComplete || line.empty();
    const size_t colon = line.find(':');
    if (colon != std::string_view::npos) {
        transfer.m_headers.push_back({ .name = std::string { line.substr(0, colon) }, .value = std::string { trim(line.substr(colon + 1)) } });
    }
    return size * count;
}

void CurlTransfer::emitHeadersOnce()
{
    if (m_headersEmitted || !m_request.streaming) {
        return;
    }
    m_headersEmitted = true;
    long status = 0;
    curl_easy_getinfo(handle(), CURLINFO_RESPONSE_CODE, &status);
    m_emit(TransferHeaders { .transfer = id(), .status = static_cast<int>(status), .headers = m_headers });
}

size_t CurlTransfer::onBody(char* data, size_t size, size_t count, void* self)
{
    auto& transfer = *static_cast<CurlTransfer*>(self);
    const size_t bytes = size * count;
    transfer.emitHeadersOnce();
    if (transfer.m_request.streaming) {
        if (!transfer.m_emit(TransferData { .transfer = transfer.id(), .data = { data, bytes } })) {
            transfer.m_paused = true;
            return CURL_WRITEFUNC_PAUSE;
        }
        return bytes;
    }
    if (transfer.m_body.size() + bytes > transfer.m_request.maxBodyBytes) {
        transfer.m_bodyTooLarge = true;
        return 0;
    }
    transfer.m_body.append(data, bytes);
    return bytes;
}

void CurlTransfer::resume()
{
    m_paused = false;
    curl_easy_pause(handle(), CURLPAUSE_CONT);
}

TransferEnded CurlTransfer::finish(CURLcode result)
{
    TransferEnded ended { .transfer = id(), .end = TransferEnd::Complete, .status = 0, .headers = {}, .body = {}, .detail = {} };
    long status = 0;
    curl_easy_getinfo(handle(), CURLINFO_RESPONSE_CODE, &status);
    ended.status = static_cast<int>(status);
    if (result != CURLE_OK) {
        long requestBytes = 0;
        curl_easy_getinfo(handle(), CURLINFO_REQUEST_SIZE, &requestBytes);
        ended.end = requestBytes ? TransferEnd::Broken : TransferEnd::NothingSent;
        ended.detail = m_bodyTooLarge || m_headersTooLarge ? "the answer exceeds the limit" : curl_easy_strerror(result);
        return ended;
    }
    // To libcurl the end of the connection is also the end of a head.
    if (!m_headComplete) {
        ended.end = TransferEnd::Broken;
        ended.detail = "the answer ended inside its head";
        return ended;
    }
    emitHeadersOnce();
    ended.headers = std::move(m_headers);
    ended.body = std::move(m_body);
    return ended;
}

TransferEnded performTransfer(const StartTransfer& request)
{
    CurlTransfer transfer { request, [](ClientEvent&&) { return true; } };
    return transfer.finish(curl_easy_perform(transfer.handle()));
}

} // namespace siskinspread
