#include "siskinspread/HeartbeatChannel.h"

#include "siskinspread/BoundedRing.h"

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <asio/post.hpp>

#include <array>
#include <atomic>
#include <charconv>
#include <thread>

namespace siskinspread {

namespace {

    constexpr size_t maxDatagramBytes = 65536;

    std::optional<asio::ip::udp::endpoint> endpointOf(const std::string& address)
    {
        const size_t colon = address.rfind(':');
        if (colon == std::string::npos) {
            return std::nullopt;
        }
        uint16_t port = 0;
        const char* const end = address.data() + address.size();
        const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
        asio::error_code error;
        const auto ip = asio::ip::make_address(address.substr(0, colon), error);
        if (error || parsed.ec != std::errc {} || parsed.ptr != end) {
            return std::nullopt;
        }
        return asio::ip::udp::endpoint { ip, port };
    }

    std::string textOf(const asio::ip::udp::endpoint& endpoint)
    {
        return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
    }

} // namespace

class HeartbeatChannel::Implementation {
public:
    Implementation(HeartbeatChannelOptions options, std::function<void()> wake)
        : m_options(std::move(options))
        , m_outgoing(m_options.ringCapacity, [this] { asio::post(m_context, [this] { sendAll(); }); })
        , m_arrived(m_options.ringCapacity, std::move(wake))
    {
    }

    ~Implementation() { stop(); }

    std::optional<uint16_t> start(LastReason& reason)
    {
        const auto own = endpointOf(m_options.address + ":" + std::to_string(m_options.port));
        if (!own) {
            return fail(reason, ResultCode::InternalError, "no IP number: " + m_options.address);
        }
        asio::error_code error;
        m_socket.open(own->protocol(), error);
        if (!error) {
            m_socket.bind(*own, error);
        }
        if (!error) {
            m_socket.non_blocking(true, error);
        }
        if (error) {
            return fail(reason, ResultCode::InternalError, "heartbeats can't use " + textOf(*own) + ": " + error.message());
        }
        const uint16_t port = m_socket.local_endpoint().port();
        receive();
        m_thread = std::thread([this] { m_context.run(); });
        return port;
    }

    void stop()
    {
        if (!m_thread.joinable()) {
            return;
        }
        asio::post(m_context, [this] {
            asio::error_code ignored;
            m_socket.close(ignored);
        });
        m_thread.join();
    }

    bool trySend(std::unique_ptr<Datagram>& datagram) { return m_outgoing.tryPush(datagram); }
    std::unique_ptr<Datagram> next() { return m_arrived.tryPop(); }
    uint64_t refusedCount() const { return m_refused.load(std::memory_order_relaxed); }

private:
    void receive()
    {
        m_socket.async_receive_from(asio::buffer(m_buffer), m_sender, [this](const asio::error_code& error, size_t size) {
            if (!m_socket.is_open()) {
                return;
            }
            if (!error) {
                deliver(size);
            }
            receive();
        });
    }

    void deliver(size_t size)
    {
        auto datagram = std::make_unique<Datagram>(Datagram { .address = textOf(m_sender), .bytes = std::string(m_buffer.data(), size) });
        if (!m_arrived.tryPush(datagram)) {
            m_refused.fetch_add(1, std::memory_order_relaxed);
        }
    }

    void sendAll()
    {
        while (const auto datagram = m_outgoing.tryPop()) {
            const auto target = endpointOf(datagram->address);
            if (target && m_socket.is_open()) {
                asio::error_code lost; // as if lost on its way; the protocol repeats what matters
                m_socket.send_to(asio::buffer(datagram->bytes), *target, 0, lost);
            }
        }
    }

    const HeartbeatChannelOptions m_options;
    asio::io_context m_context;
    asio::ip::udp::socket m_socket { m_context };
    BoundedRing<Datagram> m_outgoing;
    BoundedRing<Datagram> m_arrived;
    asio::ip::udp::endpoint m_sender;
    std::array<char, maxDatagramBytes> m_buffer {};
    std::atomic<uint64_t> m_refused { 0 };
    std::thread m_thread;
};

HeartbeatChannel::HeartbeatChannel(HeartbeatChannelOptions options, std::function<void()> wake)
    : m_implementation(std::make_unique<Implementation>(std::move(options), std::move(wake)))
{
}

HeartbeatChannel::~HeartbeatChannel() = default;

std::optional<uint16_t> HeartbeatChannel::start(LastReason& reason)
{
    return m_implementation->start(reason);
}

void HeartbeatChannel::stop()
{
    m_implementation->stop();
}

bool HeartbeatChannel::trySend(std::unique_ptr<Datagram>& datagram)
{
    return m_implementation->trySend(datagram);
}

std::unique_ptr<Datagram> HeartbeatChannel::next()
{
    return m_implementation->next();
}

uint64_t HeartbeatChannel::refusedCount() const
{
    return m_implementation->refusedCount();
}

} // namespace siskinspread
