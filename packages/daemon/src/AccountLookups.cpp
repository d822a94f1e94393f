#include "siskinspread/AccountLookups.h"

#include "siskinspread/LogReads.h"

#include <nlohmann/json.hpp>

#include <ctime>

namespace siskinspread {

namespace {

    constexpr std::chrono::milliseconds tickInterval { 100 };

    std::string_view standingName(AccountStanding standing)
    {
        switch (standing) {
        case AccountStanding::Final:
            return "final";
        case AccountStanding::InProgress:
            return "in_progress";
        case AccountStanding::Provisional:
            return "provisional";
        case AccountStanding::NotFound:
            break;
        }
        return "not_found";
    }

    nlohmann::json timeJson(WallTime time)
    {
        if (time == WallTime {}) {
            return nullptr;
        }
        const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
        std::tm utc {};
        gmtime_r(&seconds, &utc);
        char text[32];
        std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &utc);
        return text;
    }

} // namespace

AccountLookups::AccountLookups(HostContext& context, Timers& timers, const ObjectApiOptions& store, Local local, Ask ask)
    : m_context(context)
    , m_timers(timers)
    , m_store(store)
    , m_local(std::move(local))
    , m_ask(std::move(ask))
{
}

void AccountLookups::start(const AccountQuery& query, std::vector<IncarnationId> candidates, Done done)
{
    const uint64_t id = ++m_last;
    Lookup lookup;
    lookup.state.self = m_context.incarnation;
    lookup.done = std::move(done);
    m_lookups.emplace(id, std::move(lookup));
    scheduleTick(id);
    raise(id, StartLookup { .query = query, .candidates = std::move(candidates) });
}

void AccountLookups::scheduleTick(uint64_t id)
{
    m_timers.schedule(m_context.now + tickInterval, [this, id] {
        if (m_lookups.contains(id)) {
            scheduleTick(id);
            raise(id, LookupRead { .event = LogTick {} });
        }
    });
}

void AccountLookups::raise(uint64_t id, const AccountLookupEvent& event)
{
    const auto entry = m_lookups.find(id);
    if (entry == m_lookups.end()) {
        return;
    }
    std::vector<AccountLookupAction> actions;
    step(entry->second.state, m_options, event, { .monotonic = m_context.now, .wall = m_context.wall }, actions);
    for (const AccountLookupAction& action : actions) {
        std::visit([this, id](const auto& a) { run(id, a); }, action);
    }
}

void AccountLookups::run(uint64_t id, const AskIncarnation& action)
{
    if (action.incarnation == m_context.incarnation) {
        answered(id, action.incarnation, m_local(action.query));
        return;
    }
    m_ask(action.incarnation, action.query, [this, id, incarnation = action.incarnation](const std::optional<AccountAnswer>& answer) {
        answered(id, incarnation, answer);
    });
}

void AccountLookups::answered(uint64_t id, const IncarnationId& incarnation, const std::optional<AccountAnswer>& answer)
{
    if (answer) {
        raise(id, IncarnationAnswered { .incarnation = incarnation, .answer = *answer });
    } else {
        raise(id, IncarnationSilent { .incarnation = incarnation });
    }
}

void AccountLookups::run(uint64_t id, const ReadBatch& action)
{
    readLogBatch(m_context, m_store, action, [this, id](const LogClosingEvent& event) { raise(id, LookupRead { .event = event }); });
}

void AccountLookups::run(uint64_t id, const ReadSealedCopy& action)
{
    readSealedCopy(m_context, m_store, action, [this, id](const LogClosingEvent& event) { raise(id, LookupRead { .event = event }); });
}

void AccountLookups::run(uint64_t id, const LookupDone& action)
{
    const auto entry = m_lookups.find(id);
    const Done done = std::move(entry->second.done);
    m_lookups.erase(entry);
    done(action.answer);
}

std::string accountJson(const AccountAnswer& answer)
{
    const AccountEntry& account = answer.account;
    nlohmann::json json {
        { "standing", standingName(answer.standing) },
        { "request_id", formatRequestId(answer.request) },
        { "recorded_by", answer.recordedBy },
        { "advice", answer.advice },
    };
    if (answer.standing != AccountStanding::NotFound) {
        json["customer"] = account.customer;
        json["service"] = account.service;
        json["attempts"] = account.attemptsKnown ? nlohmann::json(account.attempts) : nlohmann::json(nullptr);
        json["backend_servers"] = account.backendServers;
        json["may_have_been_sent_to"] = account.candidates;
        json["accepted_at"] = timeJson(account.acceptedAt);
        json["entry_host"] = account.entryHost;
    }
    if (answer.standing == AccountStanding::Final || answer.standing == AccountStanding::Provisional) {
        json["code"] = static_cast<int>(account.result);
        json["name"] = resultInfo(account.result).name;
        json["run_state"] = runStateName(account.runState);
        json["finished_at"] = timeJson(account.finishedAt);
    }
    if (answer.key) {
        json["idempotency_key"] = answer.key->text;
    }
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace siskinspread
