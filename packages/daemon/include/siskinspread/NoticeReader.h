#pragma once

#include "siskinspread/CloudApi.h"
#include "siskinspread/HostContext.h"
#include "siskinspread/NoticeReading.h"
#include "siskinspread/PeerCalls.h"
#include "siskinspread/Timers.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace siskinspread {

/**
 * Learns of reclaim notices: reads them from the cloud API, and passes those about other entry hosts on to them by the
 * JSON-RPC method "reclaim_notice" (docs/design/draining.md). Thread safety: decide thread only.
 */
class NoticeReader {
public:
    using OnNotice = std::function<void(const std::string& host, MonotonicTime endsAt)>;

    struct Parts {
        Timers& timers;
        PeerCalls& calls;
        std::function<std::vector<std::string>()> domainHosts; /**< Live hosts of the own failure domain, this one included. */
        std::function<void(MonotonicTime endsAt)> onOwnNotice; /**< May be called several times for one notice. */
        OnNotice onNotice; /**< About any other host: an entry host or a backend server. */
    };

    NoticeReader(HostContext&, Parts, CloudApiOptions);

    /** Begins to read; without the address of a cloud API only notices that others pass on are taken. */
    void start();

private:
    void tick();
    void read();
    void onRead(const TransferEnded&);
    void take(const ReclaimNotice&);
    void takeOwn(MonotonicTime endsAt);
    void passOn(const std::string& host, MonotonicTime endsAt, uint32_t attempt);
    RpcOutcome takePassedOn(const std::string& paramsJson);

    HostContext& m_context;
    Parts m_parts;
    const CloudApiOptions m_cloud;
    const NoticeReadingOptions m_options;
    WallTime m_startedAt {};
    uint64_t m_lastSequence { 0 };
    uint32_t m_failures { 0 };
    bool m_reading { false };
    std::optional<MonotonicTime> m_lastReadAt;
    MonotonicTime m_retryAt {};
    std::optional<MonotonicTime> m_ownEnd; /**< The earliest that was told. */
};

} // namespace siskinspread
