#include "siskinspread/HttpClient.h"

#include <doctest/doctest.h>

#include <asio.hpp>

#include <thread>

using namespace siskinspread;

namespace {

constexpr size_t endless = 32U << 20U;

/** Answers one request with `begin` and then with `piece` again and again, until the peer closes. */
struct EndlessServer {
    EndlessServer(std::string begin, std::string piece)
        : acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 })
        , thread([this, answer = std::move(begin), repeated = std::move(piece)] { serve(answer, repeated); })
    {
    }

    ~EndlessServer()
    {
        if (thread.joinable()) {
            thread.join();
        }
    }
    EndlessServer(const EndlessServer&) = delete;
    EndlessServer& operator=(const EndlessServer&) = delete;

    void serve(const std::string& begin, const std::string& piece)
    {
        auto socket = acceptor.accept();
        asio::error_code error;
        std::string request;
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
        asio::write(socket, asio::buffer(begin), error);
        std::string part;
        while (part.size() < 16384) {
            part += piece;
        }
        for (; !error && sent < endless; sent += part.size()) {
            asio::write(socket, asio::buffer(part), error);
        }
    }

    /** Waits for the end of the connection. @return bytes of the repeated piece that were sent. */
    size_t finish()
    {
        thread.join();
        return sent;
    }

    asio::io_context context;
    asio::ip::tcp::acceptor acceptor;
    size_t sent { 0 };
    std::thread thread;
};

} // namespace

TEST_CASE("a head, interim answers, a trailer or a body without end is given up on after a bounded number of bytes")
{
    struct Case {
        const char* begin;
        const char* piece;
    };
    const Case cases[] {
        { "HTTP/1.1 200 OK\r\n", "X-A: b\r\n" },
        { "HTTP/1.1 103 Early Hints\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n" },
        { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n" },
        { "HTTP/1.1 200 OK\r\n\r\n", "x" },
    };
    for (const auto& one : cases) {
        CAPTURE(one.begin);
        EndlessServer server { one.begin, one.piece };
        const StartTransfer request { .method = "GET",
            .url = "http://127.0.0.1:" + std::to_string(server.acceptor.local_endpoint().port()) + "/",
            .totalTimeout = std::chrono::seconds { 20 },
            .maxBodyBytes = 1U << 20U };
        const auto ended = performTransfer(request);
        CHECK(ended.end == TransferEnd::Broken);
        CHECK(ended.detail == "the answer exceeds the limit");
        CHECK(ended.headers.empty());
        CHECK(server.finish() < endless);
    }
}
