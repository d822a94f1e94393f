#include "siskinspread/LogWriter.h"

#include "HostFixture.h"

#include <doctest/doctest.h>

namespace siskinspread {

namespace {

    constexpr int statusCreated = 201;

    struct LogWriterFixture : HostFixture {
        LogWriter writer { context, { .url = "http://127.0.0.1:1" } };

        void appendIntent(uint64_t sequence)
        {
            writer.append(IntentEntry { .request = { .incarnation = context.incarnation, .sequence = sequence }, .key = { .customer = "c", .text = std::to_string(sequence) } });
        }
    };

} // namespace

TEST_CASE_FIXTURE(LogWriterFixture, "an intent that came too soon after a write is written at nextTick")
{
    CHECK_FALSE(writer.nextTick());
    appendIntent(1);
    REQUIRE(platform.open.size() == 1); // nothing was written before, so nothing is to be waited for
    answer(*platform.take("log/"), statusCreated, {});
    CHECK_FALSE(writer.nextTick());

    appendIntent(2);
    CHECK(platform.open.empty());
    const auto next = writer.nextTick();
    REQUIRE(next);
    context.now = *next - std::chrono::nanoseconds(1);
    writer.tick();
    CHECK(platform.open.empty());
    context.now = *next;
    writer.tick();
    CHECK(platform.open.size() == 1);
    CHECK_FALSE(writer.nextTick()); // the answer wakes the host
}

} // namespace siskinspread
