#include "FreePorts.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace siskinspread::testing {
namespace {

    constexpr size_t spareTries = 100;

    /** A socket bound to a port of 127.0.0.1, closed by the destructor. */
    class BoundSocket {
    public:
        BoundSocket(int type, uint16_t port)
            : m_descriptor(socket(AF_INET, type | SOCK_CLOEXEC, 0))
        {
            sockaddr_in address {};
            address.sin_family = AF_INET;
            address.sin_port = htons(port);
            address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
            socklen_t size = sizeof address;
            auto* general = reinterpret_cast<sockaddr*>(&address);
            m_isBound = bind(m_descriptor, general, size) == 0 && getsockname(m_descriptor, general, &size) == 0;
            m_port = ntohs(address.sin_port);
        }
        BoundSocket(BoundSocket&& other) noexcept
            : m_descriptor(other.m_descriptor)
            , m_isBound(other.m_isBound)
            , m_port(other.m_port)
        {
            other.m_descriptor = -1;
        }
        BoundSocket& operator=(BoundSocket&&) = delete;
        ~BoundSocket()
        {
            if (m_descriptor >= 0) {
                close(m_descriptor);
            }
        }

        bool isBound() const { return m_isBound; }
        uint16_t port() const { return m_port; }

    private:
        int m_descriptor;
        bool m_isBound { false };
        uint16_t m_port { 0 };
    };

} // namespace

std::vector<uint16_t> freePorts(size_t count)
{
    std::vector<BoundSocket> held; // all at once, so that no port is given twice
    std::vector<uint16_t> ports;
    for (size_t tries = 0; ports.size() < count; ++tries) {
        if (tries == count + spareTries) {
            throw std::runtime_error("no free ports");
        }
        BoundSocket stream(SOCK_STREAM, 0);
        BoundSocket datagram(SOCK_DGRAM, stream.port());
        if (stream.isBound() && datagram.isBound()) {
            ports.push_back(stream.port());
        }
        held.push_back(std::move(stream));
        held.push_back(std::move(datagram));
    }
    return ports;
}

} // namespace siskinspread::testing
