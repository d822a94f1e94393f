#include "siskinspread/CandidateServers.h"

#include <doctest/doctest.h>

#include <set>

namespace siskinspread {

TEST_CASE("candidates differ, and a dispatch takes the first that is live and was not tried")
{
    const MonotonicTime now { std::chrono::hours { 1 } };
    PoolView view;
    for (const char* name : { "a", "b", "c", "d" }) {
        upsertBackendServer(view, { .name = name, .defaultSlots = 10 });
        setBackendStatus(*findBackendServer(view, name), BackendStatus::Live, now - std::chrono::hours { 1 });
    }
    refreshPoolView(view, now);
    const auto candidates = chooseCandidates(view, { .deadline = now + std::chrono::seconds { 10 }, .seed = 7 }, {}, 3, now);
    REQUIRE(std::set<std::string>(candidates.begin(), candidates.end()).size() == 3);
    const auto chosen = [&](const std::vector<std::string>& excluded) {
        const auto index = firstUsable(view, candidates, excluded, now);
        return index ? view.servers[*index].description.name : std::string {};
    };
    CHECK(chosen({}) == candidates[0]);
    CHECK(chosen({ candidates[0] }) == candidates[1]);
    setBackendStatus(*findBackendServer(view, candidates[1]), BackendStatus::Leaving, now);
    CHECK(chosen({ candidates[0] }) == candidates[2]);
    CHECK(chosen(candidates).empty());
}

} // namespace siskinspread
