#pragma once

#include "siskinspread/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace siskinspread {

/** What is believed of a host. Of one process, a later enumerator supersedes an earlier one. */
enum class MemberStatus : uint8_t {
    Alive,
    Suspect,
    Dead,
    Left, /**< It said itself that it stops. */
};

/** A statement about the process at an address. */
struct MemberRecord {
    std::string address; /**< IP:port of its heartbeats; the key. */
    std::string host;
    std::string failureDomain;
    std::string incarnation; /**< Text of its incarnation id. */
    uint32_t generation { 1 }; /**< Orders the processes at one address; raised above what a process hears of others there. */
    uint32_t refutation { 0 }; /**< Raised by the process itself when it hears that it is suspected or dead. */
    MemberStatus status { MemberStatus::Alive };
    bool operator==(const MemberRecord&) const = default;
};

/** @return whether both are about the same process. Thread safety: reentrant. */
bool isSameProcess(const MemberRecord& a, const MemberRecord& b);

/**
 * A total order over the statements about one address, so that every host that has heard the same statements believes
 * the same, in whatever order they arrived. Thread safety: reentrant.
 */
bool supersedes(const MemberRecord& a, const MemberRecord& b);

/** A record and since when it is held. */
struct MemberEntry {
    MemberRecord record;
    MonotonicTime since;
    std::optional<MonotonicTime> heardAt; /**< Last message received from it directly. */
};

/** What a host knows of all others, by address. */
struct MembershipTable {
    std::map<std::string, MemberEntry> entries;
    std::map<std::string, uint32_t> rumours; /**< Address of each record still being passed on; how often it was. */
};

/**
 * Takes a record in and passes it on if it is news. A dead or departed process that was not known is not news.
 * @return whether the table changed. Thread safety: safe while no other thread uses `table`.
 */
bool merge(MembershipTable& table, const MemberRecord& record, MonotonicTime now);

/**
 * Takes the records that were passed on least often, and counts them.
 * @param maxRecords the most to return.
 * @param maxTimes after which a record is no longer passed on.
 * Thread safety: safe while no other thread uses `table`.
 */
std::vector<MemberRecord> takeRumours(MembershipTable& table, size_t maxRecords, uint32_t maxTimes);

/** @return the records of a failure domain, dead and departed ones included. Thread safety: reentrant. */
std::vector<MemberRecord> recordsOfDomain(const MembershipTable& table, const std::string& failureDomain);

/** @return a digest of the record, to be combined by exclusive or; zero when it does not count as a member. Thread safety: reentrant. */
uint64_t digestOf(const MemberRecord& record);

/** @return the combined digest of each failure domain in the table. Thread safety: reentrant. */
std::map<std::string, uint64_t> digestsByDomain(const MembershipTable& table);

/** Forgets processes that have been dead or gone for a while. Thread safety: safe while no other thread uses `table`. */
void forgetDead(MembershipTable& table, MonotonicTime before);

/** @return whether the status counts as a member. Thread safety: reentrant. */
constexpr bool isPresent(MemberStatus status)
{
    return status == MemberStatus::Alive || status == MemberStatus::Suspect;
}

} // namespace siskinspread
