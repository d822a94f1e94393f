#include "siskinspread/CloudHost.h"

#include "siskinspread/UrlText.h"

#include <nlohmann/json.hpp>

namespace siskinspread {

namespace {

    constexpr int statusOk = 200;
    constexpr int statusNotFound = 404;
    constexpr const char* endedState = "ended";

} // namespace

StartTransfer readCloudHost(const CloudApiOptions& options, const std::string& host)
{
    StartTransfer transfer;
    transfer.url = options.url + "/hosts/" + percentEncoded(host);
    transfer.connectTimeout = options.timeout;
    transfer.totalTimeout = options.timeout;
    return transfer;
}

std::optional<CloudHostState> cloudHostState(const TransferEnded& ended, LastReason& reason)
{
    if (ended.end == TransferEnd::Complete && ended.status == statusNotFound) {
        return CloudHostState::Unknown;
    }
    const auto document = nlohmann::json::parse(ended.body, nullptr, false);
    const bool isHost = document.is_object() && document.contains("state") && document["state"].is_string();
    if (ended.end != TransferEnd::Complete || ended.status != statusOk || !isHost) {
        return fail(reason, ResultCode::StoreUnavailable, "the cloud API did not answer with a host");
    }
    return document["state"] == endedState ? CloudHostState::Ended : CloudHostState::Running;
}

} // namespace siskinspread
