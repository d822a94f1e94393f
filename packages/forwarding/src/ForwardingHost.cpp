#include "siskinspread/ForwardingHost.h"

#include "siskinspread/CallerAcceptor.h"
#include "siskinspread/DutyDesk.h"
#include "siskinspread/Forwarder.h"
#include "siskinspread/HostRegistry.h"
#include "siskinspread/HttpServer.h"
#include "siskinspread/PeerExchange.h"
#include "siskinspread/ProcessSignals.h"
#include "siskinspread/StoreCalls.h"
#include "siskinspread/StoreReader.h"

#include <asio.hpp>
#include <malloc.h>

#include <atomic>
#include <csignal>
#include <random>

namespace siskinspread {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds tickInterval { 50 };
    constexpr milliseconds sweepInterval { 250 };
    // The balancer asks every second and needs two misses; until then new connections still come. Part of the grace: 3 s of 8.
    constexpr double outOfRotation = 0.375;
    // A stream that begins later may outlast the grace: its queue and its tokens take up to 6 s of 8.
    constexpr double lastStream = 0.25;
    // What is sent later has little time left, and another host has more.
    constexpr double lastSend = 0.65;
    constexpr milliseconds stopMargin { 350 };
    constexpr milliseconds answerMargin { stopMargin + milliseconds { 100 } }; // the last answers are written after it
    // Of the bound for keys: more than the age that the proof has between two answers, and early enough for the balancer, which
    // takes 2 s, to move callers before keys have to be refused.
    constexpr double cutOffPart = 0.52;
    constexpr int64_t keptWindows = 6; // of usage; a report is due well before the last of them

} // namespace

class ForwardingHost::Implementation {
public:
    Implementation(ForwardingSettings settings, std::unique_ptr<PlatformAdapter> adapter)
        : m_settings(std::move(settings))
        , m_adapter(std::move(adapter))
        , m_log(HostLogOptions { .host = m_settings.host, .failureDomain = m_settings.failureDomain })
        , m_metrics(m_settings.host, m_settings.failureDomain)
        , m_forwarder(m_context, m_settings, *m_adapter, m_log, m_metrics, m_time)
        , m_calls(m_context, m_metrics)
        , m_incarnation((static_cast<uint64_t>(std::random_device {}()) << 32U) | std::random_device {}())
        , m_peers(m_context, m_settings, m_forwarder, m_log, m_incarnation)
        , m_duties(m_settings, *m_adapter, m_forwarder, m_peers, m_calls, m_log, m_time, m_incarnation)
        , m_registry(m_context, m_settings, *m_adapter, m_calls, m_peers, m_log, m_metrics, m_incarnation)
        , m_store(m_context, m_settings, *m_adapter, m_calls, m_peers, m_forwarder, m_log)
        , m_callers(m_context, m_settings, m_log, m_metrics,
              { .onRequest = [this](ReceivedRequest&& request) { m_forwarder.accept(std::move(request)); },
                  .limits = [this] { return m_forwarder.table() ? m_forwarder.table()->configuration().limits : CallerLimits {}; },
                  .closing = [this] { return m_stopping || m_cutOff; } })
        , m_ticker(m_context)
        , m_signals(m_context, SIGTERM, SIGINT, SIGHUP)
    {
        unblockProcessSignals(); // main has blocked them
    }

    bool run(LastReason& reason)
    {
        if (!m_callers.listen(reason) || !serveReadiness(reason) || !m_peers.start(reason)) {
            return false;
        }
        m_log.info("host started", { { "version", "0.1.0" }, { "callers", m_settings.callers.address + ":" + std::to_string(m_settings.callers.port) }, { "incarnation", m_incarnation } });
        waitForSignal();
        m_store.start();
        m_registry.start();
        m_startedAt = std::chrono::steady_clock::now();
        tick();
        m_context.run();
        m_calls.stop();
        m_readiness->stop();
        m_log.info("host stopped", { { "open_requests", m_forwarder.openExchanges() } });
        m_log.flush();
        return true;
    }

private:
    bool serveReadiness(LastReason& reason)
    {
        HttpServerOptions options { .address = m_settings.readiness.address, .port = m_settings.readiness.port, .commandCapacity = 16 };
        m_readiness = std::make_unique<HttpServer>(options, HttpServerHandlers { .onRequest = [this](IncomingRequest&& request) {
                                                                    RespondWhole response { .exchange = request.exchange };
                                                                    if (request.target == "/metrics") {
                                                                        response.body = m_metrics.text();
                                                                    } else {
                                                                        response.status = m_ready.load(std::memory_order_relaxed) ? 200 : 503;
                                                                    }
                                                                    m_readiness->respondFromHandler(std::move(response)); }, .onClosed = [](ExchangeId) {} });
        return m_readiness->start(reason).has_value();
    }

    void tick()
    {
        const auto now = std::chrono::steady_clock::now();
        m_forwarder.tick(now);
        m_peers.tick(now);
        if (!m_stopping) {
            m_duties.tick();
        }
        const auto oldestWindow = usageWindowAt(m_time.now(), m_settings.bounds.reportWindow) - keptWindows;
        forgetUsage(m_forwarder.usage(), oldestWindow);
        m_peers.forgetUsageBefore(oldestWindow);
        m_cutOff = m_forwarder.table() && (!m_forwarder.provenAt() || BootClock::now() - *m_forwarder.provenAt() > m_settings.bounds.revocationInForce * cutOffPart);
        const bool ready = !m_stopping && m_forwarder.table() && !m_cutOff && !m_forwarder.replicas().all().empty();
        if (ready != m_ready.load(std::memory_order_relaxed)) {
            m_ready.store(ready, std::memory_order_relaxed);
            m_log.info("readiness changed", { { "ready", ready } });
        }
        if (!m_takesCallers && (ready || now - m_startedAt >= m_settings.startPatience)) {
            m_takesCallers = true;
            m_callers.start();
        }
        if (now - m_sweptAt > sweepInterval) {
            m_sweptAt = now;
            m_callers.checkTimes(now);
            m_store.reviewRole();
        }
        m_store.tick(now);
        m_log.flush();
        if (m_stopping && continueStop(now)) {
            return;
        }
        m_ticker.expires_after(tickInterval);
        m_ticker.async_wait([this](const asio::error_code& cancelled) {
            if (!cancelled) {
                tick();
            }
        });
    }

    void waitForSignal()
    {
        m_signals.async_wait([this](const asio::error_code& cancelled, int signal) {
            if (cancelled) {
                return;
            }
            if (signal == SIGHUP) {
                // Everything that the file holds is fixed for the life of a process; the next start reads it.
                m_log.info("settings file changed", { { "applied", "at the next start" } });
            } else if (!m_stopping) {
                beginStop();
            }
            waitForSignal();
        });
    }

    void beginStop()
    {
        m_stopping = true;
        m_stopAt = std::chrono::steady_clock::now();
        m_ready.store(false, std::memory_order_relaxed);
        m_log.info("stop begins", { { "open_requests", m_forwarder.openExchanges() }, { "grace_ms", m_settings.bounds.stopGrace } });
        m_peers.announceStop();
        m_duties.release();
    }

    /** @return whether the loop has been told to end. */
    bool continueStop(MonotonicTime now)
    {
        if (now - m_stopAt >= m_settings.bounds.stopGrace * lastStream) {
            m_forwarder.refuseStreams();
        }
        if (now - m_stopAt < m_settings.bounds.stopGrace * outOfRotation) {
            return false;
        }
        m_forwarder.beginDraining();
        if (now - m_stopAt >= m_settings.bounds.stopGrace * lastSend) {
            m_forwarder.endSending();
        }
        if (now - m_stopAt > m_settings.bounds.stopGrace - answerMargin) {
            m_forwarder.endOpen();
        }
        m_callers.closeIdle();
        const bool late = now - m_stopAt > m_settings.bounds.stopGrace - stopMargin;
        if (m_callers.hasOpen() && !late) {
            return false;
        }
        m_context.stop();
        return true;
    }

    ForwardingSettings m_settings;
    std::unique_ptr<PlatformAdapter> m_adapter;
    asio::io_context m_context { 1 };
    HostLog m_log;
    ForwardingMetrics m_metrics;
    TrueTime m_time;
    Forwarder m_forwarder;
    StoreCalls m_calls;
    uint64_t m_incarnation;
    PeerExchange m_peers;
    DutyDesk m_duties;
    HostRegistry m_registry;
    StoreReader m_store;
    CallerAcceptor m_callers;
    asio::steady_timer m_ticker;
    asio::signal_set m_signals;
    std::unique_ptr<HttpServer> m_readiness;
    std::atomic<bool> m_ready { false };
    MonotonicTime m_startedAt {};
    MonotonicTime m_sweptAt {};
    MonotonicTime m_stopAt {};
    bool m_takesCallers { false }; /**< Until then their connections wait in the listener's queue. */
    bool m_stopping { false };
    bool m_cutOff { false }; /**< The proof that keys are current grows old; callers are sent elsewhere before it ends. */
};

ForwardingHost::ForwardingHost(ForwardingSettings settings, std::unique_ptr<PlatformAdapter> adapter)
    : m_implementation(std::make_unique<Implementation>(std::move(settings), std::move(adapter)))
{
}

ForwardingHost::~ForwardingHost() = default;

bool ForwardingHost::run(LastReason& reason)
{
    return m_implementation->run(reason);
}

} // namespace siskinspread
