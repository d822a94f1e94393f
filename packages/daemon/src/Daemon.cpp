#include "siskinspread/Daemon.h"

#include "DaemonOptions.h"
#include "WakeSignal.h"
#include "siskinspread/AccountLookups.h"
#include "siskinspread/AdmissionDesk.h"
#include "siskinspread/BackendStatusAdapter.h"
#include "siskinspread/BackendTraffic.h"
#include "siskinspread/CallerRoutes.h"
#include "siskinspread/ConfigurationFeedAdapter.h"
#include "siskinspread/CopyDesk.h"
#include "siskinspread/CountedDatagrams.h"
#include "siskinspread/DrainRoute.h"
#include "siskinspread/DutyLeaseAdapter.h"
#include "siskinspread/DutyRank.h"
#include "siskinspread/DutyView.h"
#include "siskinspread/EndedServers.h"
#include "siskinspread/EngineOrdersAdapter.h"
#include "siskinspread/HeartbeatChannel.h"
#include "siskinspread/HostListReader.h"
#include "siskinspread/KeyedRequests.h"
#include "siskinspread/LogCloser.h"
#include "siskinspread/LogWriter.h"
#include "siskinspread/MembershipAdapter.h"
#include "siskinspread/ModelRequests.h"
#include "siskinspread/NoticeReader.h"
#include "siskinspread/OperatorRoutes.h"
#include "siskinspread/OwnerDesk.h"
#include "siskinspread/PeerAccounts.h"
#include "siskinspread/PeerCalls.h"
#include "siskinspread/PeerDirectory.h"
#include "siskinspread/PlainRequests.h"
#include "siskinspread/PlannedStop.h"
#include "siskinspread/RequestRegister.h"
#include "siskinspread/RequestSize.h"
#include "siskinspread/ServerChannel.h"
#include "siskinspread/ServerHolds.h"
#include "siskinspread/ServicePools.h"
#include "siskinspread/SliceKeeper.h"
#include "siskinspread/StreamAttach.h"
#include "siskinspread/StreamHandovers.h"
#include "siskinspread/SystemView.h"
#include "siskinspread/Timers.h"

#include <algorithm>

namespace siskinspread {

namespace {

    constexpr std::chrono::milliseconds tickInterval { 50 };
    constexpr std::chrono::milliseconds refreshInterval { 250 };
    // Time for the last answers to leave and the log to close after the last request has ended.
    constexpr std::chrono::milliseconds closingTime { 5000 };
    constexpr std::chrono::milliseconds lastWriteTime { 200 };
    // Live hosts of a failure domain that stand for its duties.
    constexpr uint32_t dutyCandidates = 3;

} // namespace

class Daemon::Implementation {
public:
    explicit Implementation(schema::Settings settings)
        : m_settings(std::move(settings))
        , m_log({ .host = m_settings.host().name(), .failureDomain = m_settings.host().failure_domain(), .minimumLevel = logLevel(m_settings.log().level()), .onLost = ringRefusal(Ring::ToLog) })
        , m_metrics({ .host = m_settings.host().name(), .failureDomain = m_settings.host().failure_domain() })
    {
    }

    bool run(LastReason& reason)
    {
        readClocks();
        const auto port = m_callers.start(reason);
        if (!port || !m_peerCallers.start(reason) || !m_heartbeats.start(reason)) {
            return false;
        }
        m_backendServers.startClient();
        m_platform.startClient();
        m_peers.startClient();
        m_slices.start();
        m_writer.sendCopies = [this](const SendCopies& action, std::function<void(const IncarnationLogEvent&)> done) { m_copies.send(action, std::move(done)); };
        m_closer.sealCopies = [this](const SealCopies& action, CopyDesk::SealDone done) { m_copies.seal(action, std::move(done)); };
        m_copies.keepHolder(m_writer);
        m_writer.onEnded = [this](bool planned) { onLogEnded(planned); };
        m_traffic.onAnswer = [this](const std::string& address, const HttpHeaders& headers) { m_backendStatus.answered(address, headers); };
        m_traffic.onNoAnswer = [this](const std::string& address) { m_backendStatus.unanswered(address); };
        m_membership.onBackendNews = [this](const schema::BackendNewsMessage& news, size_t bytes) { m_backendStatus.hear(news, bytes); };
        m_configuration.start();
        m_membership.start();
        m_directory.start();
        m_notices.start();
        m_hostList.start();
        m_backendStatus.isHeldBack = [this](const std::string& server) { return m_holds.isHeldBack(server); };
        m_endedServers.start();
        m_backendStatus.start();
        m_holds.start();
        m_engineLease.start();
        m_engineOrders.start();
        scheduleRefresh();
        m_log.write({ .level = LogLevel::Info, .message = "host started", .fields = { { .name = "incarnation", .value = m_context.incarnation.text }, { .name = "caller_port", .value = *port } } });
        while (!isFinished()) {
            turn();
        }
        m_log.write({ .level = LogLevel::Info, .message = "host stopped" });
        m_callers.stop();
        m_peerCallers.stop();
        m_backendServers.stopClient();
        m_platform.stopClient();
        m_peers.stopClient();
        m_heartbeats.stop();
        return true;
    }

    void requestStop()
    {
        m_stopRequested.store(true, std::memory_order_release);
        m_wake.raise();
    }

private:
    std::function<void()> waker()
    {
        return [this] { m_wake.raise(); };
    }

    std::function<void()> ringRefusal(Ring ring)
    {
        return [this, ring] { m_metrics.countRingRefusal(ring); };
    }

    void readClocks()
    {
        m_context.now = std::chrono::steady_clock::now();
        m_context.wall = std::chrono::system_clock::now();
    }

    void turn()
    {
        const MonotonicTime nextTick = m_context.now + tickInterval;
        m_wake.waitUntil(std::min({ m_timers.next().value_or(nextTick), m_writer.nextTick().value_or(nextTick), nextTick }));
        readClocks();
        takeCallerEvents();
        takePeerEvents();
        takeHeartbeats();
        m_backendServers.dispatchEvents();
        m_platform.dispatchEvents();
        m_peers.dispatchEvents();
        m_timers.run(m_context.now);
        m_desk.tick();
        m_writer.tick();
        m_callers.flush();
        m_peerCallers.flush();
        advanceStop();
    }

    void takeCallerEvents()
    {
        while (const auto event = m_callers.next()) {
            if (const auto* request = std::get_if<IncomingRequest>(event.get())) {
                m_routes.handle(*request);
            } else {
                const ExchangeId exchange = std::get<ExchangeClosed>(*event).exchange;
                m_models.callerClosed(m_callers, exchange);
                m_attach.callerClosed(exchange);
                m_plain.callerClosed(exchange);
            }
        }
    }

    void takePeerEvents()
    {
        while (const auto event = m_peerCallers.next()) {
            if (const auto* closed = std::get_if<ExchangeClosed>(event.get())) {
                m_models.callerClosed(m_peerCallers, closed->exchange);
            }
            const auto* request = std::get_if<IncomingRequest>(event.get());
            if (request && !m_peerCalls.handle(*request) && !m_handovers.handlePeer(*request) && !m_keyed.handlePeer(*request) && !m_operators.handle(*request) && !m_drain.handle(*request)) {
                sendRefusal(m_context, m_peerCallers, request->exchange, "", { .code = ResultCode::UnknownPath });
            }
        }
    }

    void takeHeartbeats()
    {
        while (const auto datagram = m_heartbeats.next()) {
            m_context.metrics.countDatagram(NewsDirection::Received, datagram->bytes.size());
            m_membership.receive(*datagram);
        }
    }

    void scheduleRefresh()
    {
        m_pools.setOwnedShare(m_desk.ownedShare());
        m_pools.refresh();
        m_admissions.review();
        m_timers.schedule(m_context.now + refreshInterval, [this] { scheduleRefresh(); });
    }

    void enforce(const schema::Configuration& configuration)
    {
        m_pools.apply(configuration);
        m_backendStatus.configured(configuration);
        m_engineOrders.configured(configuration);
    }

    void advanceStop()
    {
        if (m_stopRequested.load(std::memory_order_acquire)) {
            m_stop.request(StopCause::Signal);
        }
        if (!m_stop.hasBegun()) {
            return;
        }
        if (!m_routes.isDraining()) {
            m_routes.beginDraining();
            m_slices.release();
            m_engineLease.release();
        }
        if (!m_closingBegan && m_stop.isGraceOver()) {
            m_handovers.begin(m_stop.handoverTime());
            m_attach.endAll();
        }
        if (!m_closingBegan && (!openRequests() || (m_stop.isGraceOver() && !m_handovers.isBusy()))) {
            m_closingBegan = true;
            m_closingBeganAt = m_context.now;
            m_leaveAt = m_context.now + lastWriteTime;
            m_desk.expireAll();
            m_keyed.expireRelays();
            m_writer.close();
            m_membership.leave();
        }
        if (!m_closingBegan) {
            return;
        }
        planClosing();
        if ((m_writer.hasEnded() ? m_copies.holdsRecords() : m_context.now >= m_handOverAt)) {
            m_copies.handOver();
        }
    }

    /** While the store is away this host goes on holding copies for the owners of its domain as long as its notice allows. */
    void planClosing()
    {
        m_handOverAt = copiesHandOver(m_stop.plan(), m_closingBeganAt);
        m_closingEnds = m_handOverAt + closingTime / 2;
    }

    size_t openRequests() const
    {
        return m_requests.openCount() + m_desk.openCount() + m_keyed.relaysInProgress() + m_attach.openCount();
    }

    std::vector<std::string> domainHosts() const { return m_membership.liveHosts(m_settings.host().failure_domain()); }

    std::optional<uint32_t> dutyRankOf(const std::string& duty) const
    {
        return dutyRank(duty, m_settings.host().name(), domainHosts(), dutyCandidates);
    }

    // Another host has closed the log: this incarnation can record nothing any more and makes way for a new one.
    void onLogEnded(bool planned)
    {
        m_desk.logEnded();
        m_directory.sayGoodbye();
        if (planned) {
            return;
        }
        m_log.write({ .level = LogLevel::Error, .message = "the log of this incarnation was closed by another host; stopping", .code = ResultCode::LogClosed });
        requestStop();
    }

    bool isFinished() const
    {
        if (!m_closingBegan) {
            return false;
        }
        const bool isHandedOver = !m_copies.holdsRecords() || m_copies.isHandedOver();
        const bool isClosed = m_writer.hasEnded() && isHandedOver && !m_callers.hasWaiting() && !m_peerCallers.hasWaiting() && m_context.now >= m_leaveAt;
        return isClosed || m_context.now >= m_closingEnds;
    }

    /** Runs on the server's thread. */
    RespondWhole refuseUnread(ServerRefusal why)
    {
        const Refusal refusal { .code = resultOf(why) };
        m_metrics.countRefusal(refusal.code);
        return refusalResponse(0, m_requests.refusalId(), refusal);
    }

    /** Runs on the server's thread. */
    RespondWhole ringFullResponse(ExchangeId exchange)
    {
        m_metrics.countRingRefusal(Ring::CallersToDecide);
        const Refusal refusal { .code = ResultCode::RingFull };
        m_metrics.countRefusal(refusal.code);
        return refusalResponse(exchange, m_requests.refusalId(), refusal);
    }

    AccountAnswer localAccount(const AccountQuery& query) const
    {
        if (const auto known = m_requests.find(query.request)) {
            return *known;
        }
        AccountAnswer answer = accountFromOwner(m_desk.state(), query);
        answer.recordedBy = m_context.incarnation.text;
        return answer;
    }

    const schema::Settings m_settings;
    Log m_log;
    Metrics m_metrics;
    WakeSignal m_wake;
    std::atomic<bool> m_stopRequested { false };
    const size_t m_ringCapacity { m_settings.limits().ring_capacity() };
    ServerChannel m_callers { callerServerOptions(m_settings), m_ringCapacity, waker(), [this](ExchangeId exchange) { return ringFullResponse(exchange); }, [this](ServerRefusal why) { return refuseUnread(why); } };
    ServerChannel m_peerCallers { peerOptions(m_settings), m_ringCapacity, waker(), [this](ExchangeId exchange) { return ringFullResponse(exchange); } };
    TransferRouter m_backendServers { m_ringCapacity, waker(), ringRefusal(Ring::DecideToBackendServers), userAgent(m_settings) };
    BackendTraffic m_traffic { m_backendServers };
    TransferRouter m_platform { m_ringCapacity, waker(), ringRefusal(Ring::DecideToPlatform) };
    TransferRouter m_peers { m_ringCapacity, waker(), ringRefusal(Ring::DecideToPeers) };
    HeartbeatChannel m_heartbeats { heartbeatOptions(m_settings), waker() };
    HostContext m_context {
        .settings = m_settings,
        .incarnation = drawIncarnation(m_settings.host().name()),
        .seed = drawSeed(),
        .callers = m_callers,
        .peerCallers = m_peerCallers,
        .backendServers = m_traffic,
        .platform = m_platform,
        .peers = m_peers,
        .metrics = m_metrics,
        .log = m_log,
    };
    Timers m_timers;
    const ObjectApiOptions m_store { storeOptions(m_settings.platform()) };
    LogWriter m_writer { m_context, m_store };
    RequestRegister m_requests { m_context, m_writer };
    ServicePools m_pools { m_context };
    AdmissionDesk m_admissions { m_context, m_timers, m_pools };
    ModelRequests m_models { m_context, { .timers = m_timers, .pools = m_pools, .admissions = m_admissions, .requests = m_requests } };
    PlainRequests m_plain { m_context, m_timers, m_admissions, m_requests };
    PeerCalls m_peerCalls { m_context };
    ConfigurationFeedAdapter m_configuration { m_context, m_timers, m_store, m_peerCalls, [this](const schema::Configuration& configuration) { enforce(configuration); } };
    CountedDatagrams m_datagrams { m_heartbeats, m_metrics };
    MembershipAdapter m_membership { m_context, m_timers, m_peerCalls, m_datagrams, m_configuration };
    PeerDirectory m_directory { m_context, { .timers = m_timers, .calls = m_peerCalls, .membership = m_membership }, cloudOptions(m_settings.platform()) };
    CopyDesk m_copies { m_context, m_timers, m_peerCalls, m_directory };
    LogCloser m_closer { m_context, m_timers, m_store };
    OwnerDesk m_desk { m_context, { .pools = m_pools, .admissions = m_admissions, .requests = m_requests, .log = m_writer } };
    SliceKeeper m_slices { m_context, { .timers = m_timers, .peers = m_directory, .closer = m_closer, .desk = m_desk }, m_store };
    KeyedRequests m_keyed { m_context, { .requests = m_requests, .desk = m_desk, .slices = m_slices } };
    PeerAccounts m_peerAccounts { m_context, m_peerCalls, [this](const AccountQuery& query) { return localAccount(query); } };
    AccountLookups m_accounts { m_context, m_timers, m_store, [this](const AccountQuery& query) { return localAccount(query); },
        [this](const IncarnationId& incarnation, const AccountQuery& query, PeerAccounts::Done done) { m_peerAccounts.ask(incarnation, query, std::move(done)); } };
    StreamAttach m_attach { m_context, { .models = m_models, .requests = m_requests, .accounts = m_accounts } };
    CallerRoutes m_routes { m_context, { .pools = m_pools, .requests = m_requests, .models = m_models, .plain = m_plain, .keyed = m_keyed, .slices = m_slices, .accounts = m_accounts, .attach = m_attach, .log = m_writer } };
    StreamHandovers m_handovers { m_context, { .timers = m_timers, .models = m_models, .requests = m_requests, .peers = m_directory, .log = m_writer, .isDraining = [this] { return m_routes.isDraining(); } } };
    BackendStatusAdapter m_backendStatus { m_context, { .timers = m_timers, .probes = m_backendServers, .heartbeats = m_datagrams, .pools = m_pools, .membership = m_membership } };
    ServerHolds m_holds { m_context, { .timers = m_timers, .calls = m_peerCalls, .otherHosts = [this] { return m_membership.otherLiveHosts(); } } };
    const std::string m_engineDuty { "engine-orders/" + m_settings.host().failure_domain() };
    DutyLeaseAdapter m_engineLease { m_context, { .timers = m_timers, .clock = std::chrono::steady_clock::now, .rank = [this] { return dutyRankOf(m_engineDuty); } }, m_store, m_engineDuty };
    EngineOrdersAdapter m_engineOrders { m_context, { .timers = m_timers, .clock = std::chrono::steady_clock::now, .engines = m_backendServers, .lease = m_engineLease, .holds = m_holds }, m_store };
    DutyView m_duties { m_context, { .calls = m_peerCalls, .lease = m_engineLease, .orders = m_engineOrders, .otherHosts = [this] { return m_membership.otherLiveHosts(); } } };
    SystemView m_system { m_context, m_membership, m_configuration };
    OperatorRoutes m_operators { m_context, { .pools = m_pools, .requests = m_requests, .accounts = m_accounts, .ownersOfKey = [this](const IdempotencyKey& key) { return m_slices.ownersOfKey(key); }, .system = m_system, .duties = m_duties, .backendServers = m_backendStatus } };
    PlannedStop m_stop { m_context, [this] { return openRequests(); } };
    DrainRoute m_drain { m_context, m_stop };
    NoticeReader m_notices { m_context, { .timers = m_timers, .calls = m_peerCalls, .domainHosts = [this] { return domainHosts(); }, .onOwnNotice = [this](MonotonicTime endsAt) { m_stop.noticeReclaim(endsAt); }, .onNotice = [this](const std::string& host, MonotonicTime) { m_backendStatus.leaveSign(host); } },
        cloudOptions(m_settings.platform()) };
    HostListReader m_hostList { m_context, { .timers = m_timers, .domainHosts = [this] { return domainHosts(); }, .onList = [this](const std::vector<ListedHost>& hosts) { m_backendStatus.hostListRead(hosts); } },
        { .url = m_settings.platform().host_list(), .timeout = std::chrono::milliseconds { m_settings.platform().timeout_ms() } } };
    EndedServers m_endedServers { m_context, { .timers = m_timers, .isReader = [this] { return isNoticeReader(m_settings.host().name(), domainHosts(), {}); }, .unreachable = [this] { return m_backendStatus.unreachableRuns(); }, .onEnded = [this](const ServerEnded& ended) { m_backendStatus.hostEnded(ended); } },
        cloudOptions(m_settings.platform()) };
    MonotonicTime m_closingBeganAt {};
    MonotonicTime m_handOverAt {};
    MonotonicTime m_closingEnds {};
    MonotonicTime m_leaveAt {};
    bool m_closingBegan { false };
};

Daemon::Daemon(schema::Settings settings)
    : m_implementation(std::make_unique<Implementation>(std::move(settings)))
{
}

Daemon::~Daemon() = default;

bool Daemon::run(LastReason& reason)
{
    return m_implementation->run(reason);
}

void Daemon::requestStop()
{
    m_implementation->requestStop();
}

} // namespace siskinspread
