#include "siskinspread/ReplicaConnection.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>

namespace siskinspread {

namespace {

    constexpr size_t maxAnswerHeadBytes = 32U << 10U;
    constexpr int firstFinalStatus = 200;
    // Interim answers and answers to earlier requests in front of the one that is waited for; room for the largest that is kept whole.
    constexpr size_t maxStrayBytes = 256U << 10U;
    // Unacknowledged bytes for this long mean a path that carries nothing any more.
    constexpr std::chrono::milliseconds unacknowledgedTime { 4000 };

} // namespace

std::string_view failureName(ReplicaFailure failure)
{
    switch (failure) {
    case ReplicaFailure::ConnectFailed:
        return "connect_failed";
    case ReplicaFailure::ConnectTimedOut:
        return "connect_timed_out";
    case ReplicaFailure::Closed:
        return "closed";
    case ReplicaFailure::Reset:
        return "reset";
    case ReplicaFailure::Unreadable:
        break;
    }
    return "unreadable";
}

ReplicaConnection::ReplicaConnection(asio::io_context& context, NetworkAddress address)
    : m_socket(context)
    , m_timer(context)
    , m_address(std::move(address))
    , m_parser(HttpStreamParser::Kind::Answers, maxAnswerHeadBytes,
          ParserHandlers { .onAnswerHead = [this](AnswerHead&& head) { return onHead(std::move(head)); },
              .onBody = [this](std::string_view bytes) {
                  if (m_busy && !m_skipping) {
                      m_progressed = true;
                      auto observer = m_observer;
                      observer->onAnswerBody(bytes);
                  } } })
{
}

void ReplicaConnection::send(std::string head, std::shared_ptr<const std::string> body, bool expectsBody, std::chrono::milliseconds connectTimeout, std::shared_ptr<AnswerObserver> observer)
{
    m_busy = true;
    m_expectsBody = expectsBody;
    m_observer = std::move(observer);
    m_out = std::move(head);
    m_outBody = std::move(body);
    m_written = 0;
    m_paused = false;
    m_strayBytes = 0;
    if (m_connected && isClosedByReplica()) {
        // Not from here: the caller of send is still at work on the request.
        asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->breakOff(ReplicaFailure::ConnectFailed); });
    } else if (m_connected) {
        writeRequest();
    } else {
        connect(connectTimeout);
    }
}

/** Sees a close or bytes that have arrived while the connection was idle and whose event has not been handled yet. */
bool ReplicaConnection::isClosedByReplica()
{
    char byte = 0;
    return ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void ReplicaConnection::connect(std::chrono::milliseconds timeout)
{
    asio::error_code error;
    const auto ip = asio::ip::make_address(m_address.address, error);
    if (error) {
        asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->breakOff(ReplicaFailure::ConnectFailed); });
        return;
    }
    m_timer.expires_after(timeout);
    m_timer.async_wait([self = shared_from_this()](const asio::error_code& cancelled) {
        if (!cancelled && !self->m_connected && self->m_open) {
            self->breakOff(ReplicaFailure::ConnectTimedOut);
        }
    });
    m_socket.async_connect({ ip, m_address.port }, [self = shared_from_this()](const asio::error_code& failed) {
        if (!self->m_open) {
            return;
        }
        self->m_timer.cancel();
        if (failed) {
            self->breakOff(ReplicaFailure::ConnectFailed);
            return;
        }
        self->m_connected = true;
        asio::error_code ignored; // the options only make failures show sooner
        self->m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        self->m_socket.set_option(asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(static_cast<int>(unacknowledgedTime.count())), ignored);
        self->m_socket.non_blocking(true, ignored);
        self->writeRequest();
    });
}

void ReplicaConnection::writeRequest()
{
    asio::error_code error;
    const std::string_view bodyBytes = m_outBody ? std::string_view { *m_outBody } : std::string_view {};
    const size_t headWritten = std::min(m_written, m_out.size());
    const size_t bodyWritten = m_written - headWritten;
    const std::array<asio::const_buffer, 2> buffers { asio::buffer(m_out.data() + headWritten, m_out.size() - headWritten), asio::buffer(bodyBytes.data() + bodyWritten, bodyBytes.size() - bodyWritten) };
    m_written += m_socket.write_some(buffers, error);
    if (error && error != asio::error::would_block) {
        // Nothing left this host on a fresh connection's first write that failed; a kept one may have taken earlier bytes.
        breakOff(m_written == 0 ? ReplicaFailure::ConnectFailed : ReplicaFailure::Reset);
        return;
    }
    read();
    if (m_written == outBytes()) {
        m_out.clear();
        m_outBody.reset();
        m_written = 0;
        return;
    }
    m_socket.async_wait(asio::ip::tcp::socket::wait_write, [self = shared_from_this()](const asio::error_code& failed) {
        if (!failed && self->m_open && self->m_busy && !self->isWritten()) {
            self->writeRequest();
        }
    });
}

void ReplicaConnection::read()
{
    if (m_reading || m_paused || !m_open) {
        return;
    }
    m_reading = true;
    m_socket.async_read_some(asio::buffer(m_buffer), [self = shared_from_this()](const asio::error_code& error, size_t size) {
        self->m_reading = false;
        if (!self->m_open) {
            return;
        }
        if (error) {
            self->onClosed(error);
            return;
        }
        self->parse({ self->m_buffer.data(), size });
        if (self->m_open) {
            self->read();
        }
    });
}

void ReplicaConnection::resumeReading()
{
    if (m_paused) {
        m_paused = false;
        read();
    }
}

void ReplicaConnection::parse(std::string_view bytes)
{
    while (!bytes.empty() && m_open) {
        if (!m_busy) {
            close(); // bytes that nobody asked for
            return;
        }
        m_progressed = false;
        const auto progress = m_parser.feed(bytes);
        if (!m_open) {
            return;
        }
        if (progress.failed || hasTooManyStrayBytes(progress.consumed)) {
            breakOff(ReplicaFailure::Unreadable);
            return;
        }
        bytes.remove_prefix(progress.consumed);
        if (progress.messageComplete) {
            if (!bytes.empty() && !m_skipping) {
                m_reusable = false; // something follows a complete answer: it belongs to no request
            }
            onAnswerEnd();
        }
    }
}

bool ReplicaConnection::hasTooManyStrayBytes(size_t consumed)
{
    m_strayBytes = m_progressed ? 0 : m_strayBytes + consumed;
    return m_strayBytes > maxStrayBytes;
}

bool ReplicaConnection::onHead(AnswerHead&& head)
{
    if (!m_busy) {
        return true;
    }
    m_skipping = head.status < firstFinalStatus;
    if (!m_skipping) {
        m_reusable = m_reusable && head.keepAlive;
        auto observer = m_observer;
        m_skipping = !observer->onAnswerHead(std::move(head));
        m_progressed = !m_skipping;
    }
    return m_skipping || m_expectsBody;
}

void ReplicaConnection::onAnswerEnd()
{
    m_parser.resetForNextMessage();
    if (m_skipping) {
        m_skipping = false;
        return;
    }
    if (!m_busy) {
        return;
    }
    m_busy = false;
    m_idleSince = std::chrono::steady_clock::now();
    // A request that was answered before it was sent whole leaves bytes on the way: what follows would be taken for them.
    m_reusable = m_reusable && isWritten();
    auto observer = std::move(m_observer);
    m_observer.reset();
    observer->onAnswerComplete();
}

void ReplicaConnection::onClosed(const asio::error_code& error)
{
    // An answer that ends with its connection is complete only if the replica had the whole request when it closed.
    const bool mayEndAnswer = m_busy && error == asio::error::eof && isWritten();
    if (mayEndAnswer && m_parser.finish()) {
        m_reusable = false;
        onAnswerEnd();
        close();
        return;
    }
    if (m_busy) {
        breakOff(error == asio::error::eof ? ReplicaFailure::Closed : ReplicaFailure::Reset);
        return;
    }
    close();
}

void ReplicaConnection::breakOff(ReplicaFailure failure)
{
    if (!m_open) {
        return;
    }
    auto observer = std::move(m_observer);
    const bool wasBusy = m_busy;
    close();
    if (wasBusy && observer) {
        observer->onAnswerBroken(failure);
    }
}

void ReplicaConnection::close()
{
    if (!m_open) {
        return;
    }
    asio::error_code ignored; // nothing is left to be done with the socket
    if (m_busy && m_connected) {
        // A request that was given up must not arrive later, from a path that was silent for a while.
        m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    m_open = false;
    m_busy = false;
    m_outBody.reset();
    m_timer.cancel();
    m_socket.close(ignored);
    m_observer.reset();
}

} // namespace siskinspread
