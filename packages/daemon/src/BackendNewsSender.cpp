#include "siskinspread/BackendNewsSender.h"

#include "siskinspread/PeerCalls.h"

namespace siskinspread {

BackendNewsSender::BackendNewsSender(HostContext& context, DatagramSender& heartbeats)
    : m_context(context)
    , m_heartbeats(heartbeats)
    , m_self { .incarnation = context.incarnation.text, .failureDomain = context.settings.host().failure_domain() }
{
}

void BackendNewsSender::sendObservations(const std::vector<std::string>& hosts, const std::vector<ObservedServer>& observed)
{
    for (const std::string& datagram : observationDatagrams(m_self, observed, m_context.now)) {
        for (const std::string& host : hosts) {
            send(host, datagram);
        }
    }
}

void BackendNewsSender::sendLeave(const std::vector<std::string>& hosts, const LeaveSign& sign)
{
    const std::string datagram = leaveDatagram(m_self, sign);
    for (const std::string& host : hosts) {
        send(host, datagram);
    }
}

void BackendNewsSender::send(const std::string& host, const std::string& bytes)
{
    const schema::PeerSettings* named = findPeer(m_context.settings, host);
    const schema::PeerSettings* peer = named ? named : findPeer(m_context.settings, hostOf({ host }));
    if (!peer) {
        return;
    }
    auto datagram = std::make_unique<Datagram>(Datagram { .address = peer->address() + ":" + std::to_string(peer->heartbeat_port()), .bytes = bytes });
    if (m_heartbeats.trySend(datagram)) {
        m_context.metrics.countBackendNews(NewsDirection::Sent, bytes.size());
    } else {
        m_context.metrics.countRingRefusal(Ring::DecideToPeers); // sharing repeats what was lost
    }
}

} // namespace siskinspread
