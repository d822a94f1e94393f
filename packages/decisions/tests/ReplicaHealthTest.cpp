#include "siskinspread/ReplicaHealth.h"

#include <doctest/doctest.h>

using namespace siskinspread;
using std::chrono::milliseconds;

namespace {

const MonotonicTime start { std::chrono::hours { 1 } };
const ReplicaHealthOptions options;

} // namespace

TEST_CASE("failures in a row leave a replica out, for longer each time, until it answers")
{
    ReplicaHealth health;
    noteFailure(health, options, start);
    noteFailure(health, options, start);
    CHECK(isUsable(health, start));
    noteFailure(health, options, start);
    CHECK_FALSE(isUsable(health, start + options.firstHoldOut - milliseconds { 1 }));
    CHECK(isUsable(health, start + options.firstHoldOut));
    noteFailure(health, options, start + options.firstHoldOut);
    CHECK_FALSE(isUsable(health, start + options.firstHoldOut * 2));
    for (int i = 0; i < 20; ++i) {
        noteSuccess(health, options);
    }
    CHECK(health.holdOut == milliseconds { 0 });
}

TEST_CASE("errors that all replicas have now and then leave none out")
{
    ReplicaHealth health;
    for (int i = 0; i < 700; ++i) {
        if (i % 7 == 0) {
            noteFailure(health, options, start + milliseconds { i });
        } else {
            noteSuccess(health, options);
        }
        CHECK(isUsable(health, start + milliseconds { i }));
    }
}

TEST_CASE("a replica that is four times slower is known as such after some requests, and recovers")
{
    ReplicaHealth health;
    for (int i = 0; i < 20; ++i) {
        noteFirstByte(health, options, milliseconds { 400 }, milliseconds { 100 });
    }
    CHECK(health.slowness > 3);
    for (int i = 0; i < 30; ++i) {
        noteFirstByte(health, options, milliseconds { 100 }, milliseconds { 100 });
    }
    CHECK(health.slowness < 1.2);
}
