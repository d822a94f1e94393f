#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace siskinspread {

/** Highest random weight of a node for a key (D. Thaler, C. Ravishankar, 1998). Thread safety: reentrant. */
uint64_t rendezvousWeight(std::string_view key, std::string_view node);

/** @return the nodes by falling weight for `key`; equal on every host for the same set. Thread safety: reentrant. */
std::vector<std::string> rendezvousOrder(std::string_view key, std::vector<std::string> nodes);

} // namespace siskinspread
