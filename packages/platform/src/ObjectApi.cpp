#include "siskinspread/ObjectApi.h"

#include "siskinspread/UrlText.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace siskinspread {

namespace {

    constexpr int statusNotModified = 304;
    constexpr int statusNotFound = 404;
    constexpr int statusPreconditionFailed = 412;
    constexpr int statusFirstError = 400;

    StartTransfer call(const ObjectApiOptions& options, std::string path)
    {
        StartTransfer transfer;
        transfer.url = options.url + std::move(path);
        transfer.connectTimeout = options.timeout;
        transfer.totalTimeout = options.timeout;
        return transfer;
    }

    /** The slashes of a name are those of the path. */
    std::string pathOf(std::string_view name)
    {
        std::string path = "/objects";
        for (size_t begin = 0; begin <= name.size();) {
            const size_t end = std::min(name.size(), name.find('/', begin));
            path.append("/").append(percentEncoded(name.substr(begin, end - begin)));
            begin = end + 1;
        }
        return path;
    }

    StartTransfer write(const ObjectApiOptions& options, std::string_view name, std::string value, HttpHeader condition)
    {
        StartTransfer transfer = call(options, pathOf(name));
        transfer.method = "PUT";
        transfer.headers.push_back(std::move(condition));
        transfer.body = std::move(value);
        return transfer;
    }

} // namespace

StartTransfer readObject(const ObjectApiOptions& options, std::string_view name)
{
    return call(options, pathOf(name));
}

StartTransfer createObject(const ObjectApiOptions& options, std::string_view name, std::string value)
{
    return write(options, name, std::move(value), { .name = "If-None-Match", .value = "*" });
}

StartTransfer replaceObject(const ObjectApiOptions& options, std::string_view name, uint64_t version, std::string value)
{
    return write(options, name, std::move(value), { .name = "If-Match", .value = '"' + std::to_string(version) + '"' });
}

StartTransfer watchObject(const ObjectApiOptions& options, std::string_view name, uint64_t after)
{
    StartTransfer transfer = call(options, pathOf(name) + "?watch_after=" + std::to_string(after) + "&timeout_ms=" + std::to_string(options.watchTimeout.count()));
    transfer.totalTimeout = options.watchTimeout + options.timeout;
    return transfer;
}

StartTransfer listObjects(const ObjectApiOptions& options, std::string_view prefix, std::string_view after)
{
    return call(options, "/list?prefix=" + percentEncoded(prefix) + "&after=" + percentEncoded(after));
}

StoreResult storeResult(const TransferEnded& ended, bool write)
{
    if (ended.end == TransferEnd::NothingSent) {
        return StoreResult::NotDone;
    }
    if (ended.end != TransferEnd::Complete) {
        return write ? StoreResult::Unknown : StoreResult::NotDone;
    }
    switch (ended.status) {
    case statusNotModified:
        return StoreResult::Unchanged;
    case statusNotFound:
        return StoreResult::Absent;
    case statusPreconditionFailed:
        return StoreResult::Conflict;
    default:
        return ended.status < statusFirstError ? StoreResult::Done : StoreResult::NotDone;
    }
}

uint64_t storedVersion(const TransferEnded& ended)
{
    const std::string_view tag = findHeader(ended.headers, "ETag").value_or("");
    uint64_t version = 0;
    if (tag.size() > 2) {
        std::from_chars(tag.data() + 1, tag.data() + tag.size() - 1, version);
    }
    return version;
}

std::optional<std::vector<std::string>> listedNames(const TransferEnded& ended, LastReason& reason)
{
    const auto document = nlohmann::json::parse(ended.body, nullptr, false);
    const auto objects = document.is_object() ? document.find("objects") : document.end();
    if (objects == document.end() || !objects->is_array()) {
        return fail(reason, ResultCode::StoreUnavailable, "the answer of a list is malformed");
    }
    std::vector<std::string> names;
    for (const auto& object : *objects) {
        if (!object.is_object() || !object.contains("name") || !object["name"].is_string()) {
            return fail(reason, ResultCode::StoreUnavailable, "the answer of a list is malformed");
        }
        names.push_back(object["name"].get<std::string>());
    }
    return names;
}

} // namespace siskinspread
