#include "siskinspread/CloudApi.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace siskinspread {

namespace {

    constexpr int statusOk = 200;

    bool isNumber(const nlohmann::json& entry, const char* name)
    {
        const auto member = entry.find(name);
        return member != entry.end() && member->is_number_integer();
    }

    std::optional<ReclaimNotice> noticeOf(const nlohmann::json& entry)
    {
        const bool isNotice = entry.is_object() && isNumber(entry, "seq") && isNumber(entry, "at_ms") && isNumber(entry, "seconds") && entry.contains("host") && entry["host"].is_string();
        if (!isNotice) {
            return std::nullopt;
        }
        return ReclaimNotice {
            .sequence = entry["seq"].get<uint64_t>(),
            .host = entry["host"].get<std::string>(),
            .at = WallTime { std::chrono::milliseconds { entry["at_ms"].get<int64_t>() } },
            .lead = std::chrono::seconds { entry["seconds"].get<int64_t>() },
        };
    }

} // namespace

StartTransfer readReclaimNotices(const CloudApiOptions& options, uint64_t after)
{
    StartTransfer transfer;
    transfer.url = options.url + "/notices?after=" + std::to_string(after);
    transfer.connectTimeout = options.timeout;
    transfer.totalTimeout = options.timeout;
    return transfer;
}

std::optional<std::vector<ReclaimNotice>> reclaimNotices(const TransferEnded& ended, LastReason& reason)
{
    const auto document = nlohmann::json::parse(ended.body, nullptr, false);
    if (ended.end != TransferEnd::Complete || ended.status != statusOk || !document.is_array()) {
        return fail(reason, ResultCode::StoreUnavailable, "the cloud API did not answer with its notices");
    }
    std::vector<ReclaimNotice> notices;
    for (const auto& entry : document) {
        if (auto notice = noticeOf(entry)) {
            notices.push_back(std::move(*notice));
        }
    }
    std::sort(notices.begin(), notices.end(), [](const auto& a, const auto& b) { return a.sequence < b.sequence; });
    return notices;
}

} // namespace siskinspread
