#include "RawConnection.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace siskinspread::testing {

RawConnection::RawConnection(uint16_t port)
    : m_descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(m_descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
        const std::string error = std::strerror(errno);
        close(m_descriptor);
        throw std::runtime_error("connect: " + error);
    }
}

RawConnection::~RawConnection()
{
    close(m_descriptor);
}

bool RawConnection::send(std::string_view bytes) const
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent < 0 && errno == EINTR) {
            continue;
        }
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<size_t>(sent));
    }
    return true;
}

void RawConnection::endSending() const
{
    shutdown(m_descriptor, SHUT_WR);
}

bool RawConnection::readSome(std::chrono::steady_clock::time_point end)
{
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(end - std::chrono::steady_clock::now()).count();
    pollfd waiting { .fd = m_descriptor, .events = POLLIN, .revents = 0 };
    if (m_isClosed || poll(&waiting, 1, static_cast<int>(std::max<int64_t>(left, 0))) <= 0) {
        return false;
    }
    std::array<char, 4096> chunk {};
    const ssize_t count = recv(m_descriptor, chunk.data(), chunk.size(), 0);
    if (count <= 0) {
        m_isClosed = true;
        return false;
    }
    m_received.append(chunk.data(), static_cast<size_t>(count));
    return true;
}

const std::string& RawConnection::readUntil(std::string_view text, std::chrono::milliseconds deadline)
{
    const auto end = std::chrono::steady_clock::now() + deadline;
    while (m_received.find(text) == std::string::npos && readSome(end)) { }
    return m_received;
}

const std::string& RawConnection::readAll(std::chrono::milliseconds deadline)
{
    const auto end = std::chrono::steady_clock::now() + deadline;
    while (readSome(end)) { }
    return m_received;
}

} // namespace siskinspread::testing
