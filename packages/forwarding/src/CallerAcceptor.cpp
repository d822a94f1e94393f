#include "siskinspread/CallerAcceptor.h"

#include <algorithm>

namespace siskinspread {

namespace {

    constexpr std::chrono::milliseconds acceptPause { 50 }; // descriptors may have run out: accepting again at once would only fail again
    constexpr int listenBacklog = 1024; // connections
    constexpr size_t reservedDescriptors = 200; // for files, the store, peers, readiness and metrics
    constexpr size_t leastCallers = 64;
    // What a connection holds unread in the system's buffers counts as memory of the machine; by default it may be megabytes.
    constexpr int receiveBufferBytes = 65536;

} // namespace

CallerAcceptor::CallerAcceptor(asio::io_context& context, const ForwardingSettings& settings, HostLog& log, ForwardingMetrics& metrics, CallerAcceptorHooks hooks)
    : m_settings(settings)
    , m_log(log)
    , m_acceptor(context)
    , m_timer(context)
    , m_memory(std::make_shared<MemoryBudget>(memoryBudgetOf(settings.memoryBytes, settings.largeBodyBytes)))
    , m_metrics(metrics)
    , m_hooks(std::make_shared<CallerConnectionHooks>(CallerConnectionHooks {
          .onRequest = std::move(hooks.onRequest),
          .limits = std::move(hooks.limits),
          .closing = std::move(hooks.closing),
          .onRefusal = [&log, &metrics](int status, std::string_view why) {
              metrics.countAnswer(status, ResultCode::MalformedRequest);
              log.info("bytes refused", { { "status", status }, { "why", why } }); },
          .memory = m_memory,
          .onMemoryWanted = [this] { reviewMemory(); },
      }))
{
}

bool CallerAcceptor::listen(LastReason& reason)
{
    asio::error_code error;
    const auto address = asio::ip::make_address(m_settings.callers.address, error);
    if (!error) {
        m_acceptor.open(asio::ip::tcp::v4(), error);
    }
    if (!error) {
        m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
        m_acceptor.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes), error);
        m_acceptor.bind({ address, m_settings.callers.port }, error);
    }
    if (!error) {
        m_acceptor.listen(listenBacklog, error);
    }
    if (error) {
        reason = { .code = ResultCode::InvalidSettings, .detail = "callers' address cannot be bound: " + error.message() };
        return false;
    }
    return true;
}

void CallerAcceptor::accept()
{
    m_acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (error) {
            m_log.warning("connection not accepted", { { "why", error.message() }, { "connections", m_callers.size() } });
            acceptLater();
            return;
        }
        if (!makeRoom()) {
            m_log.warning("connection refused", { { "why", "too many connections" }, { "connections", m_callers.size() } });
            socket.close();
        } else {
            add(std::move(socket));
        }
        accept();
    });
}

size_t CallerAcceptor::maxCallers() const
{
    if (m_settings.maxCallers > 0) {
        return m_settings.maxCallers;
    }
    // Half of the descriptors: each request may need a connection to a replica as well.
    return std::max(leastCallers, (m_settings.maxDescriptors - std::min(m_settings.maxDescriptors, reservedDescriptors)) / 2);
}

bool CallerAcceptor::makeRoom()
{
    if (m_callers.size() < maxCallers()) {
        return true;
    }
    std::erase_if(m_callers, [](const auto& entry) {
        const auto connection = entry.lock();
        return !connection || !connection->isOpen();
    });
    return m_callers.size() < maxCallers() || shedOne(shedForConnection, "connections");
}

bool CallerAcceptor::shedOne(const Choose& choose, std::string_view reason)
{
    std::vector<std::shared_ptr<CallerConnection>> connections;
    std::vector<SheddingCandidate> candidates;
    for (const auto& entry : m_callers) {
        if (auto connection = entry.lock(); connection && connection->isOpen()) {
            candidates.push_back(connection->sheddingCandidate());
            connections.push_back(std::move(connection));
        }
    }
    const auto chosen = choose(candidates);
    if (!chosen) {
        return false;
    }
    m_metrics.countShedConnection(reason);
    m_log.warning("caller's connection closed for others", { { "reason", reason }, { "caller", connections[*chosen]->callerAddress() }, { "held_bytes", candidates[*chosen].heldBytes }, { "silent_ms", std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - candidates[*chosen].lastProgress) }, { "connections", connections.size() } });
    connections[*chosen]->shed();
    return true;
}

void CallerAcceptor::reviewMemory()
{
    if (m_reviewing) {
        return; // closing a connection changes what is held
    }
    m_reviewing = true;
    while (m_memory->isExhausted() && shedOne(shedForMemory, "memory")) { }
    const auto now = std::chrono::steady_clock::now();
    for (const auto& entry : m_callers) {
        const auto connection = entry.lock();
        if (!connection || connection->sheddingCandidate().stage != CallerStage::WaitingForMemory) {
            continue;
        }
        const auto shedStalled = [&](std::span<const SheddingCandidate> candidates) { return shedForLargeBody(candidates, m_shedding, now); };
        bool reserved = connection->tryReserve();
        while (!reserved && shedOne(shedStalled, "large_bodies")) {
            reserved = connection->tryReserve();
        }
        if (!reserved) {
            break; // those that have waited longest come first
        }
    }
    m_reviewing = false;
}

void CallerAcceptor::acceptLater()
{
    m_timer.expires_after(acceptPause);
    m_timer.async_wait([this](const asio::error_code& cancelled) {
        if (!cancelled) {
            accept();
        }
    });
}

void CallerAcceptor::add(asio::ip::tcp::socket socket)
{
    asio::error_code ignored; // only delays small writes
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    auto connection = std::make_shared<CallerConnection>(std::move(socket), m_hooks);
    m_callers.push_back(connection);
    connection->start(std::chrono::steady_clock::now());
}

void CallerAcceptor::checkTimes(MonotonicTime now)
{
    reviewMemory();
    for (auto entry = m_callers.begin(); entry != m_callers.end();) {
        auto connection = entry->lock();
        if (connection && connection->isOpen()) {
            connection->checkTimes(now);
            ++entry;
        } else {
            entry = m_callers.erase(entry);
        }
    }
}

void CallerAcceptor::closeIdle()
{
    for (auto& entry : m_callers) {
        if (auto connection = entry.lock(); connection && connection->isOpen()) {
            connection->closeIfIdle();
        }
    }
}

bool CallerAcceptor::hasOpen() const
{
    return std::any_of(m_callers.begin(), m_callers.end(), [](const auto& entry) {
        auto connection = entry.lock();
        return connection && connection->isOpen();
    });
}

} // namespace siskinspread
