#pragma once

#include "siskinspread/Membership.h"

#include "peers.pb.h"

#include <optional>
#include <string>

namespace siskinspread {

/** @return a membership message with the sender's advert, in the schema's form. Thread safety: reentrant. */
schema::HeartbeatMessage heartbeatMessage(const MembershipMessage&, const schema::RevisionAdvertMessage& advert);

/** @return the membership message in it, or nothing when it is malformed. Thread safety: reentrant. */
std::optional<MembershipMessage> membershipMessage(const schema::HeartbeatMessage&);

} // namespace siskinspread
