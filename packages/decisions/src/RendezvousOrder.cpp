#include "RendezvousOrder.h"

#include <algorithm>
#include <xxhash.h>

namespace siskinspread {

uint64_t rendezvousWeight(std::string_view key, std::string_view node)
{
    return XXH64(node.data(), node.size(), XXH64(key.data(), key.size(), 0));
}

std::vector<std::string> rendezvousOrder(std::string_view key, std::vector<std::string> nodes)
{
    std::sort(nodes.begin(), nodes.end(), [key](const std::string& a, const std::string& b) {
        const uint64_t weightA = rendezvousWeight(key, a);
        const uint64_t weightB = rendezvousWeight(key, b);
        return weightA != weightB ? weightA > weightB : a < b;
    });
    return nodes;
}

} // namespace siskinspread
