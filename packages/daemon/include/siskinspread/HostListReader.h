#pragma once

#include "siskinspread/CloudApi.h"
#include "siskinspread/HostContext.h"
#include "siskinspread/Timers.h"

#include <functional>
#include <string>
#include <vector>

namespace siskinspread {

/**
 * Reads the platform's list of live and leaving hosts on the two hosts of each failure domain that also read the reclaim
 * notices (docs/design/backend-servers.md). Thread safety: decide thread only.
 */
class HostListReader {
public:
    struct Parts {
        Timers& timers;
        std::function<std::vector<std::string>()> domainHosts; /**< Live hosts of the own failure domain, this one included. */
        std::function<void(const std::vector<ListedHost>&)> onList;
    };

    HostListReader(HostContext&, Parts, CloudApiOptions);

    /** Begins to read; without the address of a list it does nothing. */
    void start();

private:
    void tick();
    void onRead(const TransferEnded&);

    HostContext& m_context;
    Parts m_parts;
    const CloudApiOptions m_list;
    uint32_t m_failures { 0 };
    bool m_reading { false };
    MonotonicTime m_nextReadAt {};
};

} // namespace siskinspread
