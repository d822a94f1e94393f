#include "siskinspread/CopyDesk.h"

#include "siskinspread/Hex.h"
#include "siskinspread/RecordCodec.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace siskinspread {

namespace {

    constexpr const char* copiesMethod = "copies";
    constexpr const char* sealMethod = "seal";
    constexpr std::chrono::milliseconds chooseInterval { 500 };

    std::string encodeRecords(const IncarnationId& owner, const std::vector<LogRecord>& records)
    {
        return toHex(encodeLogBatch({ .incarnation = owner, .number = 0, .writer = owner, .records = records }));
    }

    std::optional<std::vector<LogRecord>> decodeRecords(const std::string& hex)
    {
        LastReason reason;
        auto batch = decodeLogBatch(fromHex(hex), reason);
        if (!batch) {
            return std::nullopt;
        }
        return std::move(batch->records);
    }

} // namespace

CopyDesk::CopyDesk(HostContext& context, Timers& timers, PeerCalls& calls, PeerDirectory& peers)
    : m_context(context)
    , m_timers(timers)
    , m_calls(calls)
    , m_peers(peers)
{
    m_state.self = context.incarnation;
    m_calls.methods().registerMethod(copiesMethod, [this](const std::string& params) { return onCopies(params); });
    m_calls.methods().registerMethod(sealMethod, [this](const std::string& params) { return onSeal(params); });
}

// A domain that is cut off goes on only if the holder is inside it, so a peer of the own failure domain comes first.
std::optional<IncarnationId> CopyDesk::chooseHolder() const
{
    const std::string& ownDomain = m_context.settings.host().failure_domain();
    auto candidates = m_peers.live();
    std::erase_if(candidates, [this](const auto& candidate) { return candidate.incarnation == m_context.incarnation; });
    if (candidates.empty()) {
        return std::nullopt;
    }
    std::sort(candidates.begin(), candidates.end(), [&ownDomain](const auto& a, const auto& b) {
        const bool isNear = a.failureDomain == ownDomain;
        const bool isOtherNear = b.failureDomain == ownDomain;
        return isNear != isOtherNear ? isNear : a.incarnation < b.incarnation;
    });
    return candidates.front().incarnation;
}

void CopyDesk::keepHolder(LogWriter& log)
{
    const auto& declared = log.declaredHolder();
    const bool isLost = declared && m_peers.isLost(*declared);
    if (isLost || (!declared && m_peers.hasJoined())) { // not before the peers of the own domain are known
        if (const auto holder = chooseHolder()) {
            log.chooseHolder(*holder);
        }
    }
    m_timers.schedule(m_context.now + chooseInterval, [this, &log] { keepHolder(log); });
}

void CopyDesk::send(const SendCopies& action, std::function<void(const IncarnationLogEvent&)> done)
{
    const nlohmann::json params {
        { "owner", m_context.incarnation.text },
        { "addressee", action.holder.text },
        { "logged_up_to", action.loggedUpTo },
        { "records", encodeRecords(m_context.incarnation, action.records) },
    };
    m_calls.call(hostOf(action.holder), copiesMethod, params.dump(), [holder = action.holder, done = std::move(done)](const RpcOutcome& outcome) {
        const auto result = nlohmann::json::parse(outcome.resultJson, nullptr, false);
        if (!outcome.ok() || !result.is_object()) {
            return; // the decision sends them again
        }
        if (result.contains("acknowledged")) {
            done(CopiesAcknowledged { .holder = holder, .upTo = result["acknowledged"].get<uint64_t>() });
        } else if (result.value("permanent", false)) {
            done(CopiesRefused { .holder = holder });
        }
    });
}

void CopyDesk::seal(const SealCopies& action, SealDone done)
{
    const nlohmann::json params {
        { "owner", action.incarnation.text },
        { "addressee", action.holder.text },
        { "by", m_context.incarnation.text },
    };
    if (action.holder == m_context.incarnation) {
        const RpcOutcome outcome = onSeal(params.dump());
        const auto records = decodeRecords(nlohmann::json::parse(outcome.resultJson).value("records", ""));
        done(CopiesSealed { .records = records.value_or(std::vector<LogRecord> {}) });
        return;
    }
    if (m_peers.isGone(action.holder)) {
        done(CopyHolderGone {}); // nobody is left to ask
        return;
    }
    m_peers.awaitVerdict(action.holder);
    m_calls.call(hostOf(action.holder), sealMethod, params.dump(), [done = std::move(done)](const RpcOutcome& outcome) {
        const auto result = nlohmann::json::parse(outcome.resultJson, nullptr, false);
        if (!outcome.ok() || !result.is_object()) {
            done(CallFailed {});
            return;
        }
        if (result.value("gone", false)) {
            done(CopyHolderGone {});
            return;
        }
        auto records = decodeRecords(result.value("records", ""));
        if (!records) {
            done(CallFailed {});
            return;
        }
        done(CopiesSealed { .records = std::move(*records) });
    });
}

RpcOutcome CopyDesk::onCopies(const std::string& paramsJson)
{
    const auto params = nlohmann::json::parse(paramsJson, nullptr, false);
    auto records = params.is_object() ? decodeRecords(params.value("records", "")) : std::nullopt;
    if (!records) {
        return rpcFailure(rpc_error::invalidParams, "copies takes owner, addressee, logged_up_to and records");
    }
    std::vector<CopyHolderAction> actions;
    step(m_state, m_options, CopiesArrived { .owner = { params.value("owner", "") }, .addressee = { params.value("addressee", "") }, .loggedUpTo = params.value("logged_up_to", uint64_t { 0 }), .records = std::move(*records) }, actions);
    nlohmann::json result = nlohmann::json::object();
    for (const CopyHolderAction& action : actions) {
        if (const auto* acknowledged = std::get_if<AcknowledgeCopies>(&action)) {
            result["acknowledged"] = acknowledged->upTo;
        } else if (const auto* refused = std::get_if<RefuseCopies>(&action)) {
            result["permanent"] = refused->permanent;
        }
    }
    return result.dump();
}

RpcOutcome CopyDesk::onSeal(const std::string& paramsJson)
{
    const auto params = nlohmann::json::parse(paramsJson, nullptr, false);
    if (!params.is_object()) {
        return rpcFailure(rpc_error::invalidParams, "seal takes owner, addressee and by");
    }
    const IncarnationId owner { params.value("owner", "") };
    std::vector<CopyHolderAction> actions;
    step(m_state, m_options, SealRequested { .owner = owner, .addressee = { params.value("addressee", "") }, .by = { params.value("by", "") } }, actions);
    nlohmann::json result = nlohmann::json::object();
    for (const CopyHolderAction& action : actions) {
        if (const auto* sealed = std::get_if<ReturnSealedCopies>(&action)) {
            result["records"] = encodeRecords(owner, sealed->records);
        } else if (std::holds_alternative<AddresseeGone>(action)) {
            result["gone"] = true;
        }
    }
    return result.dump();
}

} // namespace siskinspread
