#pragma once

// Asio chooses how it allocates by a macro of the standard library: one of its headers has to come first in every source file.
#include <array>
#include <chrono>
#include <cstdint>
#include <list>
#include <memory>

#include <asio.hpp>

namespace siskinspread::soak {

/** What a proxy does with what it carries. */
enum class LinkFault : uint8_t {
    None,
    Delay, /**< Each piece waits. */
    LoseAnswers, /**< One way: requests arrive, nothing comes back. */
    Silence, /**< Nothing is carried either way; connections stay open, and those that have lost bytes carry no more that way. */
};

/** A loopback proxy for TCP between two programs. Thread safety: loop thread only. */
class SoakProxy {
public:
    SoakProxy(asio::io_context&, asio::ip::tcp::endpoint upstream);

    uint16_t port() const { return m_acceptor.local_endpoint().port(); }

    void setFault(LinkFault fault) { m_fault = fault; }
    /** Resets all connections that are open. */
    void resetAll();

private:
    struct Link {
        explicit Link(asio::ip::tcp::socket accepted)
            : caller(std::move(accepted))
            , upstream(caller.get_executor())
        {
        }
        asio::ip::tcp::socket caller;
        asio::ip::tcp::socket upstream;
        std::array<char, 16384> fromCaller {};
        std::array<char, 16384> fromUpstream {};
        bool lostFromCaller { false };
        bool lostFromUpstream { false };
    };

    void accept();
    void carry(const std::shared_ptr<Link>&, bool forth);
    void deliver(const std::shared_ptr<Link>&, bool forth, size_t size);
    static void end(Link&, bool reset);

    asio::ip::tcp::acceptor m_acceptor;
    asio::ip::tcp::endpoint m_upstream;
    std::list<std::weak_ptr<Link>> m_links;
    LinkFault m_fault { LinkFault::None };
};

} // namespace siskinspread::soak
