#include "siskinspread/HttpClient.h"

#include <doctest/doctest.h>

#include <asio.hpp>

#include <atomic>
#include <thread>

using namespace siskinspread;

namespace {

/** Answers one request with the bytes and closes. */
class CuttingServer {
public:
    explicit CuttingServer(std::string answer)
        : m_acceptor(m_context, { asio::ip::make_address("127.0.0.1"), 0 })
        , m_thread([this, bytes = std::move(answer)] { serve(bytes); })
    {
    }
    ~CuttingServer() { m_thread.join(); }
    CuttingServer(const CuttingServer&) = delete;
    CuttingServer& operator=(const CuttingServer&) = delete;

    std::string url() const { return "http://127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()) + "/"; }

private:
    void serve(const std::string& bytes)
    {
        auto socket = m_acceptor.accept();
        asio::error_code error;
        std::string request;
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
        asio::write(socket, asio::buffer(bytes), error);
    }

    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::thread m_thread;
};

TransferEnded ask(const std::string& answer)
{
    const CuttingServer server { answer };
    return performTransfer({ .url = server.url(), .totalTimeout = std::chrono::seconds { 20 } });
}

} // namespace

// Guards against answers that look whole and are not: to libcurl the end of the connection is also the end of a head.
TEST_CASE("an answer that ends inside its head is broken, wherever it ends")
{
    const std::string interim { "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" };
    const std::string head { "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 2\r\n\r\n" };
    for (const auto& before : { std::string {}, interim }) {
        for (size_t length = 1; length < head.size(); ++length) {
            const auto sent = before + head.substr(0, length);
            CAPTURE(sent);
            const auto ended = ask(sent);
            CHECK(ended.end == TransferEnd::Broken);
            CHECK_FALSE(ended.detail.empty());
        }
        const auto whole = ask(before + head + "ok");
        CHECK(whole.end == TransferEnd::Complete);
        CHECK(whole.body == "ok");
    }
}

TEST_CASE("a head that is followed by the end of the connection is whole where it names no length")
{
    const auto ended = ask("HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n");
    CHECK(ended.end == TransferEnd::Complete);
    CHECK(findHeader(ended.headers, "X-A") == "b");
    CHECK(ask("HTTP/1.1 204 No Content\r\n\r\n").end == TransferEnd::Complete);
    const auto chunked = ask("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Trailer: c\r\n\r\n");
    CHECK(chunked.end == TransferEnd::Complete);
    CHECK(chunked.body == "ok");
}

// A caller of a stream is told of no head that did not come whole.
TEST_CASE("a stream that ends inside its head delivers no head")
{
    const CuttingServer server { "HTTP/1.1 200 OK\r\nX-A: b\r\n" };
    std::atomic<bool> hasHeaders { false };
    std::atomic<int> end { -1 };
    HttpClient client { {}, [&](std::unique_ptr<ClientEvent>& event) {
                           hasHeaders = hasHeaders || std::holds_alternative<TransferHeaders>(*event);
                           if (const auto* ended = std::get_if<TransferEnded>(event.get())) {
                               end = static_cast<int>(ended->end);
                           }
                           event.reset();
                           return true;
                       } };
    client.start();
    ClientCommand command { StartTransfer { .transfer = 1, .url = server.url(), .streaming = true } };
    REQUIRE(client.tryCommand(command));
    for (int turn = 0; turn < 1000 && end < 0; ++turn) {
        std::this_thread::sleep_for(std::chrono::milliseconds { 10 });
    }
    CHECK(end == static_cast<int>(TransferEnd::Broken));
    CHECK_FALSE(hasHeaders);
}
