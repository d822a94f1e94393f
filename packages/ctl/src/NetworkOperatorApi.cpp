#include "siskinspread/NetworkOperatorApi.h"

#include "PublishImage.h"
#include "Publisher.h"
#include "siskinspread/Drainer.h"
#include "siskinspread/RecordCodec.h"
#include "siskinspread/UrlText.h"

#include <nlohmann/json.hpp>

#include <thread>

namespace siskinspread {

namespace {

    constexpr int statusOk = 200;
    constexpr int statusNotFound = 404;
    constexpr std::chrono::milliseconds statusInterval { 500 };

    /** Asks the entry hosts in turn. @return the first answer, or nothing with BackendConnectFailed. */
    std::optional<TransferEnded> askEntryHosts(const std::vector<std::string>& entryHosts, const std::string& path, std::chrono::milliseconds timeout, const HttpHeaders& headers, LastReason& reason)
    {
        std::string detail = "no entry host answered:";
        for (const std::string& host : entryHosts) {
            TransferEnded ended = performTransfer({ .url = host + path, .headers = headers, .body = {}, .connectTimeout = timeout, .totalTimeout = timeout });
            if (ended.end == TransferEnd::Complete) {
                return ended;
            }
            detail += " " + host + " (" + ended.detail + ")";
        }
        return fail(reason, ResultCode::BackendConnectFailed, detail);
    }

    std::optional<nlohmann::json> askForJson(const std::vector<std::string>& entryHosts, const std::string& path, std::chrono::milliseconds timeout, LastReason& reason)
    {
        const auto answer = askEntryHosts(entryHosts, path, timeout, {}, reason);
        if (!answer) {
            return std::nullopt;
        }
        auto document = nlohmann::json::parse(answer->body, nullptr, false);
        if (answer->status == statusNotFound) {
            return fail(reason, ResultCode::UnknownRequest, "no such request is known");
        }
        if (answer->status != statusOk || !document.is_object()) {
            return fail(reason, ResultCode::BackendError, "an entry host answered with status " + std::to_string(answer->status));
        }
        return document;
    }

    DutyStatus dutyOf(const nlohmann::json& document)
    {
        DutyStatus duty { .duty = document.value("duty", ""), .holder = document.value("holder", ""), .fencingNumber = document.value("fencing_number", uint64_t { 0 }) };
        for (const auto& engine : document.value("engines", nlohmann::json::array())) {
            duty.engines.push_back({ .backendServer = engine.value("backend_server", ""), .wanted = engine.value("wanted", ""), .loaded = engine.value("loaded", ""), .heldBack = engine.value("held_back", false) });
        }
        return duty;
    }

    SystemStatus statusOf(const nlohmann::json& document)
    {
        SystemStatus status;
        status.observer = document.value("observer", "");
        status.configurationRevision = document.value("configuration_revision", uint64_t { 0 });
        for (const auto& host : document.value("entry_hosts", nlohmann::json::array())) {
            status.entryHosts.push_back({ .name = host.value("name", ""), .failureDomain = host.value("failure_domain", ""), .incarnation = host.value("incarnation", ""), .state = host.value("state", ""), .configurationRevision = host.value("configuration_revision", uint64_t { 0 }), .openRequests = host.value("open_requests", 0U) });
        }
        for (const auto& server : document.value("backend_servers", nlohmann::json::array())) {
            status.backendServers.push_back({ .name = server.value("name", ""), .pool = server.value("pool", ""), .failureDomain = server.value("failure_domain", ""), .state = server.value("state", ""), .openRequests = server.value("open_requests", 0U) });
        }
        for (const auto& duty : document.value("duties", nlohmann::json::array())) {
            status.duties.push_back(dutyOf(duty));
        }
        return status;
    }

    std::optional<SystemStatus> askForStatus(const std::vector<std::string>& entryHosts, std::chrono::milliseconds timeout, LastReason& reason)
    {
        const auto document = askForJson(entryHosts, "/operator/status", timeout, reason);
        return document ? std::optional { statusOf(*document) } : std::nullopt;
    }

    /** Asks each entry host until all live ones have the revision or the time is over. */
    RevisionSpread waitForSpread(const PublishArguments& arguments, uint64_t revision)
    {
        const auto end = std::chrono::steady_clock::now() + arguments.waitTimeout;
        while (true) {
            std::vector<SystemStatus> answers;
            for (const std::string& host : arguments.entryHosts) {
                LastReason ignored;
                if (auto answer = askForStatus({ host }, arguments.common.timeout, ignored)) {
                    answers.push_back(std::move(*answer));
                }
            }
            const RevisionSpread spread = revisionSpread(answers, revision);
            const bool everywhere = spread.liveHosts && spread.inForce == spread.liveHosts;
            if (everywhere || std::chrono::steady_clock::now() + statusInterval >= end) {
                return spread;
            }
            std::this_thread::sleep_for(statusInterval);
        }
    }

    /** @return the path that names the request of an account query. */
    std::string accountPath(const AccountArguments& arguments)
    {
        if (arguments.key) {
            return "/operator/accounts?customer=" + percentEncoded(arguments.customer) + "&key=" + percentEncoded(*arguments.key);
        }
        return "/operator/accounts/" + percentEncoded(formatRequestId(*arguments.requestId));
    }

} // namespace

NetworkOperatorApi::NetworkOperatorApi(std::string publisher, std::function<std::string()> drawPublishId)
    : m_publisher(std::move(publisher))
    , m_drawPublishId(std::move(drawPublishId))
{
}

std::optional<PublishReport> NetworkOperatorApi::publish(const PublishArguments& arguments, std::span<const ServiceDocument> documents, LastReason& reason)
{
    const PublisherOptions options { .store = { .url = arguments.objectApi, .timeout = arguments.common.timeout }, .plan = {} };
    const PublishRequest request { .publishId = m_drawPublishId(), .publisher = m_publisher, .files = contentOf(documents) };
    auto report = publishConfiguration(performTransfer, options, request, reason);
    if (report && arguments.wait) {
        report->spread = waitForSpread(arguments, report->revision);
    }
    return report;
}

std::optional<SystemStatus> NetworkOperatorApi::status(const StatusArguments& arguments, LastReason& reason)
{
    return askForStatus(arguments.entryHosts, arguments.common.timeout, reason);
}

std::optional<AccountAnswer> NetworkOperatorApi::account(const AccountArguments& arguments, LastReason& reason)
{
    const auto answer = askEntryHosts(arguments.entryHosts, accountPath(arguments), arguments.common.timeout, { { .name = "Accept", .value = recordContentType } }, reason);
    if (!answer) {
        return std::nullopt;
    }
    if (answer->status == statusNotFound) {
        return fail(reason, ResultCode::UnknownRequest, "no such request is known");
    }
    if (answer->status != statusOk) {
        return fail(reason, ResultCode::BackendError, "an entry host answered with status " + std::to_string(answer->status));
    }
    return decodeAccountAnswer(answer->body, reason);
}

std::optional<DrainReport> NetworkOperatorApi::drain(const DrainArguments& arguments, LastReason& reason)
{
    const DrainWays ways { .perform = performTransfer, .pause = [](std::chrono::milliseconds time) { std::this_thread::sleep_for(time); } };
    return drainHost(ways, arguments, reason);
}

} // namespace siskinspread
