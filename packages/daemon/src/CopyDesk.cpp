#include "siskinspread/CopyDesk.h"

#include "CopyRecords.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace siskinspread {

namespace {

    constexpr const char* copiesMethod = "copies";
    constexpr const char* sealMethod = "seal";
    constexpr const char* adoptedMethod = "adopted";
    constexpr std::chrono::milliseconds chooseInterval { 500 };
    // All live hosts are asked, so not at each try to reach a holder; for each log that is searched for at a time.
    constexpr std::chrono::milliseconds searchInterval { 5000 };

} // namespace

/** One search for copies that a holder handed over. */
struct AdoptedSearch {
    CopyDesk::SealDone done; /**< Empty once it is called. */
    size_t unanswered { 0 };
    bool isConclusive { true }; /**< Every host that was asked has answered. */
    bool holderGone { false };

    void finish(const LogClosingEvent& event)
    {
        if (const auto call = std::exchange(done, {})) {
            call(event);
        }
    }

    void onNo(bool answered)
    {
        isConclusive = isConclusive && answered;
        if (--unanswered == 0) {
            finish(holderGone && isConclusive ? LogClosingEvent { CopyHolderGone {} } : LogClosingEvent { CallFailed {} });
        }
    }
};

CopyDesk::CopyDesk(HostContext& context, Timers& timers, PeerCalls& calls, PeerDirectory& peers)
    : m_context(context)
    , m_timers(timers)
    , m_calls(calls)
    , m_peers(peers)
    , m_handover(context, timers, calls, peers)
{
    m_state.self = context.incarnation;
    m_calls.methods().registerMethod(copiesMethod, [this](const std::string& params) { return onCopies(params); });
    m_calls.methods().registerMethod(sealMethod, [this](const std::string& params) { return onSeal(params); });
    m_calls.methods().registerMethod(adoptMethod, [this](const std::string& params) { return onAdopt(params); });
    m_calls.methods().registerMethod(adoptedMethod, [this](const std::string& params) { return onAdopted(params); });
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
        searchAdopted(action, true, done); // before its end it may have handed its copies over
        return;
    }
    m_peers.awaitVerdict(action.holder);
    m_calls.call(hostOf(action.holder), sealMethod, params.dump(), [this, action, done = std::move(done)](const RpcOutcome& outcome) {
        const auto result = nlohmann::json::parse(outcome.resultJson, nullptr, false);
        if (!outcome.ok() || !result.is_object()) {
            searchAdopted(action, false, done);
            return;
        }
        if (result.value("gone", false)) {
            searchAdopted(action, true, done);
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

void CopyDesk::handOver()
{
    if (m_state.leaving) {
        return;
    }
    std::vector<CopyHolderAction> actions;
    step(m_state, m_options, HandOverDue {}, actions);
    std::vector<CopiesPart> parts;
    parts.reserve(actions.size());
    for (const CopyHolderAction& action : actions) {
        parts.push_back(std::get<OfferPart>(action).part);
    }
    m_handover.begin(std::move(parts));
}

bool CopyDesk::holdsRecords() const
{
    const bool isOwnersKeeper = std::any_of(m_state.owners.begin(), m_state.owners.end(), [](const auto& owner) { return !owner.second.records.empty(); });
    return isOwnersKeeper || !m_state.adopted.empty();
}

void CopyDesk::searchAdopted(const SealCopies& action, bool holderGone, const SealDone& done)
{
    const auto last = m_searchedAt.find(action.incarnation);
    if (last != m_searchedAt.end() && m_context.now < last->second + searchInterval * m_searchedAt.size()) {
        done(CallFailed {});
        return;
    }
    m_searchedAt[action.incarnation] = m_context.now;
    const auto ended = [this, owner = action.incarnation, done](const LogClosingEvent& event) {
        if (!std::holds_alternative<CallFailed>(event)) {
            m_searchedAt.erase(owner);
        }
        done(event);
    };
    const auto peers = m_peers.live();
    const auto search = std::make_shared<AdoptedSearch>(AdoptedSearch { .done = ended, .unanswered = peers.size(), .holderGone = holderGone });
    for (const auto& peer : peers) {
        askAdopted(peer.incarnation, action, search);
    }
}

void CopyDesk::askAdopted(const IncarnationId& peer, const SealCopies& action, const Asked& search)
{
    const auto answered = [search](const RpcOutcome& outcome) {
        const auto result = nlohmann::json::parse(outcome.resultJson, nullptr, false);
        auto records = outcome.ok() && result.is_string() ? decodeRecords(result.get<std::string>()) : std::nullopt;
        if (records) {
            search->finish(CopiesSealed { .records = std::move(*records) });
        }
        search->onNo(outcome.ok() && result.is_null());
    };
    const std::string params = nlohmann::json { { "owner", action.incarnation.text }, { "holder", action.holder.text } }.dump();
    if (peer == m_context.incarnation) {
        answered(onAdopted(params));
    } else {
        m_calls.call(hostOf(peer), adoptedMethod, params, answered);
    }
}

RpcOutcome CopyDesk::onAdopt(const std::string& paramsJson)
{
    const auto params = nlohmann::json::parse(paramsJson, nullptr, false);
    auto records = params.is_object() ? decodeRecords(params.value("records", "")) : std::nullopt;
    if (!records) {
        return rpcFailure(rpc_error::invalidParams, "adopt takes holder, number, parts, owner and records");
    }
    CopiesPart part { .holder = { params.value("holder", "") }, .number = params.value("number", size_t { 0 }), .parts = params.value("parts", size_t { 0 }), .owner = { params.value("owner", "") }, .records = std::move(*records) };
    std::vector<CopyHolderAction> actions;
    step(m_state, m_options, PartOffered { .part = std::move(part) }, actions);
    return nlohmann::json(std::get<AnswerOffer>(actions.front()).taken).dump();
}

RpcOutcome CopyDesk::onAdopted(const std::string& paramsJson)
{
    const auto params = nlohmann::json::parse(paramsJson, nullptr, false);
    if (!params.is_object()) {
        return rpcFailure(rpc_error::invalidParams, "adopted takes owner and holder");
    }
    const IncarnationId owner { params.value("owner", "") };
    std::vector<CopyHolderAction> actions;
    step(m_state, m_options, AdoptedRequested { .owner = owner, .holder = { params.value("holder", "") } }, actions);
    const auto& records = std::get<ReturnAdopted>(actions.front()).records;
    return records ? nlohmann::json(encodeRecords(owner, *records)).dump() : nlohmann::json(nullptr).dump();
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
