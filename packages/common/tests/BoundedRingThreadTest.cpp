#include "siskinspread/BoundedRing.h"

#include <doctest/doctest.h>

#include <thread>

namespace siskinspread {

TEST_CASE("a full ring refuses the message and leaves it with the caller")
{
    BoundedRing<int> ring { 1 };
    auto first = std::make_unique<int>(1);
    auto second = std::make_unique<int>(2);
    CHECK(ring.tryPush(first));
    CHECK_FALSE(first);
    CHECK_FALSE(ring.tryPush(second));
    REQUIRE(second);
    CHECK(*ring.tryPop() == 1);
    CHECK_FALSE(ring.tryPop());
}

TEST_CASE("every message is popped once and in order by another thread")
{
    constexpr int count = 20000;
    BoundedRing<int> ring { 64 };
    std::thread producer { [&ring] {
        for (int i = 0; i < count; ++i) {
            auto message = std::make_unique<int>(i);
            while (!ring.tryPush(message)) {
                std::this_thread::yield();
            }
        }
    } };
    int next = 0;
    while (next < count) {
        const auto message = ring.tryPop();
        if (!message) {
            std::this_thread::yield();
            continue;
        }
        REQUIRE(*message == next);
        ++next;
    }
    producer.join();
    CHECK_FALSE(ring.tryPop());
}

TEST_CASE("the consumer is woken after each accepted push and after no other")
{
    int wakes = 0;
    BoundedRing<int> ring { 1, [&wakes] { ++wakes; } };
    auto first = std::make_unique<int>(1);
    auto second = std::make_unique<int>(2);
    CHECK(ring.tryPush(first));
    CHECK_FALSE(ring.tryPush(second));
    CHECK(wakes == 1);
}

} // namespace siskinspread
