#include "SoakProxy.h"

#include <doctest/doctest.h>

#include <array>
#include <string>

using namespace siskinspread::soak;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds patience { 5000 };

/** A connection through a proxy, both ends of which the test holds. */
struct ProxiedConnection {
    ProxiedConnection()
    {
        bool accepted = false;
        acceptor.async_accept(server, [&](const asio::error_code& error) { accepted = !error; });
        client.connect({ asio::ip::make_address("127.0.0.1"), proxy.port() });
        read();
        runUntil([&] { return accepted; });
    }

    void read()
    {
        client.async_read_some(asio::buffer(buffer), [this](const asio::error_code& error, size_t size) {
            if (!error) {
                received.append(buffer.data(), size);
                read();
            }
        });
    }

    template <typename Condition>
    void runUntil(Condition condition, milliseconds time = patience)
    {
        const auto end = std::chrono::steady_clock::now() + time;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            context.run_for(milliseconds { 5 });
            context.restart();
        }
    }

    void send(const std::string& bytes) { asio::write(server, asio::buffer(bytes)); }

    asio::io_context context;
    asio::ip::tcp::acceptor acceptor { context, { asio::ip::make_address("127.0.0.1"), 0 } };
    SoakProxy proxy { context, acceptor.local_endpoint() };
    asio::ip::tcp::socket server { context };
    asio::ip::tcp::socket client { context };
    std::array<char, 256> buffer {};
    std::string received;
};

} // namespace

// Guards against answers with a hole, which look whole and which no connection of TCP delivers.
TEST_CASE("a connection that has lost bytes carries none of those behind them")
{
    for (const auto fault : { LinkFault::Silence, LinkFault::LoseAnswers }) {
        ProxiedConnection connection;
        connection.send("one");
        connection.runUntil([&] { return connection.received == "one"; });
        REQUIRE(connection.received == "one");
        connection.proxy.setFault(fault);
        connection.send("two");
        connection.runUntil([] { return false; }, milliseconds { 100 });
        connection.proxy.setFault(LinkFault::None);
        connection.send("three");
        connection.runUntil([] { return false; }, milliseconds { 100 });
        CHECK(connection.received == "one");
    }
}
