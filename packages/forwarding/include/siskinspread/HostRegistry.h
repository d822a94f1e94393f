#pragma once

#include "siskinspread/DocumentList.h"
#include "siskinspread/PeerExchange.h"
#include "siskinspread/PlatformAdapter.h"
#include "siskinspread/StoreCalls.h"

#include <asio.hpp>

namespace siskinspread {

/** Enters this host into the store and reads where the others are; from then on hosts find each other by their datagrams. Loop thread only. */
class HostRegistry {
public:
    HostRegistry(asio::io_context&, const ForwardingSettings&, const PlatformAdapter&, StoreCalls&, PeerExchange&, HostLog&, ForwardingMetrics&, uint64_t incarnation);

    void start() { enter(); }

private:
    void enter();
    void replace();
    void list();
    void readPage(std::string_view after);
    void onPage(const TransferEnded&);
    void useList(bool complete);
    void later(std::chrono::milliseconds delay, void (HostRegistry::*action)());

    const ForwardingSettings& m_settings;
    const PlatformAdapter& m_adapter;
    StoreCalls& m_calls;
    PeerExchange& m_peers;
    HostLog& m_log;
    ForwardingMetrics& m_metrics;
    asio::steady_timer m_timer;
    std::chrono::milliseconds m_pauseIfIncomplete; /**< Doubled with each incomplete list. */
    nlohmann::json m_content;
    DocumentList m_list; /**< That is being read. */
    bool m_complete { true }; /**< The newest list was read to its end. */
};

} // namespace siskinspread
