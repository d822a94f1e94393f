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

TEST_CASE("every message pushed by several threads is popped once")
{
    constexpr int perThread = 10000;
    BoundedRing<int> ring { 64 };
    auto produce = [&ring] {
        for (int i = 0; i < perThread; ++i) {
            auto message = std::make_unique<int>(1);
            while (!ring.tryPush(message)) {
                std::this_thread::yield();
            }
        }
    };
    std::thread a { produce };
    std::thread b { produce };
    int sum = 0;
    while (sum < 2 * perThread) {
        if (auto message = ring.tryPop()) {
            sum += *message;
        } else {
            std::this_thread::yield();
        }
    }
    a.join();
    b.join();
    CHECK(sum == 2 * perThread);
}

} // namespace siskinspread
