#include "siskinspread/EngineOrdersAdapter.h"

#include "siskinspread/ConfigurationCodec.h"
#include "siskinspread/EngineApi.h"
#include "siskinspread/ServerLoadReport.h"

#include <algorithm>
#include <array>
#include <set>

namespace siskinspread {

namespace {

    constexpr std::chrono::milliseconds tickInterval { 500 };
    constexpr std::chrono::milliseconds confirmInterval { 1'000 };
    // Within the margin of the lease, so that an order is on its way before the lease can lapse.
    constexpr std::chrono::milliseconds connectTimeout { 500 };
    constexpr std::chrono::milliseconds readTimeout { 5'000 };
    // Some engines answer only when they have loaded.
    constexpr std::chrono::milliseconds orderTimeout { 120'000 };
    constexpr size_t maxAnswerBytes = 65'536;
    constexpr int statusOk = 200;
    constexpr int statusConflict = 409;
    constexpr const char* ordersPath = "/orders";

    EngineRole roleOf(schema::EngineRole role)
    {
        switch (role) {
        case schema::PREFILL:
            return EngineRole::Prefill;
        case schema::DECODE:
            return EngineRole::Decode;
        default:
            return EngineRole::Mixed;
        }
    }

    void addItem(std::vector<EngineItem>& items, EngineItem item)
    {
        const auto at = std::lower_bound(items.begin(), items.end(), item, [](const EngineItem& a, const EngineItem& b) { return a.name < b.name; });
        if (at == items.end() || at->name != item.name) {
            items.insert(at, std::move(item));
        }
    }

    void addLoads(EngineTarget& target, const schema::Service& service)
    {
        const schema::EngineLoads& loads = service.engine_loads();
        addItem(target.models, { .name = loads.model().empty() ? service.name() : loads.model(), .version = loads.version() });
        for (const schema::EngineAdapter& adapter : loads.adapters()) {
            addItem(target.adapters, { .name = adapter.name(), .version = adapter.version() });
        }
        target.role = roleOf(loads.role());
    }

    /** @return what the engines of each pool are to have loaded for all services of the pool together. */
    std::map<std::string, EngineTarget> targetsOf(const schema::Configuration& configuration)
    {
        std::map<std::string, EngineTarget> targets;
        for (const schema::Service& service : configuration.services()) {
            if (service.has_engine_loads()) {
                addLoads(targets[service.pool()], service);
            }
        }
        return targets;
    }

    EngineOrderOutcome outcomeOf(const TransferEnded& ended)
    {
        if (ended.end == TransferEnd::NothingSent) {
            return EngineOrderOutcome::Failed;
        }
        if (ended.end != TransferEnd::Complete) {
            return EngineOrderOutcome::Unanswered;
        }
        if (ended.status == statusConflict) {
            return EngineOrderOutcome::FencingRefused;
        }
        return ended.status == statusOk ? EngineOrderOutcome::Accepted : EngineOrderOutcome::Failed;
    }

    std::string_view nameOf(EngineOrderOutcome outcome)
    {
        constexpr std::array<std::string_view, 5> names { "accepted", "fencing_refused", "failed", "unanswered", "lease_lost" };
        return names.at(static_cast<size_t>(outcome));
    }

} // namespace

EngineOrdersAdapter::EngineOrdersAdapter(HostContext& context, Parts parts, ObjectApiOptions store)
    : m_context(context)
    , m_parts(std::move(parts))
    , m_store(std::move(store))
{
}

void EngineOrdersAdapter::start()
{
    tick();
}

void EngineOrdersAdapter::tick()
{
    m_parts.timers.schedule(m_context.now + tickInterval, [this] { tick(); });
    take(EngineOrdersTick {});
}

void EngineOrdersAdapter::configured(const schema::Configuration& configuration)
{
    m_revision = configuration.revision();
    const std::map<std::string, EngineTarget> targets = targetsOf(configuration);
    std::set<std::string> wanted;
    for (const schema::Service& service : configuration.services()) {
        const auto target = targets.find(service.pool());
        for (const schema::BackendServer& server : service.backend_servers()) {
            if (target == targets.end() || server.failure_domain() != m_context.settings.host().failure_domain()) {
                continue;
            }
            wanted.insert(server.name());
            m_addresses[server.name()] = server.address();
            take(EngineWanted { .server = server.name(), .pool = service.pool(), .target = target->second, .checksFencingNumbers = service.checks_fencing_numbers() });
        }
    }
    const auto known = m_addresses;
    for (const auto& [server, address] : known) {
        if (!wanted.contains(server)) {
            take(EngineForgotten { .server = server });
            m_addresses.erase(server);
        }
    }
}

std::optional<uint64_t> EngineOrdersAdapter::usableFencingNumber()
{
    const auto held = m_parts.lease.heldFencingNumber();
    if (held && held != m_confirmedNumber) {
        confirmConfiguration(*held);
    }
    return held == m_confirmedNumber && m_revision >= m_storedRevision ? held : std::nullopt;
}

void EngineOrdersAdapter::confirmConfiguration(uint64_t fencingNumber)
{
    const MonotonicTime now = m_parts.clock();
    if (m_confirming || now < m_confirmAt) {
        return;
    }
    m_confirming = true;
    m_confirmAt = now + confirmInterval;
    m_context.platform.start(readObject(m_store, configurationObject), [this, fencingNumber](const ClientEvent& event) {
        m_confirming = false;
        const auto& ended = std::get<TransferEnded>(event);
        const StoreResult result = storeResult(ended, false);
        LastReason reason;
        const auto stored = result == StoreResult::Done ? decodeConfiguration(ended.body, reason) : std::nullopt;
        m_context.metrics.countStoreCall(StorePurpose::Configuration, stored || result == StoreResult::Absent ? StoreOutcome::Answered : StoreOutcome::Unavailable);
        if (stored) {
            m_confirmedNumber = fencingNumber;
            m_storedRevision = stored->revision();
        }
    });
}

void EngineOrdersAdapter::take(const EngineOrdersEvent& event)
{
    const auto usable = usableFencingNumber();
    if (usable != m_usable) {
        m_usable = usable;
        ++m_epoch;
        m_parts.holds.abandonAll();
        m_context.metrics.setDutyHeld(usable.has_value());
    }
    std::vector<EngineOrdersAction> actions;
    step(m_state, m_options, event, usable, m_parts.clock(), actions);
    for (const EngineOrdersAction& action : actions) {
        std::visit([this](const auto& a) { act(a); }, action);
    }
}

void EngineOrdersAdapter::takeOfEpoch(uint64_t epoch, const EngineOrdersEvent& event)
{
    if (epoch == m_epoch) {
        take(event);
    }
}

StartTransfer EngineOrdersAdapter::call(const std::string& server, const char* path) const
{
    StartTransfer transfer;
    const auto address = m_addresses.find(server);
    transfer.url = "http://" + (address == m_addresses.end() ? std::string {} : address->second) + path;
    transfer.connectTimeout = connectTimeout;
    transfer.totalTimeout = readTimeout;
    transfer.maxBodyBytes = maxAnswerBytes;
    return transfer;
}

void EngineOrdersAdapter::act(const ReadEngine& read)
{
    m_parts.engines.start(call(read.server, ordersPath), [this, server = read.server, epoch = m_epoch](const ClientEvent& event) {
        const auto* ended = std::get_if<TransferEnded>(&event);
        if (!ended) {
            return;
        }
        const bool answered = ended->end == TransferEnd::Complete;
        const auto loaded = answered && ended->status == statusOk ? parseEngineState(ended->body) : std::nullopt;
        m_context.metrics.countEngineRead(loaded ? EngineReadOutcome::Answered : answered ? EngineReadOutcome::Unreadable
                                                                                          : EngineReadOutcome::Unanswered);
        if (loaded) {
            readLoad(server, epoch, *loaded);
        } else {
            takeOfEpoch(epoch, EngineCallFailed { .server = server });
        }
    });
}

void EngineOrdersAdapter::readLoad(const std::string& server, uint64_t epoch, const EngineTarget& loaded)
{
    m_parts.engines.start(call(server, "/load"), [this, server, epoch, loaded](const ClientEvent& event) {
        const auto* ended = std::get_if<TransferEnded>(&event);
        if (!ended) {
            return;
        }
        const auto report = ended->end == TransferEnd::Complete && ended->status == statusOk ? parseServerLoadReport(ended->body) : std::nullopt;
        if (report) {
            takeOfEpoch(epoch, EngineRead { .server = server, .loaded = loaded, .openStreams = report->running + report->queued });
        } else {
            takeOfEpoch(epoch, EngineCallFailed { .server = server });
        }
    });
}

void EngineOrdersAdapter::act(const OrderEngine& order)
{
    const std::vector<EngineStep> steps = stepsBetween(order.loaded, order.target);
    sendNextStep(std::make_shared<OpenOrder>(OpenOrder { .server = order.server, .fencingNumber = order.fencingNumber, .epoch = m_epoch, .steps = { steps.begin(), steps.end() } }));
}

bool EngineOrdersAdapter::isLeaseLost(const OpenOrder& order) const
{
    return m_parts.check == OrderLeaseCheck::BeforeEachOrder && m_parts.lease.heldFencingNumber() != order.fencingNumber;
}

void EngineOrdersAdapter::sendNextStep(const std::shared_ptr<OpenOrder>& order)
{
    if (order->steps.empty()) {
        takeOfEpoch(order->epoch, EngineOrderAccepted { .server = order->server });
        return;
    }
    if (isLeaseLost(*order)) {
        note(*order, EngineOrderOutcome::LeaseLost);
        takeOfEpoch(order->epoch, EngineCallFailed { .server = order->server });
        return;
    }
    StartTransfer transfer = call(order->server, ordersPath);
    transfer.method = "POST";
    transfer.totalTimeout = orderTimeout;
    transfer.headers.push_back({ .name = "Content-Type", .value = "application/json" });
    transfer.body = engineOrderBody(order->steps.front(), order->fencingNumber);
    transfer.freshConnection = true; // libcurl repeats a call by itself on a connection that it had kept
    if (m_parts.check == OrderLeaseCheck::BeforeEachOrder) {
        transfer.startBefore = m_parts.lease.validUntil();
    }
    m_parts.engines.start(std::move(transfer), [this, order](const ClientEvent& event) {
        if (const auto* ended = std::get_if<TransferEnded>(&event)) {
            onStepEnded(order, *ended);
        }
    });
}

void EngineOrdersAdapter::onStepEnded(const std::shared_ptr<OpenOrder>& order, const TransferEnded& ended)
{
    const EngineOrderOutcome outcome = outcomeOf(ended);
    const bool wasTooLate = ended.end == TransferEnd::NothingSent && isLeaseLost(*order);
    note(*order, wasTooLate ? EngineOrderOutcome::LeaseLost : outcome);
    if (outcome == EngineOrderOutcome::Accepted) {
        order->steps.pop_front();
        sendNextStep(order);
    } else if (outcome == EngineOrderOutcome::FencingRefused) {
        takeOfEpoch(order->epoch, EngineFencingRefused { .server = order->server });
    } else {
        takeOfEpoch(order->epoch, EngineCallFailed { .server = order->server });
    }
}

void EngineOrdersAdapter::note(const OpenOrder& order, EngineOrderOutcome outcome)
{
    m_context.metrics.countEngineOrder(outcome);
    m_context.log.write({ .level = LogLevel::Info, .message = "an order to an engine", .fields = { { .name = "backend_server", .value = order.server }, { .name = "order", .value = engineOrderBody(order.steps.front(), order.fencingNumber) }, { .name = "outcome", .value = std::string { nameOf(outcome) } } } });
}

void EngineOrdersAdapter::act(const EngineOrdersFenced& fenced)
{
    m_context.log.write({ .level = LogLevel::Warning, .message = "an engine has seen a higher fencing number", .fields = { { .name = "backend_server", .value = fenced.server } } });
}

void EngineOrdersAdapter::act(const HoldBackServer& hold)
{
    m_context.log.write({ .level = LogLevel::Info, .message = "a backend server is taken out of routing for a change", .fields = { { .name = "backend_server", .value = hold.server } } });
    m_parts.holds.holdBack(hold.server, [this, server = hold.server, epoch = m_epoch](bool) { takeOfEpoch(epoch, EngineHeldBack { .server = server }); });
}

void EngineOrdersAdapter::act(const ReleaseServer& released)
{
    m_parts.holds.release(released.server);
}

std::vector<EngineOrderView> EngineOrdersAdapter::views() const
{
    std::vector<EngineOrderView> views;
    if (!m_parts.lease.heldFencingNumber()) {
        return views;
    }
    for (const auto& [server, engine] : m_state.engines) {
        views.push_back({ .server = server, .wanted = describeTarget(engine.target), .loaded = engine.loaded ? describeTarget(*engine.loaded) : std::string {}, .isHeldBack = engine.hold != ServerHold::None });
    }
    return views;
}

} // namespace siskinspread
