#include "siskinspread/CallerAcceptor.h"

#include <algorithm>

namespace siskinspread {

namespace {

    constexpr std::chrono::milliseconds acceptPause { 50 }; // descriptors may have run out: accepting again at once would only fail again
    constexpr int listenBacklog = 1024; // connections

} // namespace

CallerAcceptor::CallerAcceptor(asio::io_context& context, const ForwardingSettings& settings, HostLog& log, ForwardingMetrics& metrics, CallerAcceptorHooks hooks)
    : m_settings(settings)
    , m_log(log)
    , m_acceptor(context)
    , m_timer(context)
    , m_hooks(std::make_shared<CallerConnectionHooks>(CallerConnectionHooks {
          .onRequest = std::move(hooks.onRequest),
          .limits = std::move(hooks.limits),
          .closing = std::move(hooks.closing),
          .onRefusal = [&log, &metrics](int status, std::string_view why) {
              metrics.countAnswer(status, ResultCode::MalformedRequest);
              log.info("bytes refused", { { "status", status }, { "why", why } }); },
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
        if (m_callers.size() >= maxCallers()) {
            m_log.warning("connection refused", { { "why", "too many connections" }, { "connections", m_callers.size() } });
            socket.close();
        } else {
            add(std::move(socket));
        }
        accept();
    });
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
