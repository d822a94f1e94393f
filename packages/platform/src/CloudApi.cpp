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

    /** Beyond it a time of the system's clock could overflow. */
    constexpr int64_t longestWallMilliseconds = 9'000'000'000'000;

    std::optional<WallTime> wallTimeOf(const nlohmann::json& entry, const char* name)
    {
        if (!isNumber(entry, name)) {
            return std::nullopt;
        }
        const auto milliseconds = entry[name].get<int64_t>();
        if (milliseconds < 0 || milliseconds > longestWallMilliseconds) {
            return std::nullopt;
        }
        return WallTime { std::chrono::milliseconds { milliseconds } };
    }

    std::optional<ListedHost> listedHostOf(const nlohmann::json& entry)
    {
        if (!entry.is_object() || !entry.contains("name") || !entry["name"].is_string()) {
            return std::nullopt;
        }
        const auto state = entry.value("state", nlohmann::json {});
        return ListedHost {
            .name = entry["name"].get<std::string>(),
            .leaving = state == "leaving",
            .ended = state == "ended",
            .noticeAt = wallTimeOf(entry, "notice_at_ms"),
        };
    }

    /** @return the answer's entries, or nothing when it is no list. */
    std::optional<nlohmann::json> listOf(const TransferEnded& ended)
    {
        auto document = nlohmann::json::parse(ended.body, nullptr, false);
        if (ended.end != TransferEnd::Complete || ended.status != statusOk || !document.is_array()) {
            return std::nullopt;
        }
        return document;
    }

    /** @return the entries that `parse` understands. */
    template <typename Entry>
    std::vector<Entry> parsedEntries(const nlohmann::json& list, std::optional<Entry> (*parse)(const nlohmann::json&))
    {
        std::vector<Entry> entries;
        for (const auto& item : list) {
            if (auto entry = parse(item)) {
                entries.push_back(std::move(*entry));
            }
        }
        return entries;
    }

    StartTransfer readFrom(const CloudApiOptions& options, const std::string& path)
    {
        StartTransfer transfer;
        transfer.url = options.url + path;
        transfer.connectTimeout = options.timeout;
        transfer.totalTimeout = options.timeout;
        return transfer;
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
    return readFrom(options, "/notices?after=" + std::to_string(after));
}

std::optional<std::vector<ReclaimNotice>> reclaimNotices(const TransferEnded& ended, LastReason& reason)
{
    const auto document = listOf(ended);
    if (!document) {
        return fail(reason, ResultCode::StoreUnavailable, "the cloud API did not answer with its notices");
    }
    auto notices = parsedEntries(*document, noticeOf);
    std::sort(notices.begin(), notices.end(), [](const auto& a, const auto& b) { return a.sequence < b.sequence; });
    return notices;
}

StartTransfer readHostList(const CloudApiOptions& options)
{
    return readFrom(options, "/host-list");
}

StartTransfer readCloudHosts(const CloudApiOptions& options)
{
    return readFrom(options, "/hosts");
}

std::optional<std::vector<ListedHost>> hostList(const TransferEnded& ended, LastReason& reason)
{
    const auto document = listOf(ended);
    if (!document) {
        return fail(reason, ResultCode::StoreUnavailable, "the platform did not answer with a list of hosts");
    }
    return parsedEntries(*document, listedHostOf);
}

} // namespace siskinspread
