#include "siskinspread/ReplicaConnection.h"

#include <doctest/doctest.h>

using namespace siskinspread;
using std::chrono::milliseconds;

namespace {

struct NoAnswer final : AnswerObserver {
    bool onAnswerHead(AnswerHead&&) override { return true; }
    void onAnswerBody(std::string_view) override { }
    void onAnswerComplete() override { }
    void onAnswerBroken(ReplicaFailure) override { }
};

} // namespace

TEST_CASE("a request that was given up on a silent path does not arrive whole once the path carries bytes again")
{
    constexpr size_t requestBytes = 24000; // fits into what a client may send ahead, not into the window of a server that does not read
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor { context };
    acceptor.open(asio::ip::tcp::v4());
    acceptor.set_option(asio::socket_base::receive_buffer_size(1));
    acceptor.bind({ asio::ip::make_address("127.0.0.1"), 0 });
    acceptor.listen();
    const auto connection = std::make_shared<ReplicaConnection>(context, NetworkAddress { "127.0.0.1", acceptor.local_endpoint().port() });
    connection->send(std::string(requestBytes, 'x'), nullptr, true, milliseconds { 5000 }, std::make_shared<NoAnswer>());
    auto replica = std::make_shared<asio::ip::tcp::socket>(context);
    acceptor.async_accept(*replica, [&](const asio::error_code& error) {
        REQUIRE_FALSE(error);
        replica->async_wait(asio::socket_base::wait_read, [&](const asio::error_code&) { connection->close(); });
    });
    context.run();
    std::string bytes;
    asio::error_code error;
    asio::read(*replica, asio::dynamic_buffer(bytes), error);
    CHECK(bytes.size() < requestBytes);
}
