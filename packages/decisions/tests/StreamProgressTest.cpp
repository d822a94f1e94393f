#include "siskinspread/StreamProgress.h"

#include <doctest/doctest.h>

namespace siskinspread {

using namespace std::chrono_literals;

TEST_CASE("a stream stalls without a first token, and between tokens, and not while tokens come")
{
    constexpr MonotonicTime start { 1h };
    const StreamProgressOptions options { .firstToken = 5s, .betweenTokens = 1s };
    StreamProgress progress = beginProgress(start);
    CHECK_FALSE(isStalled(progress, options, start + 4999ms));
    CHECK(isStalled(progress, options, start + 5s));
    for (int i = 1; i <= 20; ++i) {
        recordProgress(progress, 1, start + i * 900ms);
        CHECK_FALSE(isStalled(progress, options, start + i * 900ms + 999ms));
    }
    CHECK(progressDeadline(progress, options) == start + 19s);
    CHECK(isStalled(progress, options, start + 19s));
    CHECK(progress.tokens == 20);
}

} // namespace siskinspread
