#include "siskinspread/MembershipTable.h"

#include <algorithm>
#include <tuple>
#include <xxhash.h>

namespace siskinspread {

bool isSameProcess(const MemberRecord& a, const MemberRecord& b)
{
    return a.address == b.address && a.generation == b.generation && a.incarnation == b.incarnation;
}

bool supersedes(const MemberRecord& a, const MemberRecord& b)
{
    const bool leftA = a.status == MemberStatus::Left;
    const bool leftB = b.status == MemberStatus::Left;
    return std::tie(a.generation, a.incarnation, leftA, a.refutation, a.status)
        > std::tie(b.generation, b.incarnation, leftB, b.refutation, b.status);
}

bool merge(MembershipTable& table, const MemberRecord& record, MonotonicTime now)
{
    const auto entry = table.entries.find(record.address);
    if (entry == table.entries.end()) {
        if (!isPresent(record.status)) {
            return false;
        }
        table.entries.emplace(record.address, MemberEntry { .record = record, .since = now, .heardAt = std::nullopt });
    } else if (supersedes(record, entry->second.record)) {
        entry->second.record = record;
        entry->second.since = now;
    } else {
        return false;
    }
    table.rumours[record.address] = 0;
    return true;
}

std::vector<MemberRecord> takeRumours(MembershipTable& table, size_t maxRecords, uint32_t maxTimes)
{
    std::vector<std::pair<uint32_t, std::string>> order;
    for (const auto& [address, times] : table.rumours) {
        order.emplace_back(times, address);
    }
    std::sort(order.begin(), order.end());
    order.resize(std::min(order.size(), maxRecords));
    std::vector<MemberRecord> records;
    for (const auto& [times, address] : order) {
        const auto entry = table.entries.find(address);
        if (entry != table.entries.end()) {
            records.push_back(entry->second.record);
        }
        if (times + 1 >= maxTimes || entry == table.entries.end()) {
            table.rumours.erase(address);
        } else {
            ++table.rumours[address];
        }
    }
    return records;
}

std::vector<MemberRecord> recordsOfDomain(const MembershipTable& table, const std::string& failureDomain)
{
    std::vector<MemberRecord> records;
    for (const auto& [address, entry] : table.entries) {
        if (entry.record.failureDomain == failureDomain) {
            records.push_back(entry.record);
        }
    }
    return records;
}

uint64_t digestOf(const MemberRecord& record)
{
    if (!isPresent(record.status)) {
        return 0;
    }
    const uint64_t numbers = (uint64_t { record.generation } << 32U) ^ (uint64_t { record.refutation } << 8U) ^ static_cast<uint64_t>(record.status);
    return XXH64(record.address.data(), record.address.size(), XXH64(record.incarnation.data(), record.incarnation.size(), numbers));
}

std::map<std::string, uint64_t> digestsByDomain(const MembershipTable& table)
{
    std::map<std::string, uint64_t> digests;
    for (const auto& [address, entry] : table.entries) {
        digests[entry.record.failureDomain] ^= digestOf(entry.record);
    }
    return digests;
}

void forgetDead(MembershipTable& table, MonotonicTime before)
{
    std::erase_if(table.entries, [before](const auto& item) {
        return !isPresent(item.second.record.status) && item.second.since < before;
    });
}

} // namespace siskinspread
