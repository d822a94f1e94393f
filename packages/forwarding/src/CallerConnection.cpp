#include "siskinspread/CallerConnection.h"

#include <charconv>

namespace siskinspread {

namespace {

    // A caller that sends further requests before it has its answer gets no more than this much looked at.
    constexpr size_t maxPendingBytes = 64U << 10U;
    // Longest silence between two pieces of a body.
    constexpr std::chrono::seconds bodyPause { 10 };
    // Time for a caller to read the last answer before the connection is given up.
    constexpr std::chrono::milliseconds lingerTime { 1000 };
    // The same for a caller that goes on sending what is not wanted.
    constexpr std::chrono::milliseconds longestLinger { 5000 };
    // Within it the bodies that hold the memory end, or are found to be stalled (SheddingOptions).
    constexpr std::chrono::milliseconds memoryPatience { 6000 };
    constexpr const char* memoryRetryAfter = "1"; // seconds
    constexpr size_t headBudget = 512; // bytes that a typical head of an answer takes

    std::string headText(int status, std::string_view phrase, const HttpHeaders& headers)
    {
        std::string text;
        text.reserve(headBudget);
        text.append("HTTP/1.1 ").append(std::to_string(status)).append(" ").append(phrase).append("\r\n");
        for (const auto& header : headers) {
            text.append(header.name).append(": ").append(header.value).append("\r\n");
        }
        return text;
    }

    bool isConnectionHeader(std::string_view name)
    {
        return equalHeaderNames(name, "Connection") || equalHeaderNames(name, "Keep-Alive") || equalHeaderNames(name, "Transfer-Encoding")
            || equalHeaderNames(name, "Content-Length") || equalHeaderNames(name, "Proxy-Connection") || equalHeaderNames(name, "Trailer")
            || equalHeaderNames(name, "Upgrade");
    }

} // namespace

CallerConnection::CallerConnection(asio::ip::tcp::socket socket, std::shared_ptr<const CallerConnectionHooks> hooks)
    : m_socket(std::move(socket))
    , m_hooks(std::move(hooks))
    , m_parser(HttpStreamParser::Kind::Requests, m_hooks->limits().maxHeaderBytes,
          ParserHandlers {
              .onRequestHead = [this](RequestHead&& head) {
                  m_head = std::move(head);
                  m_headSeen = true;
                  m_bodyTooLarge = m_head.length > m_limits.maxBodyBytes; },
              .onBody = [this](std::string_view bytes) {
                  m_bodyTooLarge = m_bodyTooLarge || m_body.size() + bytes.size() > m_limits.maxBodyBytes;
                  if (!m_bodyTooLarge) {
                      m_body.append(bytes);
                  } },
          })
    , m_memory(m_hooks->memory)
    , m_limits(m_hooks->limits())
{
}

void CallerConnection::start(MonotonicTime now)
{
    m_lastActivity = now;
    read();
}

void CallerConnection::read()
{
    if (m_reading || !m_open || m_waitsForMemory) {
        return;
    }
    m_reading = true;
    m_socket.async_read_some(asio::buffer(m_buffer), [self = shared_from_this()](const asio::error_code& error, size_t size) {
        self->m_reading = false;
        if (error) {
            self->close();
            return;
        }
        self->onRead(size);
    });
}

void CallerConnection::onRead(size_t size)
{
    m_lastActivity = std::chrono::steady_clock::now();
    if (m_lingering) {
        read(); // only the end of the connection is waited for
        return;
    }
    if (!m_busy && m_pending.empty() && !m_parser.insideMessage()) {
        m_requestStart = m_lastActivity;
    }
    m_pending.append(m_buffer.data(), size);
    if (!m_busy) {
        parsePending();
    }
    accountForMemory();
    if (m_open && m_pending.size() < maxPendingBytes && admitBody()) {
        read();
    }
}

bool CallerConnection::admitBody()
{
    if (m_busy || m_lingering || !m_hooks->memory || m_memory.hasReservation() || m_body.size() < m_hooks->memory->options().smallBody) {
        return true;
    }
    if (!tryReserve()) {
        m_waitsForMemory = true;
        m_waitsSince = m_lastActivity;
        m_hooks->onMemoryWanted();
    }
    return !m_waitsForMemory;
}

bool CallerConnection::tryReserve()
{
    if (!m_open || m_lingering) {
        m_waitsForMemory = false;
        return true;
    }
    // What a body in chunks comes to is not known before its end.
    const size_t needed = m_head.framing == BodyFraming::Length ? m_head.length : m_limits.maxBodyBytes;
    if (!m_memory.reserve(needed)) {
        return false;
    }
    m_body.reserve(needed); // growing step by step would hold up to three times the body
    if (std::exchange(m_waitsForMemory, false)) {
        m_lastActivity = std::chrono::steady_clock::now();
        accountForMemory();
        read();
    }
    return true;
}

void CallerConnection::accountForMemory()
{
    if (!m_hooks->memory) {
        return;
    }
    m_memory.setUnreserved(m_pending.size() + m_out.size() + (m_memory.hasReservation() ? 0 : m_body.size()));
    if (m_hooks->memory->isExhausted()) {
        m_hooks->onMemoryWanted();
    }
}

SheddingCandidate CallerConnection::sheddingCandidate() const
{
    SheddingCandidate candidate { .heldBytes = m_memory.bytes(), .unreservedBytes = m_memory.unreservedBytes(), .lastProgress = m_lastActivity };
    if (m_busy) {
        candidate.stage = CallerStage::InProgress;
    } else if (m_waitsForMemory) {
        candidate.stage = CallerStage::WaitingForMemory;
    } else if (!m_out.empty()) {
        candidate.stage = CallerStage::WritingAnswer;
    } else if (!m_hadRequest && !m_headSeen) {
        candidate.stage = CallerStage::NoRequestYet;
    } else if (m_parser.insideMessage()) {
        candidate.stage = CallerStage::ReadingRequest;
    }
    return candidate;
}

void CallerConnection::shed()
{
    m_waitsForMemory = false;
    if (!m_out.empty() || m_lingering || !m_parser.insideMessage()) {
        abort();
        return;
    }
    refuseForMemory();
}

/** The request has not run, since it has not come whole or has not been handed on. */
void CallerConnection::refuseForMemory()
{
    m_body = {};
    m_memory.clear();
    m_hooks->onRefusal(503, "no memory or connection is free for the request");
    m_busy = true;
    respond(503, "Service Unavailable", { { "Retry-After", memoryRetryAfter } }, {}, true);
}

std::string CallerConnection::callerAddress() const
{
    asio::error_code error;
    const auto remote = m_socket.remote_endpoint(error);
    return error ? std::string {} : remote.address().to_string() + ":" + std::to_string(remote.port());
}

void CallerConnection::parsePending()
{
    while (!m_pending.empty() && !m_busy && m_open && !m_lingering) {
        const auto progress = m_parser.feed(m_pending);
        m_pending.erase(0, progress.consumed);
        if (progress.failed) {
            if (progress.headTooLarge) {
                refuse(431, "Request Header Fields Too Large", "head larger than the limit");
            } else {
                refuse(400, "Bad Request", "no HTTP request");
            }
            return;
        }
        if (m_bodyTooLarge) {
            refuse(413, "Content Too Large", "body larger than the limit");
            return;
        }
        if (!progress.messageComplete) {
            return;
        }
        onRequestComplete();
    }
}

void CallerConnection::onRequestComplete()
{
    m_busy = true;
    m_headSeen = false;
    m_hadRequest = true;
    m_closeAfter = !m_head.keepAlive;
    m_readsChunks = m_head.readsChunks;
    accountForMemory();
    if (!m_memory.hasReservation() && m_hooks->memory && m_hooks->memory->isExhausted()) {
        refuseForMemory(); // nothing could be closed for it: all that is held belongs to requests in progress
        return;
    }
    auto body = std::make_shared<const std::string>(std::exchange(m_body, {}));
    auto memory = m_memory.takeReservation();
    if (!memory.hasReservation()) {
        memory.setUnreserved(body->size());
    }
    accountForMemory();
    m_hooks->onRequest(ReceivedRequest { .connection = shared_from_this(), .head = std::exchange(m_head, {}), .body = std::move(body), .memory = std::move(memory), .startedAt = m_requestStart });
}

void CallerConnection::refuse(int status, std::string_view phrase, std::string_view why)
{
    m_body = {};
    m_memory.clear();
    m_hooks->onRefusal(status, why);
    m_busy = true;
    respond(status, phrase, {}, {}, true);
}

void CallerConnection::respond(int status, std::string_view phrase, const HttpHeaders& headers, std::string_view body, bool close)
{
    m_closeAfter = m_closeAfter || close || m_hooks->closing();
    auto text = headText(status, phrase, headers);
    text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
    text.append(m_closeAfter ? "Connection: close\r\n\r\n" : "\r\n").append(body);
    write(text);
    finishAnswer();
}

void CallerConnection::beginAnswer(const AnswerHead& head, bool headOnly)
{
    const bool hasLength = headOnly || head.framing == BodyFraming::Length || head.framing == BodyFraming::None;
    m_chunked = !hasLength && m_readsChunks;
    m_closeAfter = m_closeAfter || m_hooks->closing() || (!hasLength && !m_readsChunks);
    HttpHeaders headers;
    headers.reserve(head.headers.size());
    for (const auto& header : head.headers) {
        if (!isConnectionHeader(header.name)) {
            headers.push_back(header);
        }
    }
    auto text = headText(head.status, head.phrase, headers);
    if (m_chunked) {
        text.append("Transfer-Encoding: chunked\r\n");
    } else if (head.framing == BodyFraming::Length) {
        text.append("Content-Length: ").append(std::to_string(head.length)).append("\r\n");
    }
    text.append(m_closeAfter ? "Connection: close\r\n\r\n" : "\r\n");
    write(text);
}

void CallerConnection::sendBody(std::string_view bytes)
{
    if (bytes.empty()) {
        return;
    }
    if (!m_chunked) {
        write(bytes);
        return;
    }
    std::array<char, 20> size {};
    auto end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16).ptr;
    std::string chunk;
    chunk.reserve(bytes.size() + 24);
    chunk.append(size.data(), end).append("\r\n").append(bytes).append("\r\n");
    write(chunk);
}

void CallerConnection::endAnswer()
{
    if (m_chunked) {
        write("0\r\n\r\n");
    }
    finishAnswer();
}

void CallerConnection::finishAnswer()
{
    m_busy = false;
    m_chunked = false;
    m_onLeft = nullptr;
    m_onDrained = nullptr;
    m_lastActivity = std::chrono::steady_clock::now();
    if (!m_open) {
        return;
    }
    if (m_closeAfter) {
        if (m_out.empty()) {
            lingerClose();
        }
        return;
    }
    m_parser.resetForNextMessage();
    m_requestStart = m_lastActivity;
    if (!m_pending.empty()) {
        // Not from here: the owner may still be at work on the answer that has just ended.
        asio::post(m_socket.get_executor(), [self = shared_from_this()] {
            self->parsePending();
            self->read();
        });
        return;
    }
    read();
}

void CallerConnection::write(std::string_view bytes)
{
    if (!m_open) {
        return;
    }
    if (m_out.empty()) {
        asio::error_code error;
        m_socket.non_blocking(true, error);
        const size_t written = m_socket.write_some(asio::buffer(bytes.data(), bytes.size()), error);
        if (error && error != asio::error::would_block) {
            close();
            return;
        }
        bytes.remove_prefix(error ? 0 : written);
    }
    if (bytes.empty()) {
        return;
    }
    m_out.append(bytes);
    accountForMemory();
    if (m_open) {
        continueWrite();
    }
}

void CallerConnection::continueWrite()
{
    if (m_writing) {
        return;
    }
    m_writing = true;
    m_socket.async_wait(asio::ip::tcp::socket::wait_write, [self = shared_from_this()](const asio::error_code& failed) {
        self->m_writing = false;
        if (failed || !self->m_open) {
            return;
        }
        asio::error_code error;
        const size_t written = self->m_socket.write_some(asio::buffer(self->m_out), error);
        if (error && error != asio::error::would_block) {
            self->close();
            return;
        }
        self->m_out.erase(0, error ? 0 : written);
        if (written > 0) {
            self->m_lastActivity = std::chrono::steady_clock::now();
        }
        self->accountForMemory();
        if (!self->m_out.empty()) {
            self->continueWrite();
            return;
        }
        if (auto onDrained = self->m_onDrained) {
            onDrained();
        }
        if (!self->m_busy && self->m_closeAfter) {
            self->lingerClose();
        }
    });
}

void CallerConnection::lingerClose()
{
    if (!m_open || m_lingering) {
        return;
    }
    m_lingering = true;
    m_body = {};
    m_pending = {};
    m_memory.clear();
    m_lastActivity = std::chrono::steady_clock::now();
    m_lingersSince = m_lastActivity;
    asio::error_code ignored; // the caller may have closed first
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    read();
}

void CallerConnection::abort()
{
    m_onLeft = nullptr;
    m_busy = false;
    if (m_open) {
        asio::error_code ignored; // the connection is given up either way
        m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    close();
}

void CallerConnection::closeIfIdle()
{
    if (m_busy || !m_pending.empty() || m_parser.insideMessage()) {
        return;
    }
    m_closeAfter = true;
    if (m_out.empty()) { // otherwise it is closed once the caller has taken the rest of its last answer
        lingerClose();
    }
}

void CallerConnection::checkTimes(MonotonicTime now)
{
    if (!m_open) {
        return;
    }
    const auto silent = now - m_lastActivity;
    if (m_lingering) {
        if (silent > lingerTime || now - m_lingersSince > longestLinger) {
            close();
        }
        return;
    }
    if (m_busy) {
        return;
    }
    if (m_waitsForMemory) {
        if (now - m_waitsSince > memoryPatience) {
            shed();
        }
        return;
    }
    if (!m_parser.insideMessage()) {
        if (silent > m_limits.idleTimeout) {
            if (m_out.empty()) {
                closeIfIdle();
            } else {
                abort(); // the caller has taken nothing of its last answer for so long
            }
        }
        return;
    }
    const bool headLate = !m_headSeen && now - m_requestStart > m_limits.headerTimeout;
    if (headLate || (m_headSeen && silent > bodyPause)) {
        refuse(408, "Request Timeout", headLate ? "head too slow" : "body too slow");
    }
}

void CallerConnection::close()
{
    if (!m_open) {
        return;
    }
    m_open = false;
    m_waitsForMemory = false;
    m_body = {};
    m_pending = {};
    m_out = {};
    m_memory.clear();
    asio::error_code ignored; // nothing is left to be done with the socket
    m_socket.close(ignored);
    m_onDrained = nullptr;
    if (auto onLeft = std::move(m_onLeft)) {
        m_onLeft = nullptr;
        onLeft();
    }
}

} // namespace siskinspread
