#pragma once

#include "siskinspread/ForwardingSettings.h"
#include "siskinspread/LastReason.h"
#include "siskinspread/PlatformAdapter.h"

#include <memory>

namespace siskinspread {

/**
 * A host that forwards callers' requests to the replicas of a platform: its loop, its connections to the store, its peers and
 * its duties.
 * Stops on SIGTERM and SIGINT. Thread safety: run is called once, by one thread, which becomes the loop thread.
 */
class ForwardingHost {
public:
    ForwardingHost(ForwardingSettings, std::unique_ptr<PlatformAdapter>);
    ForwardingHost(const ForwardingHost&) = delete;
    ForwardingHost& operator=(const ForwardingHost&) = delete;
    ~ForwardingHost();

    /** Serves until a stop is requested and what is in progress has ended or the grace is over. @return false when it could not start. */
    bool run(LastReason& reason);

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace siskinspread
