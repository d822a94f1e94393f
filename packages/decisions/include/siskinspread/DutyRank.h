#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace siskinspread {

/**
 * Ranks hosts for a duty by rendezvous hashing, so that the duties spread over the hosts and a host's rank moves little
 * when others come and go.
 * @param hosts the live hosts that may hold the duty, in any order.
 * @param candidates how many of them stand for it.
 * @return the rank of `self`, counted from zero; nothing when it does not stand. Thread safety: reentrant.
 */
std::optional<uint32_t> dutyRank(std::string_view duty, const std::string& self, const std::vector<std::string>& hosts, uint32_t candidates);

} // namespace siskinspread
