#include "siskinspread/DutyRank.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace siskinspread {

namespace {

    using Score = std::pair<uint64_t, std::string>;

    Score scoreOf(std::string_view duty, const std::string& host)
    {
        return { XXH64(host.data(), host.size(), XXH64(duty.data(), duty.size(), 0)), host };
    }

} // namespace

std::optional<uint32_t> dutyRank(std::string_view duty, const std::string& self, const std::vector<std::string>& hosts, uint32_t candidates)
{
    if (std::find(hosts.begin(), hosts.end(), self) == hosts.end()) {
        return std::nullopt;
    }
    const Score own = scoreOf(duty, self);
    const auto before = std::count_if(hosts.begin(), hosts.end(), [&](const std::string& host) { return scoreOf(duty, host) < own; });
    if (before >= static_cast<std::ptrdiff_t>(candidates)) {
        return std::nullopt;
    }
    return static_cast<uint32_t>(before);
}

} // namespace siskinspread
