#pragma once

#include "siskinspread/ConfigurationFeed.h"

#include "peers.pb.h"

#include <string>

namespace siskinspread {

/** @return the message in the form that JSON-RPC carries. Thread safety: reentrant. */
std::string peerMessageJson(const google::protobuf::Message&);

/** Reads a message from JSON-RPC. @return false when the text is not of this type. Thread safety: reentrant. */
bool readPeerMessage(const std::string& json, google::protobuf::Message&);

/** @return what this host tells others about its configuration. Thread safety: reentrant. */
schema::RevisionAdvertMessage advertMessage(const std::string& host, const std::string& failureDomain, const RevisionAdvert&);

/** @return the advert as an event of the feed of a host in `ownDomain`. Thread safety: reentrant. */
RevisionHeard heardAdvert(const schema::RevisionAdvertMessage&, const std::string& ownDomain);

} // namespace siskinspread
