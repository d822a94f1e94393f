#pragma once

#include "siskinspread/BackendServerStatus.h"
#include "siskinspread/PoolView.h"

#include "peers.pb.h"

#include <optional>
#include <string>
#include <vector>

namespace siskinspread {

/** Who sends news of backend servers. */
struct NewsSender {
    std::string incarnation;
    std::string failureDomain;
};

/** An observation and the load that was last known with it. */
struct ObservedServer {
    ServerObservation observation;
    std::optional<BackendLoadReport> load;
};

/** @return the observations as heartbeats, each of which fits a datagram. Thread safety: reentrant. */
std::vector<std::string> observationDatagrams(const NewsSender&, const std::vector<ObservedServer>&, MonotonicTime now);

/** @return the leave sign as a heartbeat. Thread safety: reentrant. */
std::string leaveDatagram(const NewsSender&, const LeaveSign&);

/** @return the observations of a message; those without an observer, a sequence or a server are left out. Thread safety: reentrant. */
std::vector<ObservedServer> observationsOf(const schema::BackendNewsMessage&, MonotonicTime now);

} // namespace siskinspread
