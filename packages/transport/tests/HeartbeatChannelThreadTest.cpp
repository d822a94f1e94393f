#include "siskinspread/HeartbeatChannel.h"

#include <doctest/doctest.h>

#include <semaphore>

namespace siskinspread {

namespace {

    struct Endpoint {
        std::counting_semaphore<> arrived { 0 };
        HeartbeatChannel channel { { .address = "127.0.0.1" }, [this] { arrived.release(); } };
        std::string address;

        Endpoint()
        {
            LastReason reason;
            const auto port = channel.start(reason);
            REQUIRE(port);
            address = "127.0.0.1:" + std::to_string(*port);
        }

        void send(const std::string& to, std::string bytes)
        {
            auto datagram = std::make_unique<Datagram>(Datagram { .address = to, .bytes = std::move(bytes) });
            REQUIRE(channel.trySend(datagram));
        }

        Datagram wait()
        {
            arrived.acquire();
            const auto datagram = channel.next();
            REQUIRE(datagram);
            return *datagram;
        }
    };

} // namespace

TEST_CASE("datagrams arrive whole and name their sender; an address without meaning is lost, not fatal")
{
    Endpoint first;
    Endpoint second;
    first.send("nowhere", "lost");
    first.send("127.0.0.1:99999", "lost");
    const std::string binary { "a\0b\xff", 4 };
    first.send(second.address, binary);
    const Datagram arrived = second.wait();
    CHECK(arrived.bytes == binary);
    CHECK(arrived.address == first.address);
    second.send(arrived.address, "answer");
    CHECK(first.wait().bytes == "answer");
    CHECK(first.channel.refusedCount() == 0);
}

TEST_CASE("a port in use is reported")
{
    const Endpoint first;
    const auto port = static_cast<uint16_t>(std::stoul(first.address.substr(first.address.rfind(':') + 1)));
    HeartbeatChannel second { { .address = "127.0.0.1", .port = port }, [] {} };
    LastReason reason;
    CHECK_FALSE(second.start(reason));
    CHECK(reason.code == ResultCode::InternalError);
}

} // namespace siskinspread
