// The HTTP paths of the stand-in engine beside chat completions.

#include "Engine.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace siskinspread::standin {
namespace {

    using Clock = std::chrono::steady_clock;

    constexpr std::string_view chatPath = "/v1/chat/completions";

    std::string blockName(uint64_t block)
    {
        char digits[17];
        std::snprintf(digits, sizeof digits, "%016llx", static_cast<unsigned long long>(block));
        return digits;
    }

    nlohmann::json countersJson(const RunCounters& counters)
    {
        return { { "started", counters.started }, { "tokens", counters.tokens }, { "finished", counters.finished },
            { "cancelled", counters.cancelled } };
    }

    /** @return the number after which a stream fails, or nothing for null. */
    std::optional<uint64_t> tokenLimit(const nlohmann::json& value)
    {
        return value.is_null() ? std::nullopt : std::optional(value.get<uint64_t>());
    }

} // namespace

void Engine::handle(const Call& call, const Responder& responder)
{
    if (call.path == "/control/runs") {
        sendRuns(responder);
    } else if (call.path == "/control/totals") {
        sendTotals(responder);
    } else if (call.path == "/control/faults") {
        setFaults(call, responder, [this](const auto& name, const auto& value) { return setFault(name, value); });
    } else if (isCutOff(call)) {
        responder.closeConnection();
    } else {
        passCommonFaults(m_faults.common, m_loop, responder, [this, call, responder] { serve(call, responder); });
    }
}

bool Engine::isCutOff(const Call& call) const
{
    const std::string agent = call.header("user-agent");
    return std::any_of(m_faults.unreachableFor.begin(), m_faults.unreachableFor.end(), [&](const std::string& host) { return agent.find("(" + host + ")") != std::string::npos; });
}

void Engine::serve(const Call& call, const Responder& responder)
{
    const bool isPost = call.method == "POST";
    if (call.path == chatPath && isPost) {
        serveChat(call, responder);
    } else if (call.path == "/orders") {
        serveOrders(call, responder);
    } else if (call.path == "/load") {
        sendLoad(responder);
    } else if (call.path == "/cache/events") {
        sendCacheEvents(call, responder);
    } else if (call.path == "/cancel" && isPost) {
        serveCancel(call, responder);
    } else if (call.path == "/kv/export" && isPost) {
        serveExport(call, responder);
    } else if (call.path == "/kv/import" && isPost) {
        serveImport(call, responder);
    } else {
        responder.send(404);
    }
}

void Engine::serveOrders(const Call& call, const Responder& responder)
{
    if (call.method != "POST") {
        sendJson(responder, 200, describeState(m_state));
        return;
    }
    ++m_state.received;
    const auto order = nlohmann::json::parse(call.body);
    if (m_faults.keepOrders) {
        m_keptOrders.emplace_back([this, order, responder] { obey(order, responder); });
    } else {
        obey(order, responder);
    }
}

void Engine::obey(const nlohmann::json& order, const Responder& responder)
{
    if (!obeyOrder(m_state, order, m_runs.size())) {
        sendJson(responder, 409, describeState(m_state));
        return;
    }
    if (order.at("order") == "unload_model") {
        unloadModel(order.at("model").get<std::string>());
    }
    sendJson(responder, 200, describeState(m_state));
}

void Engine::serveCancel(const Call& call, const Responder& responder)
{
    const auto requestId = nlohmann::json::parse(call.body).at("request_id").get<std::string>();
    const auto runs = runsWhere([&](const EngineRun& run) { return run.request.requestId == requestId; });
    for (const RunPointer& run : runs) {
        cancel(run);
    }
    sendJson(responder, 200, { { "cancelled", runs.size() } });
}

void Engine::serveExport(const Call& call, const Responder& responder)
{
    const auto requestId = nlohmann::json::parse(call.body).at("request_id").get<std::string>();
    const auto runs = runsWhere([&](const EngineRun& run) { return run.isRunning && run.request.requestId == requestId; });
    if (runs.empty()) {
        responder.send(404);
        return;
    }
    const EngineRun& run = *runs.back();
    const std::string handle = "kv-" + m_options.name + "-" + std::to_string(run.number);
    const nlohmann::json blob { { "handle", handle }, { "answer", run.request.answer }, { "tokens", run.nextToken }, { "blocks", run.request.blocks } };
    sendJson(responder, 200, { { "handle", handle }, { "blob", blob.dump() } });
}

void Engine::serveImport(const Call& call, const Responder& responder)
{
    const auto blob = nlohmann::json::parse(nlohmann::json::parse(call.body).at("blob").get<std::string>());
    const auto handle = blob.at("handle").get<std::string>();
    m_imported[handle] = { .answer = blob.at("answer").get<std::string>(), .tokens = blob.at("tokens").get<uint64_t>() };
    m_cache.use(blob.at("blocks").get<std::vector<uint64_t>>(), Clock::now());
    publishLoad();
    sendJson(responder, 200, { { "handle", handle } });
}

void Engine::sendCacheEvents(const Call& call, const Responder& responder) const
{
    auto events = nlohmann::json::array();
    for (const CacheEvent& event : m_cache.events(call.queryNumber("after", 0), Clock::now())) {
        events.push_back({ { "seq", event.sequence }, { "op", event.operation == CacheOperation::Add ? "add" : "remove" }, { "block", blockName(event.block) } });
    }
    sendJson(responder, 200, events);
}

void Engine::sendLoad(const Responder& responder)
{
    const EngineLoad& load = m_load.published(Clock::now());
    sendJson(responder, 200,
        { { "name", m_options.name }, { "instance", m_instance }, { "failure_domain", m_options.failureDomain }, { "running", load.running },
            { "queued", load.queued }, { "slots", m_options.slots }, { "cached_tokens", load.cachedTokens }, { "leaving", load.leaving } });
}

void Engine::sendRuns(const Responder& responder) const
{
    auto runs = nlohmann::json::object();
    for (const auto& [requestId, counters] : m_counters) {
        runs[requestId] = countersJson(counters);
        runs[requestId]["start_order"] = counters.startOrder;
    }
    sendJson(responder, 200, runs);
}

void Engine::sendTotals(const Responder& responder) const
{
    auto totals = countersJson(m_totals.runs);
    totals["prompt_tokens"] = m_totals.promptTokens;
    totals["cached_tokens"] = m_totals.cachedTokens;
    totals["recomputed_tokens"] = m_totals.recomputedTokens;
    totals["refused"] = m_totals.refused;
    sendJson(responder, 200, totals);
}

bool Engine::setFault(const std::string& name, const nlohmann::json& value)
{
    if (name == "refuse") {
        m_faults.refuse = value.get<bool>();
    } else if (name == "leaving") {
        m_faults.leaving = value.get<bool>();
        publishLoad();
    } else if (name == "duplicate_chunks") {
        m_faults.duplicateChunks = value.get<bool>();
    } else if (name == "reorder_chunks") {
        m_faults.reorderChunks = value.get<bool>();
    } else if (name == "bad_token_index") {
        m_faults.badTokenIndex = value.get<bool>();
    } else if (name == "reject_status") {
        m_faults.rejectStatus = value.get<int>();
    } else if (name == "keep_orders") {
        m_faults.keepOrders = value.get<bool>();
    } else if (name == "release_orders") {
        for (const auto& order : std::exchange(m_keptOrders, {})) {
            order();
        }
    } else if (name == "slow_factor") {
        m_faults.slowFactor = value.get<double>();
    } else if (name == "unreachable_for") {
        m_faults.unreachableFor = value.get<std::set<std::string>>();
    } else if (name == "break_after_tokens") {
        m_faults.breakAfterTokens = tokenLimit(value);
    } else if (name == "silent_after_tokens") {
        m_faults.silentAfterTokens = tokenLimit(value);
    } else if (!setCommonFault(m_faults.common, m_loop, name, value)) {
        return false;
    }
    if (m_faults.common.down) {
        breakAll();
    }
    return true;
}

} // namespace siskinspread::standin
