#include "LedgerCalls.h"

#include "support/Eventually.h"

#include <utility>

namespace siskinspread::benchmark {
namespace {

    constexpr int statusOk = 200;
    constexpr size_t customers = 4;
    constexpr const char* body = R"({"item":"dolly","from":"2026-12-04","to":"2026-12-06"})";

    nlohmann::json readJson(const std::string& url)
    {
        return nlohmann::json::parse(testing::httpCall({ .url = url }).body);
    }

} // namespace

LedgerCalls::LedgerCalls(const testing::Deployment& deployment, size_t host)
    : m_deployment(deployment)
    , m_host(host)
{
}

StartTransfer LedgerCalls::call(std::string method, const std::string& path)
{
    const std::string customer = std::to_string(++m_lastCall % customers);
    return { .method = std::move(method),
        .url = m_deployment.host(m_host).url(path),
        .headers = { { .name = "Authorization", .value = "Bearer key-" + customer }, { .name = "X-Deadline-Ms", .value = "30000" } } };
}

StartTransfer LedgerCalls::passThrough()
{
    return call("GET", "/ledger/stock/dolly");
}

StartTransfer LedgerCalls::atMostOnce()
{
    StartTransfer transfer = call("POST", "/ledger/holds");
    transfer.headers.push_back({ .name = "Idempotency-Key", .value = "benchmark-" + std::to_string(m_lastCall) });
    transfer.headers.push_back({ .name = "Content-Type", .value = "application/json" });
    transfer.body = body;
    return transfer;
}

void LedgerCalls::waitForOwner()
{
    testing::eventually("the keys have an owner", [this] {
        StartTransfer transfer = atMostOnce();
        transfer.totalTimeout = std::chrono::seconds(10);
        return performTransfer(transfer).status == statusOk;
    });
}

uint64_t logWrites(testing::Deployment& deployment)
{
    return readJson(deployment.objectApi().url("/control/counters")).at("writes_by_prefix").value("log", uint64_t { 0 });
}

uint64_t logBytes(testing::Deployment& deployment)
{
    uint64_t bytes = 0;
    std::string after;
    for (;;) {
        const auto objects = readJson(deployment.objectApi().url("/list?prefix=log/&after=" + after)).at("objects");
        if (objects.empty()) {
            return bytes;
        }
        for (const auto& object : objects) {
            after = object.at("name").get<std::string>();
            bytes += testing::httpCall({ .url = deployment.objectApi().url("/objects/" + after) }).body.size();
        }
    }
}

} // namespace siskinspread::benchmark
