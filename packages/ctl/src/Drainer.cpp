#include "siskinspread/Drainer.h"

#include <curl/curl.h>
#include <nlohmann/json.hpp>

namespace siskinspread {

namespace {

    constexpr const char* drainPath = "/operator/drain";
    constexpr int statusOk = 200;

    TransferEnded ask(const DrainWays& ways, const DrainArguments& arguments, const char* method)
    {
        StartTransfer transfer { .method = method, .url = arguments.host + drainPath, .headers = {}, .body = {} };
        transfer.connectTimeout = arguments.common.timeout;
        transfer.totalTimeout = arguments.common.timeout;
        return ways.perform(transfer);
    }

    std::optional<DrainReport> reportOf(const TransferEnded& ended)
    {
        const auto document = nlohmann::json::parse(ended.body, nullptr, false);
        if (ended.end != TransferEnd::Complete || ended.status != statusOk || !document.is_object()) {
            return std::nullopt;
        }
        return DrainReport {
            .name = document.value("name", ""),
            .incarnation = document.value("incarnation", ""),
            .alreadyDraining = document.value("was_draining", false),
            .openRequests = document.value("open_requests", 0U),
            .graceLeft = std::chrono::milliseconds { document.value("grace_left_ms", int64_t { 0 }) },
        };
    }

    /** The command is idempotent, so one whose answer was lost is sent again. */
    std::optional<DrainReport> order(const DrainWays& ways, const DrainArguments& arguments, LastReason& reason)
    {
        TransferEnded ended = ask(ways, arguments, "POST");
        if (ended.end == TransferEnd::Broken) {
            ended = ask(ways, arguments, "POST");
        }
        if (ended.end != TransferEnd::Complete) {
            return fail(reason, ResultCode::BackendConnectFailed, "no answer from " + arguments.host + " (" + ended.detail + ")");
        }
        auto report = reportOf(ended);
        if (!report) {
            return fail(reason, ResultCode::BackendError, arguments.host + " answered with status " + std::to_string(ended.status));
        }
        return report;
    }

    bool isRefused(const TransferEnded& ended)
    {
        return ended.end == TransferEnd::NothingSent && ended.detail == curl_easy_strerror(CURLE_COULDNT_CONNECT);
    }

    void waitForEnd(const DrainWays& ways, const DrainArguments& arguments, DrainReport& report)
    {
        int refused = 0;
        for (std::chrono::milliseconds waited { 0 }; waited < arguments.waitTimeout; waited += drainPollInterval) {
            ways.pause(drainPollInterval);
            const TransferEnded ended = ask(ways, arguments, "GET");
            refused = isRefused(ended) ? refused + 1 : 0;
            const auto seen = reportOf(ended);
            if (refused == refusedCallsOfAnEndedHost || (seen && seen->incarnation != report.incarnation)) {
                report.hasEnded = true;
                return;
            }
            if (seen) {
                report.openRequests = seen->openRequests;
                report.graceLeft = seen->graceLeft;
            }
        }
    }

} // namespace

std::optional<DrainReport> drainHost(const DrainWays& ways, const DrainArguments& arguments, LastReason& reason)
{
    auto report = order(ways, arguments, reason);
    if (report && arguments.wait) {
        waitForEnd(ways, arguments, *report);
    }
    return report;
}

} // namespace siskinspread
