#pragma once

#include "siskinspread/Time.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace siskinspread {

/** The cloud API's word that it takes a host back. */
struct ReclaimNotice {
    uint64_t sequence { 0 }; /**< Grows from notice to notice of one cloud API. */
    std::string host;
    WallTime at; /**< When it was given, by the cloud's clock. */
    std::chrono::seconds lead { 0 }; /**< From then to the end of the host. */
};

} // namespace siskinspread
