#include "siskinspread/Presentation.h"

#include <fmt/chrono.h>
#include <nlohmann/json.hpp>

namespace siskinspread {

namespace {

    using Json = nlohmann::ordered_json;

    std::string asLine(const Json& object)
    {
        return object.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
    }

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

    /** Leaves out a time that is not known. */
    void addTime(Json& object, const char* name, WallTime time)
    {
        if (time != WallTime {}) {
            object[name] = fmt::format("{:%Y-%m-%dT%H:%M:%S}Z", fmt::gmtime(time));
        }
    }

    Json asJson(const EntryHostStatus& host)
    {
        return {
            { "name", host.name },
            { "failure_domain", host.failureDomain },
            { "incarnation", host.incarnation },
            { "state", host.state },
            { "configuration_revision", host.configurationRevision },
            { "open_requests", host.openRequests },
        };
    }

    Json asJson(const OrderedEngineStatus& engine)
    {
        return { { "backend_server", engine.backendServer }, { "wanted", engine.wanted }, { "loaded", engine.loaded }, { "held_back", engine.heldBack } };
    }

    Json asJson(const DutyStatus& duty)
    {
        Json engines = Json::array();
        for (const OrderedEngineStatus& engine : duty.engines) {
            engines.push_back(asJson(engine));
        }
        return { { "duty", duty.duty }, { "holder", duty.holder }, { "fencing_number", duty.fencingNumber }, { "engines", engines } };
    }

    Json asJson(const BackendServerStatus& server)
    {
        return {
            { "name", server.name },
            { "pool", server.pool },
            { "failure_domain", server.failureDomain },
            { "state", server.state },
            { "open_requests", server.openRequests },
        };
    }

    Json asJson(const SettingsProblem& problem)
    {
        return { { "file", problem.file }, { "line", problem.line }, { "key", problem.key }, { "text", problem.text } };
    }

    template <typename Item>
    Json asList(const std::vector<Item>& items)
    {
        Json list = Json::array();
        for (const Item& item : items) {
            list.push_back(asJson(item));
        }
        return list;
    }

} // namespace

std::string presentJson(const CheckReport& report)
{
    return asLine({ { "files", report.files }, { "problems", asList(report.problems) } });
}

std::string presentJson(const PublishReport& report)
{
    Json object {
        { "revision", report.revision },
        { "publish_id", report.publishId },
        { "changed_services", report.changedServices },
        { "settled_by_read_back", report.settledByReadBack },
    };
    if (report.spread) {
        object["hosts_in_force"] = report.spread->inForce;
        object["live_hosts"] = report.spread->liveHosts;
    }
    return asLine(object);
}

std::string presentJson(const SystemStatus& status)
{
    const RevisionSpread spread = revisionSpread({ status }, status.configurationRevision);
    return asLine({
        { "observer", status.observer },
        { "configuration_revision", status.configurationRevision },
        { "hosts_in_force", spread.inForce },
        { "live_hosts", spread.liveHosts },
        { "entry_hosts", asList(status.entryHosts) },
        { "backend_servers", asList(status.backendServers) },
        { "duties", asList(status.duties) },
    });
}

std::string presentJson(const AccountAnswer& answer)
{
    const AccountEntry& account = answer.account;
    Json object {
        { "request_id", formatRequestId(answer.request) },
        { "standing", standingName(answer.standing) },
        { "service", account.service },
        { "customer", account.customer },
    };
    if (answer.key) {
        object["idempotency_key"] = answer.key->text;
    }
    if (answer.standing != AccountStanding::InProgress) {
        object["result_code"] = static_cast<int>(account.result);
        object["result"] = resultInfo(account.result).name;
    }
    object["run_state"] = runStateName(account.runState);
    addTime(object, "accepted", account.acceptedAt);
    addTime(object, "finished", account.finishedAt);
    object["attempts"] = account.attemptsKnown ? Json(account.attempts) : Json(nullptr);
    object["backend_servers"] = account.backendServers;
    object["may_have_been_sent_to"] = account.candidates;
    object["entry_host"] = account.entryHost;
    object["recorded_by"] = answer.recordedBy;
    object["advice"] = answer.advice;
    return asLine(object);
}

std::string presentJson(const DrainReport& report)
{
    return asLine({ { "name", report.name }, { "incarnation", report.incarnation }, { "state", report.hasEnded ? "ended" : "draining" }, { "already_draining", report.alreadyDraining },
        { "open_requests", report.openRequests }, { "grace_left_ms", report.graceLeft.count() } });
}

std::string presentJson(const LossReport& report)
{
    Json rows = Json::array();
    for (const LossRow& row : report.rows) {
        rows.push_back({ { "result", row.result }, { "run", row.run }, { "why", row.why }, { "requests", row.requests }, { "first_at", row.firstAt }, { "last_at", row.lastAt }, { "example", row.example } });
    }
    return asLine({ { "answered", report.answered }, { "in_time", report.inTime }, { "unreadable_lines", report.unreadable }, { "lines_left_out", report.leftOut }, { "losses", std::move(rows) } });
}

std::string presentJson(const LastReason& reason)
{
    return asLine({ { "error", { { "result_code", static_cast<int>(reason.code) }, { "result", resultInfo(reason.code).name }, { "detail", reason.detail } } } });
}

} // namespace siskinspread
