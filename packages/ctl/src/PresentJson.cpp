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

    void addResult(Json& object, ResultCode result, RunState run)
    {
        object["result_code"] = static_cast<int>(result);
        object["result"] = resultInfo(result).name;
        object["run"] = runStateName(run);
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

    Json asJson(const AttemptReport& attempt)
    {
        Json object { { "backend_server", attempt.backendServer }, { "since_accepted_ms", attempt.sinceAccepted.count() } };
        addResult(object, attempt.result, attempt.run);
        return object;
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
    return asLine({
        { "observer", status.observer },
        { "configuration_revision", status.configurationRevision },
        { "entry_hosts", asList(status.entryHosts) },
        { "backend_servers", asList(status.backendServers) },
    });
}

std::string presentJson(const AccountReport& report)
{
    Json object { { "request_id", report.requestId }, { "service", report.service }, { "customer", report.customer } };
    if (!report.idempotencyKey.empty()) {
        object["idempotency_key"] = report.idempotencyKey;
    }
    object["ended"] = report.ended;
    if (report.ended) {
        addResult(object, report.result, report.run);
    }
    if (report.accepted) {
        object["accepted"] = fmt::format("{:%Y-%m-%dT%H:%M:%S}Z", fmt::gmtime(*report.accepted));
    }
    if (report.duration) {
        object["duration_ms"] = report.duration->count();
    }
    object["tokens_delivered"] = report.tokensDelivered;
    object["attempts"] = asList(report.attempts);
    return asLine(object);
}

std::string presentJson(const DrainReport& report)
{
    return asLine({ { "name", report.name }, { "open_requests", report.openRequests } });
}

std::string presentJson(const LastReason& reason)
{
    return asLine({ { "error", { { "result_code", static_cast<int>(reason.code) }, { "result", resultInfo(reason.code).name }, { "detail", reason.detail } } } });
}

} // namespace siskinspread
