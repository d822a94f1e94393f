#pragma once

#include "siskinspread/Membership.h"

namespace siskinspread {

/** @return the records of a domain, the own one included where it belongs. Thread safety: const. */
std::vector<MemberRecord> knownRecords(const MembershipState& state, const std::string& failureDomain);

/** Appends a message with sender, views and rumours. Thread safety: safe while no other thread uses `state`. */
void sendMessage(MembershipState& state, const MembershipOptions& options, const std::string& address, MembershipBody body, MonotonicTime now,
    std::vector<MembershipAction>& actions);

/** Takes a record in; one about this host is refuted. Thread safety: safe while no other thread uses `state`. */
void takeRecord(MembershipState& state, const MembershipOptions& options, const MemberRecord& record, MonotonicTime now,
    std::vector<MembershipAction>& actions);

/** Takes sender, views and rumours of a message in. Thread safety: safe while no other thread uses `state`. */
void takeHeader(MembershipState& state, const MembershipOptions& options, const MembershipMessage& message, MonotonicTime now,
    std::vector<MembershipAction>& actions);

} // namespace siskinspread
