#pragma once

#include "siskinspread/PlannedStop.h"

#include <string>

namespace siskinspread {

/** Path on the peer port: POST begins the planned stop of this host, GET only tells its state. */
constexpr const char* drainPath = "/operator/drain";

/** Answers an operator's drain command. Thread safety: decide thread only. */
class DrainRoute {
public:
    DrainRoute(HostContext&, PlannedStop&);

    /** @return whether the request was a drain command, which is then answered. */
    bool handle(const IncomingRequest&);

private:
    std::string stateJson(bool wasDraining) const;

    HostContext& m_context;
    PlannedStop& m_stop;
};

} // namespace siskinspread
