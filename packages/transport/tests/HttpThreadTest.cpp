#include "siskinspread/HttpClient.h"
#include "siskinspread/HttpServer.h"

#include <doctest/doctest.h>

#include <condition_variable>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <queue>
#include <sys/socket.h>

namespace siskinspread {

namespace {

    template <typename T>
    class BlockingQueue {
    public:
        void push(T value)
        {
            const std::lock_guard lock { m_mutex };
            m_values.push(std::move(value));
            m_arrived.notify_one();
        }

        T pop()
        {
            std::unique_lock lock { m_mutex };
            m_arrived.wait(lock, [this] { return !m_values.empty(); });
            T value = std::move(m_values.front());
            m_values.pop();
            return value;
        }

    private:
        std::mutex m_mutex;
        std::condition_variable m_arrived;
        std::queue<T> m_values;
    };

    struct Fixture {
        BlockingQueue<IncomingRequest> requests;
        BlockingQueue<ExchangeId> closed;
        BlockingQueue<ClientEvent> events;
        HttpServer server { {}, { .onRequest = [this](IncomingRequest&& r) { requests.push(std::move(r)); }, .onClosed = [this](ExchangeId id) { closed.push(id); } } };
        HttpClient client { {}, [this](std::unique_ptr<ClientEvent>& event) {
                               events.push(std::move(*event));
                               return true;
                           } };
        uint16_t serverPort { 0 };
        std::string url;

        Fixture()
        {
            LastReason reason;
            const auto port = server.start(reason);
            REQUIRE(port);
            serverPort = *port;
            url = "http://127.0.0.1:" + std::to_string(serverPort) + "/path?query=1";
            client.start();
        }

        ~Fixture()
        {
            client.stop();
            server.stop();
        }

        void command(ServerCommand c) { REQUIRE(server.tryCommand(c)); }
        void command(ClientCommand c) { REQUIRE(client.tryCommand(c)); }
    };

    /** @return TCP_NODELAY of the connection of this process that a server on the port has accepted, or nothing without one. */
    std::optional<int> noDelayOfAccepted(uint16_t port)
    {
        constexpr int descriptorsToSearch = 1024;
        for (int descriptor = 0; descriptor < descriptorsToSearch; ++descriptor) {
            sockaddr_in own {};
            sockaddr_in peer {};
            socklen_t ownSize = sizeof own;
            socklen_t peerSize = sizeof peer;
            const bool isConnected = getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &peerSize) == 0;
            if (!isConnected || getsockname(descriptor, reinterpret_cast<sockaddr*>(&own), &ownSize) != 0 || ntohs(own.sin_port) != port) {
                continue;
            }
            int value = 0;
            socklen_t valueSize = sizeof value;
            REQUIRE(getsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &value, &valueSize) == 0);
            return value;
        }
        return std::nullopt;
    }

} // namespace

TEST_CASE_FIXTURE(Fixture, "the chunks of a stream do not wait for the caller's acknowledgement of what went before")
{
    command(StartTransfer { .transfer = 1, .url = url, .headers = {}, .body = {}, .streaming = true });
    requests.pop();
    const auto noDelay = noDelayOfAccepted(serverPort);
    REQUIRE(noDelay);
    CHECK(*noDelay != 0);
}

TEST_CASE_FIXTURE(Fixture, "a request and its whole response pass")
{
    command(StartTransfer { .transfer = 7, .method = "POST", .url = url, .headers = { { .name = "X-Test", .value = "a" } }, .body = "body" });
    const IncomingRequest request = requests.pop();
    CHECK(request.method == "POST");
    CHECK(request.target == "/path?query=1");
    CHECK(request.body == "body");
    CHECK(findHeader(request.headers, "x-test") == "a");
    command(RespondWhole { .exchange = request.exchange, .status = 429, .headers = { { .name = "Retry-After", .value = "2" } }, .body = "no" });
    const auto ended = std::get<TransferEnded>(events.pop());
    CHECK(ended.transfer == 7);
    CHECK(ended.end == TransferEnd::Complete);
    CHECK(ended.status == 429);
    CHECK(ended.body == "no");
    CHECK(findHeader(ended.headers, "Retry-After") == "2");
}

TEST_CASE_FIXTURE(Fixture, "a stream arrives in pieces and in order")
{
    command(StartTransfer { .transfer = 1, .url = url, .headers = {}, .body = {}, .streaming = true });
    const ExchangeId exchange = requests.pop().exchange;
    command(StartStream { .exchange = exchange, .status = 200, .headers = {} });
    command(SendChunk { .exchange = exchange, .data = "one" });
    CHECK(std::get<TransferHeaders>(events.pop()).status == 200);
    CHECK(std::get<TransferData>(events.pop()).data == "one");
    command(SendChunk { .exchange = exchange, .data = "two" });
    CHECK(std::get<TransferData>(events.pop()).data == "two");
    command(EndStream { .exchange = exchange });
    CHECK(std::get<TransferEnded>(events.pop()).end == TransferEnd::Complete);
}

TEST_CASE_FIXTURE(Fixture, "a cancelled transfer closes the connection and the server is told")
{
    command(StartTransfer { .transfer = 1, .url = url, .headers = {}, .body = {}, .streaming = true });
    const ExchangeId exchange = requests.pop().exchange;
    command(CancelTransfer { .transfer = 1 });
    CHECK(std::get<TransferEnded>(events.pop()).end == TransferEnd::Cancelled);
    CHECK(closed.pop() == exchange);
}

TEST_CASE_FIXTURE(Fixture, "a refused connection is told apart from a broken answer")
{
    server.stop();
    command(StartTransfer { .transfer = 1, .url = url, .headers = {}, .body = {} });
    CHECK(std::get<TransferEnded>(events.pop()).end == TransferEnd::NothingSent);
}

TEST_CASE_FIXTURE(Fixture, "a connection that closes before the answer is a broken transfer, not an unsent one")
{
    command(StartTransfer { .transfer = 1, .method = "POST", .url = url, .headers = {}, .body = "x", .freshConnection = true });
    static_cast<void>(requests.pop());
    server.stop();
    CHECK(std::get<TransferEnded>(events.pop()).end == TransferEnd::Broken);
}

TEST_CASE_FIXTURE(Fixture, "a body beyond the limit closes the connection and the next request is unharmed")
{
    command(StartTransfer { .transfer = 1, .method = "POST", .url = url, .headers = {}, .body = std::string(2U << 20, 'x'), .freshConnection = true });
    CHECK(std::get<TransferEnded>(events.pop()).end == TransferEnd::Broken);
    command(StartTransfer { .transfer = 2, .url = url, .headers = {}, .body = {} });
    command(RespondWhole { .exchange = requests.pop().exchange, .status = 200, .headers = {}, .body = "ok" });
    CHECK(std::get<TransferEnded>(events.pop()).body == "ok");
}

} // namespace siskinspread
