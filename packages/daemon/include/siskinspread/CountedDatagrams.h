#pragma once

#include "siskinspread/HeartbeatChannel.h"
#include "siskinspread/Metrics.h"

namespace siskinspread {

/** Counts the datagrams that another sender takes. Thread safety: as the other sender. */
class CountedDatagrams final : public DatagramSender {
public:
    CountedDatagrams(DatagramSender& sender, Metrics& metrics)
        : m_sender(sender)
        , m_metrics(metrics)
    {
    }

    bool trySend(std::unique_ptr<Datagram>& datagram) override
    {
        const size_t bytes = datagram->bytes.size();
        if (!m_sender.trySend(datagram)) {
            return false;
        }
        m_metrics.countDatagram(NewsDirection::Sent, bytes);
        return true;
    }

private:
    DatagramSender& m_sender;
    Metrics& m_metrics;
};

} // namespace siskinspread
