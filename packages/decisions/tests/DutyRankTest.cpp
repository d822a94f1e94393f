#include "siskinspread/DutyRank.h"

#include <doctest/doctest.h>

#include <set>

namespace siskinspread {

TEST_CASE("the live hosts rank differently for each duty, and only the first stand")
{
    const std::vector<std::string> hosts { "a", "b", "c", "d" };
    std::set<std::string> firsts;
    for (const char* duty : { "one", "two", "three", "four", "five", "six", "seven", "eight" }) {
        std::set<uint32_t> ranks;
        for (const std::string& host : hosts) {
            if (const auto rank = dutyRank(duty, host, hosts, 3)) {
                CHECK(ranks.insert(*rank).second);
                if (*rank == 0) {
                    firsts.insert(host);
                }
            }
        }
        CHECK(ranks == std::set<uint32_t> { 0, 1, 2 });
    }
    CHECK(firsts.size() > 1);
    CHECK_FALSE(dutyRank("one", "e", hosts, 3));
}

} // namespace siskinspread
