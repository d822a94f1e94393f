#pragma once

#include "siskinspread/BackendServerStatus.h"
#include "siskinspread/CloudApi.h"
#include "siskinspread/HostContext.h"
#include "siskinspread/Timers.h"

#include <functional>
#include <vector>

namespace siskinspread {

/**
 * Asks the cloud API whether the hosts of backend servers that nobody reaches have ended (docs/design/backend-servers.md).
 * Asks only while there are such servers. Thread safety: decide thread only.
 */
class EndedServers {
public:
    struct Parts {
        Timers& timers;
        std::function<bool()> isReader; /**< Whether this host asks for its failure domain. */
        std::function<std::vector<ServerEnded>()> unreachable; /**< The runs that nobody reaches. */
        std::function<void(const ServerEnded&)> onEnded;
    };

    EndedServers(HostContext&, Parts, CloudApiOptions);

    /** Begins to ask; without the address of a cloud API it does nothing. */
    void start();

private:
    void tick();
    void onRead(const std::vector<ServerEnded>& asked, const TransferEnded&);

    HostContext& m_context;
    Parts m_parts;
    const CloudApiOptions m_cloud;
    bool m_reading { false };
    MonotonicTime m_nextReadAt {};
};

} // namespace siskinspread
