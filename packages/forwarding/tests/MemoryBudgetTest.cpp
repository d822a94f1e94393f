#include "siskinspread/MemoryBudget.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <vector>

using namespace siskinspread;

// Guards against an account that drifts: what is never given back would in the end refuse every caller.
TEST_CASE("the account is the sum of what its owners hold, whatever they do")
{
    CHECK(rc::check("sum", [] {
        auto budget = std::make_shared<MemoryBudget>(MemoryBudgetOptions { .reservableBytes = 1000, .unreservedBytes = 500 });
        std::vector<HeldBytes> owners;
        for (int step = 0; step < 200; ++step) {
            const auto owner = owners.empty() ? 0 : *rc::gen::inRange<size_t>(0, owners.size());
            const auto bytes = *rc::gen::inRange<size_t>(1, 400);
            switch (owners.empty() ? 0 : *rc::gen::inRange(0, 6)) {
            case 0:
                owners.emplace_back(budget);
                break;
            case 1:
                owners[owner].setUnreserved(bytes);
                break;
            case 2: {
                const bool hadRoom = budget->reservedBytes() + bytes <= 1000 || budget->reservedBytes() == 0;
                RC_ASSERT(owners[owner].reserve(bytes) == hadRoom);
                break;
            }
            case 3:
                owners.push_back(owners[owner].takeReservation());
                break;
            case 4:
                owners[owner].clear();
                break;
            default:
                owners.erase(owners.begin() + static_cast<std::ptrdiff_t>(owner));
                break;
            }
            size_t held = 0;
            for (const auto& one : owners) {
                held += one.bytes();
            }
            RC_ASSERT(held == budget->reservedBytes() + budget->unreservedBytes());
        }
        owners.clear();
        RC_ASSERT(budget->reservedBytes() == 0);
        RC_ASSERT(budget->unreservedBytes() == 0);
    }));
}

// Guards against a body inside the limits that no amount of calm would let in, since it is larger than the whole share for bodies.
TEST_CASE("a single large body always fits")
{
    auto budget = std::make_shared<MemoryBudget>(MemoryBudgetOptions { .reservableBytes = 1000 });
    HeldBytes first { budget };
    CHECK(first.reserve(4000));
    HeldBytes second { budget };
    CHECK_FALSE(second.reserve(1));
    first.clear();
    CHECK(second.reserve(1));
}

TEST_CASE("an owner without a budget holds what it likes")
{
    HeldBytes held;
    CHECK(held.reserve(1U << 30U));
    held.setUnreserved(1U << 30U);
    CHECK(held.bytes() == 0);
}
