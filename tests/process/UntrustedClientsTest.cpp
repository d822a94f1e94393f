// Crowds of clients that keep to no limit, against one process of the product with little memory and few descriptors. Checked is only what
// does not depend on the machine's speed: the process lives, its memory and descriptors stay under the bounds of its settings, and one
// ordinary request is answered while the crowd is still there.
#include "StandInPlatform.h"
#include "support/ChildProcess.h"
#include "support/FreePorts.h"
#include "support/Programs.h"
#include "support/TempDirectory.h"

#include <asio.hpp>
#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <functional>
#include <thread>

#include <poll.h>
#include <unistd.h>

using namespace siskinspread;
using namespace siskinspread::testing;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr size_t memoryMb = 64;
constexpr size_t maxDescriptors = 600;
constexpr size_t maxBodyBytes = 2U << 20U;
constexpr size_t crowdSize = 60; // whole bodies of them are twice the memory of the process
constexpr size_t connectionCrowd = 450; // more than the connections that fit into the descriptors
constexpr std::chrono::seconds largeBodyPatience { 180 }; // a process with a sanitizer reads single-byte chunks many times slower
constexpr int ordinaryTries = 40; // of a caller that comes back when it is told to

const std::string requestLines = "Host: h.example\r\nAuthorization: Token k-1\r\n";

/** A replica that reads each request whole and answers it. */
class PlainReplica {
public:
    explicit PlainReplica(asio::io_context& context)
        : m_acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 })
    {
        accept();
    }

    uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    struct Connection {
        asio::ip::tcp::socket socket;
        std::array<char, 65536> buffer {};
        std::string head;
        size_t bodyLeft { 0 };
        std::string answer;
    };

    void accept()
    {
        m_acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
            if (!error) {
                read(std::make_shared<Connection>(Connection { .socket = std::move(socket) }));
                accept();
            }
        });
    }

    static std::string valueOf(const std::string& head, const std::string& name)
    {
        const auto at = head.find("\r\n" + name + ": ");
        const auto begin = at + name.size() + 4;
        return at == std::string::npos ? std::string {} : head.substr(begin, head.find("\r\n", begin) - begin);
    }

    static void read(const std::shared_ptr<Connection>& connection)
    {
        connection->socket.async_read_some(asio::buffer(connection->buffer), [connection](const asio::error_code& error, size_t size) {
            if (error) {
                return;
            }
            size_t body = size;
            if (connection->answer.empty()) {
                connection->head.append(connection->buffer.data(), size);
                const auto end = connection->head.find("\r\n\r\n");
                if (end == std::string::npos) {
                    read(connection);
                    return;
                }
                body = connection->head.size() - end - 4;
                const auto length = valueOf(connection->head, "Content-Length");
                connection->bodyLeft = length.empty() ? 0 : std::stoul(length);
                connection->answer = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + valueOf(connection->head, "X-Attempt-Id") + "\r\nX-Response-Seal: s.1\r\nContent-Length: 2\r\n\r\nok";
            }
            connection->bodyLeft -= std::min(connection->bodyLeft, body);
            if (connection->bodyLeft == 0) {
                asio::error_code closed;
                asio::write(connection->socket, asio::buffer(connection->answer), closed);
                connection->head.clear();
                connection->answer.clear();
            }
            read(connection);
        });
    }

    asio::ip::tcp::acceptor m_acceptor;
};

/** One process of the product before a stand-in of the platform and one replica. */
class HostUnderTest {
public:
    HostUnderTest()
        : m_platform(m_context)
        , m_replica(m_context)
        , m_ports(freePorts(3))
    {
        const auto replica = "127.0.0.1:" + std::to_string(m_replica.port());
        m_platform.put("config", "main", { { "version", 1 }, { "routes", json::array({ { { "name", "r" }, { "host", "h.example" }, { "path_prefix", "/once/" }, { "kind", "non_idempotent" }, { "service", "plain" }, { "timeout_ms", 300000 } } }) }, { "services", json::array({ { { "name", "plain" } } }) }, { "tenants", json::array({ { { "name", "c-1" }, { "api_keys", { "k-1" } } } }) }, { "limits", { { "max_header_bytes", 16384 }, { "max_body_bytes", maxBodyBytes }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } } } });
        m_platform.put("servers", "i-1", { { "service", "plain" }, { "address", replica }, { "zone", "one" }, { "slots", 64 }, { "state", "serving" }, { "born", 1 } });
        m_loop = std::thread { [this] { m_context.run(); } };
        const auto settings = m_directory.path() / "boot.toml";
        const auto store = m_platform.address();
        std::ofstream { settings } << "node_name = \"host-1\"\nip = \"127.0.0.1\"\nzone = \"one\"\nregion = \"r\"\nport_range = [" << m_ports[2] << ", " << m_ports[2] << "]\n"
                                   << "[listen]\nfront = \"127.0.0.1:" << m_ports[0] << "\"\nready_address = \"127.0.0.1:" << m_ports[1] << "\"\n"
                                   << "[limits]\ncpu_share = 0.25\nmemory_mb = " << memoryMb << "\nmax_fds = " << maxDescriptors << "\n"
                                   << "[platform]\naddress = \"" << store.address << ":" << store.port << "\"\n";
        m_process.emplace(ProcessOptions { .program = (buildDirectory() / "packages/daemon/siskinspread").string(), .arguments = { "--platform", "--settings", settings.string() }, .outputFile = (m_directory.path() / "log").string() });
        REQUIRE(answersOrdinaryRequest());
    }

    ~HostUnderTest()
    {
        m_process.reset();
        m_context.stop();
        m_loop.join();
    }
    HostUnderTest(const HostUnderTest&) = delete;
    HostUnderTest& operator=(const HostUnderTest&) = delete;

    uint16_t port() const { return m_ports[0]; }

    /** Sends a request as an ordinary caller does, which comes back when it is refused. @return whether it was answered. */
    bool answersOrdinaryRequest() const
    {
        for (int attempt = 0; attempt < ordinaryTries; ++attempt) {
            const auto answer = exchange("POST /once/1 HTTP/1.1\r\n" + requestLines + "X-Attempt-Id: ordinary-" + std::to_string(attempt) + "\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello");
            if (answer.starts_with("HTTP/1.1 200") && answer.ends_with("ok")) {
                return true;
            }
            std::this_thread::sleep_for(milliseconds { 250 });
        }
        return false;
    }

    /** @return what the host answers to the bytes on a connection of their own, until its end or for as long as the caller waits. */
    std::string exchange(const std::string& bytes, std::chrono::seconds patience = std::chrono::seconds { 10 }) const
    {
        asio::io_context context;
        asio::ip::tcp::socket socket { context };
        asio::error_code error;
        socket.connect({ asio::ip::make_address("127.0.0.1"), port() }, error);
        std::string received;
        asio::async_write(socket, asio::buffer(bytes), [](const asio::error_code&, size_t) {});
        asio::async_read(socket, asio::dynamic_buffer(received), [](const asio::error_code&, size_t) {});
        context.run_for(patience);
        return received;
    }

    /** Until the process has read what still lies in the buffers of the system, as far as it is going to. */
    void waitUntilMemoryIsSteady() const
    {
        size_t peak = 0;
        for (int calm = 0, round = 0; calm < 10 && round < 100; ++round) {
            calm = peakMemoryKb() == peak ? calm + 1 : 0;
            peak = peakMemoryKb();
            std::this_thread::sleep_for(milliseconds { 100 });
        }
    }

    void checkBounds()
    {
        CHECK_FALSE(m_process->waitForEnd(milliseconds { 0 }));
        size_t descriptors = 0;
        for ([[maybe_unused]] const auto& entry : std::filesystem::directory_iterator("/proc/" + std::to_string(m_process->pid()) + "/fd")) {
            ++descriptors;
        }
        CHECK(descriptors <= maxDescriptors);
        // The sanitizers' shadow memory and quarantine are many times the memory of the process.
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
        CHECK(peakMemoryKb() <= memoryMb * 1024);
#endif
        CHECK(answersOrdinaryRequest());
        CHECK_FALSE(m_process->waitForEnd(milliseconds { 0 }));
    }

private:
    size_t peakMemoryKb() const
    {
        std::ifstream status { "/proc/" + std::to_string(m_process->pid()) + "/status" };
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmHWM:")) {
                return std::stoul(line.substr(6));
            }
        }
        return 0;
    }

    asio::io_context m_context;
    platform::test::StandInPlatform m_platform;
    PlainReplica m_replica;
    std::vector<uint16_t> m_ports;
    TempDirectory m_directory;
    std::thread m_loop;
    std::optional<ChildProcess> m_process;
};

/** A client of a crowd: sends what it has in pieces, as far as the host takes it, and stays open. */
struct CrowdClient {
    asio::ip::tcp::socket socket;
    std::string head;
    size_t bodyLeft { 0 };
    size_t piece { 0 };
    std::string bodyPiece; /**< Sent again and again; a chunk of its own where the body is in chunks. */
    std::string end;
    std::string out;
    bool closed { false };

    bool isDone() const { return closed || (out.empty() && bodyLeft == 0 && head.empty() && end.empty()); }

    /** @return whether the host took anything. */
    bool advance()
    {
        if (out.empty()) {
            out = std::exchange(head, {});
            if (out.empty() && bodyLeft > 0) {
                out = bodyPiece;
                bodyLeft -= std::min(bodyLeft, piece);
            }
            if (out.empty()) {
                out = std::exchange(end, {});
            }
        }
        asio::error_code error;
        const size_t sent = socket.write_some(asio::buffer(out), error);
        if (error && error != asio::error::would_block) {
            closed = true;
            return false;
        }
        out.erase(0, error ? 0 : sent);
        return !error && sent > 0;
    }
};

class Crowd {
public:
    Crowd(const HostUnderTest& host, size_t clients, const std::function<void(CrowdClient&)>& prepare)
    {
        for (size_t number = 0; number < clients; ++number) {
            m_clients.push_back({ .socket = asio::ip::tcp::socket { m_context } });
            auto& client = m_clients.back();
            asio::error_code error;
            client.socket.connect({ asio::ip::make_address("127.0.0.1"), host.port() }, error);
            client.socket.non_blocking(true, error);
            client.closed = static_cast<bool>(error);
            client.head = "POST /once/1 HTTP/1.1\r\n" + requestLines + "X-Attempt-Id: crowd-" + std::to_string(number) + "\r\n";
            prepare(client);
        }
    }

    /** Sends until all have sent everything or the host has taken nothing from anyone for a while. */
    void run(milliseconds pause = milliseconds { 0 })
    {
        auto lastProgress = steady_clock::now();
        const auto end = lastProgress + std::chrono::seconds { 30 };
        while (steady_clock::now() - lastProgress < std::chrono::seconds { 2 } && steady_clock::now() < end) {
            bool done = true;
            bool progressed = false;
            for (auto& client : m_clients) {
                if (!client.isDone()) {
                    done = false;
                    progressed = client.advance() || progressed;
                }
            }
            if (done) {
                return;
            }
            if (progressed) {
                lastProgress = steady_clock::now();
                std::this_thread::sleep_for(pause);
            } else {
                std::this_thread::sleep_for(milliseconds { 5 });
            }
        }
    }

private:
    asio::io_context m_context;
    std::vector<CrowdClient> m_clients;
};

void announced(CrowdClient& client, size_t length, size_t sent, size_t piece)
{
    client.head += "Content-Length: " + std::to_string(length) + "\r\n\r\n";
    client.bodyLeft = sent;
    client.piece = piece;
    client.bodyPiece = std::string(piece, 'b');
}

void chunked(CrowdClient& client, size_t sent, size_t chunk, bool ends)
{
    std::array<char, 16> size {};
    std::snprintf(size.data(), size.size(), "%zx\r\n", chunk);
    client.head += "Transfer-Encoding: chunked\r\n\r\n";
    client.bodyLeft = sent;
    client.piece = chunk;
    client.bodyPiece = size.data() + std::string(chunk, 'c') + "\r\n";
    client.end = ends ? "0\r\n\r\n" : "";
}

void play(size_t clients, const std::function<void(CrowdClient&)>& prepare, milliseconds pause = milliseconds { 0 })
{
    HostUnderTest host;
    Crowd crowd { host, clients, prepare };
    crowd.run(pause);
    host.waitUntilMemoryIsSteady();
    host.checkBounds();
}

constexpr size_t largePiece = 65536;

} // namespace

// Each case guards against a process that runs out of memory or descriptors, or that turns all others away, for clients that it cannot trust.

TEST_CASE("a crowd sends whole bodies of legal size at once")
{
    play(crowdSize, [](CrowdClient& client) { announced(client, maxBodyBytes, maxBodyBytes, largePiece); });
}

TEST_CASE("a crowd sends bodies of legal size piece by piece")
{
    play(
        crowdSize, [](CrowdClient& client) { announced(client, maxBodyBytes, maxBodyBytes, 8192); }, milliseconds { 5 });
}

TEST_CASE("a crowd stops one piece short of the end of bodies of legal size and stays")
{
    play(crowdSize, [](CrowdClient& client) { announced(client, maxBodyBytes, maxBodyBytes - largePiece, largePiece); });
}

TEST_CASE("a crowd sends bodies in large chunks and ends them")
{
    play(crowdSize, [](CrowdClient& client) { chunked(client, maxBodyBytes - largePiece, largePiece, true); });
}

TEST_CASE("a crowd sends bodies in large chunks and does not end them")
{
    play(crowdSize, [](CrowdClient& client) { chunked(client, maxBodyBytes - largePiece, largePiece, false); });
}

TEST_CASE("a crowd sends bodies in chunks of one byte and does not end them")
{
    play(crowdSize, [](CrowdClient& client) {
        chunked(client, maxBodyBytes / 2, 1, false);
        // Many chunks a piece: the host sees the same bytes, and the test does not wait for its own system calls.
        constexpr size_t together = 8192;
        std::string pieces;
        for (size_t number = 0; number < together; ++number) {
            pieces += client.bodyPiece;
        }
        client.bodyPiece = std::move(pieces);
        client.piece = together;
    });
}

TEST_CASE("a crowd announces bodies far over the limit and sends them")
{
    play(crowdSize, [](CrowdClient& client) { announced(client, 32 * maxBodyBytes, 32 * maxBodyBytes, largePiece); });
}

TEST_CASE("a crowd sends bodies over the limit without announcing them")
{
    play(crowdSize, [](CrowdClient& client) { chunked(client, 32 * maxBodyBytes, largePiece, false); });
}

TEST_CASE("a crowd opens more connections than the descriptors allow, with half a head each")
{
    play(connectionCrowd, [](CrowdClient&) {});
}

TEST_CASE("a crowd opens more connections than the descriptors allow and sends nothing")
{
    play(connectionCrowd, [](CrowdClient& client) { client.head.clear(); });
}

// The other side: a single request inside the limits is served in calm, however it is sent.
TEST_CASE("a single large body inside the limits is served, whole, in chunks and in chunks of one byte")
{
    HostUnderTest host;
    const auto head = "POST /once/1 HTTP/1.1\r\n" + requestLines + "Connection: close\r\nX-Attempt-Id: ";
    CHECK(host.exchange(head + "l-1\r\nContent-Length: " + std::to_string(maxBodyBytes) + "\r\n\r\n" + std::string(maxBodyBytes, 'b'), largeBodyPatience).starts_with("HTTP/1.1 200"));
    CHECK(host.exchange(head + "l-2\r\nTransfer-Encoding: chunked\r\n\r\n1fffff\r\n" + std::string(0x1fffff, 'b') + "\r\n0\r\n\r\n", largeBodyPatience).starts_with("HTTP/1.1 200"));
    std::string small = head + "l-3\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (size_t number = 0; number < maxBodyBytes; ++number) {
        small += "1\r\nb\r\n";
    }
    CHECK(host.exchange(small + "0\r\n\r\n", largeBodyPatience).starts_with("HTTP/1.1 200"));
    host.checkBounds();
}
