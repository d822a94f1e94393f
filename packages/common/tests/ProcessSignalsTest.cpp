#include "siskinspread/ProcessSignals.h"

#include <doctest/doctest.h>

#include <csignal>

using namespace siskinspread;

namespace {

volatile std::sig_atomic_t handled = 0;

extern "C" void countSignal(int)
{
    handled = handled + 1;
}

} // namespace

// Guards against processes that a SIGHUP ends while they are still starting.
TEST_CASE("a signal that arrives before its handler is installed is handled afterwards")
{
    handled = 0;
    blockProcessSignals();
    std::raise(SIGHUP);
    auto* before = std::signal(SIGHUP, countSignal);
    CHECK(handled == 0);
    unblockProcessSignals();
    CHECK(handled == 1);
    std::signal(SIGHUP, before);
}
