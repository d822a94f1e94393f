#include "siskinspread/OperatorRoutes.h"

#include "siskinspread/CallerResponse.h"
#include "siskinspread/RecordCodec.h"
#include "siskinspread/Target.h"

#include <nlohmann/json.hpp>

namespace siskinspread {

namespace {

    constexpr std::string_view accountsPath = "/operator/accounts";
    constexpr int statusOk = 200;
    constexpr const char* jsonContentType = "application/json";

} // namespace

OperatorRoutes::OperatorRoutes(HostContext& context, Parts parts)
    : m_context(context)
    , m_parts(std::move(parts))
{
}

bool OperatorRoutes::handle(const IncomingRequest& request)
{
    const Target target = splitTarget(request.target);
    if (target.path == "/operator/status") {
        m_parts.system.collect([this, exchange = request.exchange](const std::vector<EntryHostView>& hosts) {
            m_parts.duties.collect([this, exchange, hosts](const std::vector<HeldDuty>& duties) {
                send(exchange, statusOk, jsonContentType, statusJson(hosts, duties));
            });
        });
        return true;
    }
    if (target.path.starts_with(accountsPath)) {
        handleAccount(request);
        return true;
    }
    return false;
}

void OperatorRoutes::handleAccount(const IncomingRequest& request)
{
    const Target target = splitTarget(request.target);
    if (target.path.size() > accountsPath.size() + 1) {
        LastReason reason;
        const auto id = parseAccountId(target.path.substr(accountsPath.size() + 1), reason);
        if (!id) {
            sendRefusal(m_context, m_context.peerCallers, request.exchange, "", { .code = reason.code, .detail = reason.detail });
            return;
        }
        lookUp(request, { .request = *id }, {});
        return;
    }
    const auto key = queryParameter(target.query, "key");
    const auto customer = queryParameter(target.query, "customer");
    if (!key || !customer) {
        sendRefusal(m_context, m_context.peerCallers, request.exchange, "", { .code = ResultCode::MalformedRequest, .detail = "use /operator/accounts/REQUEST-ID or /operator/accounts?customer=C&key=KEY" });
        return;
    }
    const IdempotencyKey query { .customer = *customer, .text = *key };
    lookUp(request, { .key = query }, m_parts.ownersOfKey(query));
}

void OperatorRoutes::lookUp(const IncomingRequest& request, const AccountQuery& query, std::vector<IncarnationId> candidates)
{
    const bool asRecord = findHeader(request.headers, "Accept") == recordContentType;
    m_parts.accounts.start(query, std::move(candidates), [this, asRecord, exchange = request.exchange](const AccountAnswer& answer) {
        const int status = answer.standing == AccountStanding::NotFound ? resultInfo(ResultCode::UnknownRequest).httpStatus : statusOk;
        if (asRecord) {
            send(exchange, status, recordContentType, encodeAccountAnswer(answer));
        } else {
            send(exchange, status, jsonContentType, accountJson(answer));
        }
    });
}

std::string OperatorRoutes::statusJson(const std::vector<EntryHostView>& entryHosts, const std::vector<HeldDuty>& duties) const
{
    nlohmann::json servers = nlohmann::json::array();
    for (const auto& [name, pool] : m_parts.pools.services()) {
        for (const BackendServerView& server : pool->view.servers) {
            nlohmann::json view { { "name", server.description.name }, { "pool", pool->service.pool() }, { "failure_domain", server.description.failureDomain }, { "state", m_parts.backendServers.stateName(server.description.name) }, { "open_requests", server.ownInFlight } };
            if (server.report) {
                view["reported_requests"] = server.report->running + server.report->waiting;
            }
            servers.push_back(std::move(view));
        }
    }
    nlohmann::json hosts = nlohmann::json::array();
    for (const EntryHostView& view : entryHosts) {
        hosts.push_back({ { "name", view.name }, { "failure_domain", view.failureDomain }, { "incarnation", view.incarnation }, { "state", memberStatusName(view.status) }, { "configuration_revision", view.configurationRevision } });
    }
    if (!hosts.empty()) {
        hosts.front()["open_requests"] = m_parts.requests.openCount(); // the others' are not known here
    }
    const nlohmann::json status {
        { "observer", m_context.settings.host().name() },
        { "configuration_revision", m_parts.pools.revision() },
        { "entry_hosts", hosts },
        { "backend_servers", servers },
        { "duties", dutiesJson(duties) },
    };
    return status.dump();
}

void OperatorRoutes::send(ExchangeId exchange, int status, const char* contentType, std::string body)
{
    m_context.peerCallers.send(RespondWhole { .exchange = exchange, .status = status, .headers = { { .name = "Content-Type", .value = contentType } }, .body = std::move(body) });
}

} // namespace siskinspread
