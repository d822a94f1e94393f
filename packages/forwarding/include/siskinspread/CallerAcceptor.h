#pragma once

#include "siskinspread/CallerConnection.h"
#include "siskinspread/ForwardingMetrics.h"
#include "siskinspread/ForwardingSettings.h"
#include "siskinspread/HostLog.h"

#include <asio.hpp>

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <span>
#include <string_view>

namespace siskinspread {

/** What callers' connections need beside the settings. */
struct CallerAcceptorHooks {
    std::function<void(ReceivedRequest&&)> onRequest;
    std::function<CallerLimits()> limits;
    std::function<bool()> closing; /**< Answers tell the caller to close the connection. */
};

/** Accepts callers' connections, within the descriptors of the machine. Thread safety: loop thread only. */
class CallerAcceptor {
public:
    CallerAcceptor(asio::io_context&, const ForwardingSettings&, HostLog&, ForwardingMetrics&, CallerAcceptorHooks);

    /** Binds the callers' address. @param reason InvalidSettings when it cannot be bound. */
    bool listen(LastReason& reason);
    /** Begins to accept. Precondition: listen() has succeeded. */
    void start() { accept(); }

    /** Ends connections that have been silent for too long. To be called every quarter of a second or so. */
    void checkTimes(MonotonicTime now);
    /** Closes the connections that have no request in progress. */
    void closeIdle();
    bool hasOpen() const;

private:
    void accept();
    void acceptLater();
    void add(asio::ip::tcp::socket);
    /** @return whether there is room for another connection, if need be after one without progress was closed. */
    bool makeRoom();
    /** Closes connections without progress while others need the memory that they hold. */
    void reviewMemory();
    using Choose = std::function<std::optional<size_t>(std::span<const SheddingCandidate>)>;
    /** @return whether a connection was closed. */
    bool shedOne(const Choose&, std::string_view reason);
    size_t maxCallers() const;

    const ForwardingSettings& m_settings;
    HostLog& m_log;
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_timer;
    std::shared_ptr<MemoryBudget> m_memory;
    ForwardingMetrics& m_metrics;
    std::shared_ptr<const CallerConnectionHooks> m_hooks;
    std::list<std::weak_ptr<CallerConnection>> m_callers; /**< Oldest first. */
    SheddingOptions m_shedding;
    bool m_reviewing { false };
};

} // namespace siskinspread
