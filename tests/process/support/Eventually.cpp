#include "Eventually.h"

#include <chrono>
#include <stdexcept>
#include <thread>

namespace siskinspread::testing {
namespace {

    constexpr std::chrono::milliseconds pollInterval { 20 };

} // namespace

void eventually(const std::string& description, const std::function<bool()>& condition, int polls)
{
    for (int poll = 0; poll < polls; ++poll) {
        if (condition()) {
            return;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    throw std::runtime_error("never became true: " + description);
}

} // namespace siskinspread::testing
