#include "siskinspread/CallerResponse.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace siskinspread {

namespace {

    std::optional<std::chrono::milliseconds> retryAfterOf(const Refusal& refusal)
    {
        if (!resultInfo(refusal.code).retryable) {
            return std::nullopt;
        }
        return refusal.retryAfter.value_or(defaultRetryAfter);
    }

} // namespace

std::string retryAfterSeconds(std::chrono::milliseconds time)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(time).count();
    return std::to_string(std::max<int64_t>(seconds, 1));
}

std::string refusalJson(const std::string& requestId, const Refusal& refusal)
{
    const ResultInfo& info = resultInfo(refusal.code);
    nlohmann::json error {
        { "code", static_cast<int>(info.code) },
        { "name", info.name },
        { "message", info.text },
        { "run_state", runStateName(refusal.runState) },
        { "request_id", requestId },
    };
    if (!refusal.detail.empty()) {
        error["detail"] = refusal.detail;
    }
    if (!refusal.attachId.empty()) {
        error["attach_id"] = refusal.attachId;
    }
    if (const auto retryAfter = retryAfterOf(refusal)) {
        error["retry_after_ms"] = retryAfter->count();
    }
    return nlohmann::json { { "error", error } }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

RespondWhole refusalResponse(ExchangeId exchange, const std::string& requestId, const Refusal& refusal)
{
    const ResultInfo& info = resultInfo(refusal.code);
    RespondWhole response { .exchange = exchange, .status = info.httpStatus, .headers = {}, .body = refusalJson(requestId, refusal) };
    response.headers.push_back({ .name = "Content-Type", .value = "application/json" });
    response.headers.push_back({ .name = header::requestId, .value = requestId });
    response.headers.push_back({ .name = header::resultCode, .value = std::to_string(static_cast<int>(info.code)) });
    response.headers.push_back({ .name = header::runState, .value = std::string { runStateName(refusal.runState) } });
    if (!refusal.attachId.empty()) {
        response.headers.push_back({ .name = header::attachId, .value = refusal.attachId });
    }
    if (const auto retryAfter = retryAfterOf(refusal)) {
        response.headers.push_back({ .name = "Retry-After", .value = retryAfterSeconds(*retryAfter) });
    }
    return response;
}

void sendRefusal(HostContext& context, ResponseSink& sink, ExchangeId exchange, const std::string& requestId, const Refusal& refusal)
{
    context.metrics.countRefusal(refusal.code);
    sink.send(refusalResponse(exchange, requestId, refusal));
}

} // namespace siskinspread
