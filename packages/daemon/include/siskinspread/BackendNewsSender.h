#pragma once

#include "siskinspread/BackendNews.h"
#include "siskinspread/HeartbeatChannel.h"
#include "siskinspread/HostContext.h"

#include <string>
#include <vector>

namespace siskinspread {

/**
 * Sends news of backend servers to other entry hosts, as heartbeats, and counts it. Hosts are given by name or by
 * incarnation; one that is not in the settings is left out. What is lost is mended by later news.
 * Thread safety: decide thread only.
 */
class BackendNewsSender {
public:
    BackendNewsSender(HostContext&, DatagramSender&);

    void sendObservations(const std::vector<std::string>& hosts, const std::vector<ObservedServer>&);
    void sendLeave(const std::vector<std::string>& hosts, const LeaveSign&);

private:
    void send(const std::string& host, const std::string& bytes);

    HostContext& m_context;
    DatagramSender& m_heartbeats;
    const NewsSender m_self;
};

} // namespace siskinspread
