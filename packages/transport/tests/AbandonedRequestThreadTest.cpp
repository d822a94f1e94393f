#include "siskinspread/HttpClient.h"

#include <doctest/doctest.h>

#include <asio.hpp>

#include <future>

using namespace siskinspread;

namespace {

using std::chrono::milliseconds;

constexpr size_t bodyBytes = 24000; // fits into what a client may send ahead, not into the window of a server that does not read

/** Takes connections and reads nothing: to the client, a path that went silent. */
struct SilentServer {
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor { context };

    SilentServer()
    {
        const asio::ip::tcp::endpoint endpoint { asio::ip::make_address("127.0.0.1"), 0 };
        acceptor.open(endpoint.protocol());
        acceptor.set_option(asio::socket_base::receive_buffer_size(1));
        acceptor.bind(endpoint);
        acceptor.listen();
    }

    std::string url() const { return "http://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()) + "/"; }

    /** Waits until the beginning of a request has come. */
    void waitForRequest()
    {
        acceptor.accept(socket);
        socket.wait(asio::socket_base::wait_read);
    }

    /** Reads what comes from the connection until its end, as a path does that carries bytes again. @return their number. */
    size_t drain()
    {
        if (!socket.is_open()) {
            acceptor.accept(socket);
        }
        std::string bytes;
        asio::error_code error;
        asio::read(socket, asio::dynamic_buffer(bytes), error);
        return bytes.size();
    }

    asio::ip::tcp::socket socket { context };
};

} // namespace

TEST_CASE("a call that timed out on a silent path does not arrive whole once the path carries bytes again")
{
    SilentServer server;
    const StartTransfer request { .method = "POST", .url = server.url(), .headers = {}, .body = std::string(bodyBytes, 'x'), .totalTimeout = milliseconds { 200 }, .freshConnection = true };
    CHECK(performTransfer(request).end == TransferEnd::Broken);
    CHECK(server.drain() < bodyBytes);
}

TEST_CASE("a call that was cancelled on a silent path does not arrive whole once the path carries bytes again")
{
    SilentServer server;
    std::promise<TransferEnd> ended;
    HttpClient client { {}, [&](std::unique_ptr<ClientEvent>& event) {
                           ended.set_value(std::get<TransferEnded>(*event).end);
                           return true;
                       } };
    client.start();
    ClientCommand start { StartTransfer { .transfer = 1, .method = "POST", .url = server.url(), .headers = {}, .body = std::string(bodyBytes, 'x'), .freshConnection = true } };
    REQUIRE(client.tryCommand(start));
    ClientCommand cancel { CancelTransfer { .transfer = 1 } };
    server.waitForRequest();
    REQUIRE(client.tryCommand(cancel));
    CHECK(ended.get_future().get() == TransferEnd::Cancelled);
    CHECK(server.drain() < bodyBytes);
    client.stop();
}
