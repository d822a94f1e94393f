#pragma once

#include "siskinspread/ForwardingMetrics.h"
#include "siskinspread/HttpClient.h"

#include <asio.hpp>

#include <functional>
#include <memory>
#include <string_view>
#include <unordered_map>

namespace siskinspread {

/** Calls to the platform's store and cloud, on the thread of an HttpClient; their answers come back on the loop. Loop thread only. */
class StoreCalls {
public:
    using Answered = std::function<void(const TransferEnded&)>;

    StoreCalls(asio::io_context&, ForwardingMetrics&);
    ~StoreCalls();
    StoreCalls(const StoreCalls&) = delete;
    StoreCalls& operator=(const StoreCalls&) = delete;

    /** Starts a call. `answered` is called exactly once, unless the calls are stopped first. @param purpose for the metrics. */
    TransferId start(std::string_view purpose, StartTransfer, Answered answered);

    /** Ends a call that is open; what has not left this host does not leave it any more. @return false when too many commands wait. */
    bool cancel(TransferId);

    /** Ends all calls without their answers. Idempotent. */
    void stop();

private:
    struct OpenCall {
        std::string_view purpose;
        Answered answered;
    };

    void onEnded(const TransferEnded&);

    asio::io_context& m_context;
    ForwardingMetrics& m_metrics;
    HttpClient m_client;
    std::unordered_map<TransferId, OpenCall> m_open;
    TransferId m_last { 0 };
};

} // namespace siskinspread
