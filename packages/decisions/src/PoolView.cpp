#include "siskinspread/PoolView.h"

#include <xxhash.h>

#include <algorithm>

namespace siskinspread {

namespace {

    constexpr uint32_t sampleCeiling = 1000;

    void addSample(LatencyMean& mean, const PoolOptions& options, std::chrono::microseconds latency, MonotonicTime now)
    {
        if (mean.samples > 0 && now - mean.lastAt > options.latencyLifetime) {
            mean = {};
        }
        const double gain = std::max(options.latencyGain, 1.0 / (mean.samples + 1));
        const auto step = std::chrono::duration<double, std::micro>(latency - mean.mean) * gain;
        mean.mean += std::chrono::duration_cast<std::chrono::microseconds>(step);
        mean.samples = std::min(mean.samples + 1, sampleCeiling);
        mean.lastAt = now;
    }

    bool isUsable(const LatencyMean& mean, const PoolOptions& options, MonotonicTime now)
    {
        return mean.samples >= options.minimumSamples && now - mean.lastAt <= options.latencyLifetime;
    }

    bool isFresh(const PoolView& view, const BackendServerView& server, MonotonicTime now)
    {
        return server.report && now - server.report->sampledAt <= view.options.reportLifetime;
    }

    /** Prompt tokens still to be computed at a time. */
    struct PromptQueue {
        double tokens { 0 };
        MonotonicTime at;
    };

    void drain(PromptQueue& queue, double tokensPerSecond, MonotonicTime now)
    {
        const std::chrono::duration<double> passed = now - queue.at;
        queue.tokens = std::max(0.0, queue.tokens - tokensPerSecond * passed.count());
        queue.at = now;
    }

    double slowStartShare(const PoolView& view, const BackendServerView& server, MonotonicTime now)
    {
        const std::chrono::duration<double> age = now - server.liveSince;
        const double part = age / std::chrono::duration<double>(view.options.slowStart);
        return std::clamp(part, view.options.slowStartFloor, 1.0);
    }

    std::optional<std::chrono::microseconds> medianBetweenTokens(const PoolView& view, MonotonicTime now)
    {
        std::vector<std::chrono::microseconds> means;
        for (const BackendServerView& server : view.servers) {
            if (server.status == BackendStatus::Live && isUsable(server.betweenTokens, view.options, now)) {
                means.push_back(server.betweenTokens.mean);
            }
        }
        if (means.empty()) {
            return std::nullopt;
        }
        const auto middle = means.begin() + static_cast<std::ptrdiff_t>(means.size() / 2);
        std::nth_element(means.begin(), middle, means.end());
        return *middle;
    }

} // namespace

size_t upsertBackendServer(PoolView& view, const BackendServerDescription& description)
{
    const auto [position, inserted] = view.indexByName.try_emplace(description.name, view.servers.size());
    if (inserted) {
        view.servers.emplace_back();
        view.servers.back().nameHash = XXH3_64bits(description.name.data(), description.name.size());
        view.indexByNameHash.emplace(view.servers.back().nameHash, position->second);
    }
    view.servers[position->second].description = description;
    return position->second;
}

BackendServerView* findBackendServer(PoolView& view, std::string_view name)
{
    const auto position = view.indexByName.find(std::string(name));
    return position == view.indexByName.end() ? nullptr : &view.servers[position->second];
}

void setBackendStatus(BackendServerView& server, BackendStatus status, MonotonicTime now)
{
    if (server.status != BackendStatus::Live && status == BackendStatus::Live) {
        server.liveSince = now;
        server.betweenTokens = {};
        server.firstToken = {};
    }
    server.status = status;
}

void removeGoneServers(PoolView& view)
{
    std::erase_if(view.servers, [](const BackendServerView& server) {
        return server.status == BackendStatus::Gone && server.ownInFlight == 0;
    });
    view.indexByName.clear();
    view.indexByNameHash.clear();
    for (size_t i = 0; i < view.servers.size(); ++i) {
        view.indexByName.emplace(view.servers[i].description.name, i);
        view.indexByNameHash.emplace(view.servers[i].nameHash, i);
    }
}

void applyLoadReport(BackendServerView& server, const BackendLoadReport& report)
{
    if (server.report && report.sampledAt < server.report->sampledAt) {
        return;
    }
    server.report = report;
    std::erase_if(server.changesSinceReport, [&report](const OwnLoadChange& change) { return change.at <= report.sampledAt; });
}

void recordDispatch(BackendServerView& server, uint32_t computedPromptTokens, MonotonicTime now)
{
    ++server.ownInFlight;
    server.changesSinceReport.push_back({ .at = now, .requests = 1, .promptTokens = computedPromptTokens });
}

void recordFinish(BackendServerView& server, MonotonicTime now)
{
    if (server.ownInFlight > 0) {
        --server.ownInFlight;
    }
    server.changesSinceReport.push_back({ .at = now, .requests = -1, .promptTokens = 0 });
}

void recordFirstToken(BackendServerView& server, const PoolOptions& options, std::chrono::microseconds latency, MonotonicTime now)
{
    addSample(server.firstToken, options, latency, now);
}

void recordBetweenTokens(BackendServerView& server, const PoolOptions& options, std::chrono::microseconds latency, MonotonicTime now)
{
    addSample(server.betweenTokens, options, latency, now);
}

PoolTotals sumPool(const PoolView& view, std::span<const std::string> excluded, MonotonicTime now)
{
    PoolTotals totals;
    double servers = 0;
    for (const BackendServerView& server : view.servers) {
        if (!mayReceive(server, excluded)) {
            continue;
        }
        totals.load += estimateLoad(view, server, now).requests;
        totals.slots += usableSlots(view, server, now);
        totals.meanPrice += server.description.pricePerHour;
        ++servers;
    }
    totals.meanPrice /= std::max(1.0, servers);
    return totals;
}

void refreshPoolView(PoolView& view, MonotonicTime now)
{
    const auto median = medianBetweenTokens(view, now);
    for (BackendServerView& server : view.servers) {
        server.slowness = 1.0;
        if (median && median->count() > 0 && isUsable(server.betweenTokens, view.options, now)) {
            const double ratio = std::chrono::duration<double>(server.betweenTokens.mean) / *median;
            server.slowness = ratio > view.options.slowTolerance ? ratio : 1.0;
        }
        std::erase_if(server.changesSinceReport, [&view, now](const OwnLoadChange& change) {
            return now - change.at > view.options.reportLifetime;
        });
    }
    view.totals = sumPool(view, {}, now);
}

EstimatedLoad estimateLoad(const PoolView& view, const BackendServerView& server, MonotonicTime now)
{
    const double hosts = view.entryHosts;
    const double factor = 1 + view.options.othersShare * (hosts - 1);
    if (!isFresh(view, server, now)) {
        return { .requests = server.ownInFlight * hosts, .queuedPromptTokens = 0 };
    }
    double requests = server.report->running + server.report->waiting;
    PromptQueue queue { .tokens = static_cast<double>(server.report->queuedPromptTokens), .at = server.report->sampledAt };
    const double rate = view.options.prefillTokensPerSecond / server.slowness;
    for (const OwnLoadChange& change : server.changesSinceReport) {
        requests += change.requests * factor;
        drain(queue, rate, change.at);
        queue.tokens += static_cast<double>(change.promptTokens) * factor;
    }
    drain(queue, rate, now);
    return { .requests = std::max(requests, static_cast<double>(server.ownInFlight)), .queuedPromptTokens = queue.tokens };
}

double usableSlots(const PoolView& view, const BackendServerView& server, MonotonicTime now)
{
    if (server.status != BackendStatus::Live || !server.reachable) {
        return 0;
    }
    const bool reported = server.report && server.report->slots > 0;
    const double slots = reported ? server.report->slots : server.description.defaultSlots;
    const double warm = now - server.liveSince >= view.options.slowStart ? 1.0 : slowStartShare(view, server, now);
    return slots * warm / server.slowness;
}

double poolSlots(const PoolView& view, MonotonicTime now)
{
    double slots = 0;
    double warmest = view.options.slowStartFloor;
    for (const BackendServerView& server : view.servers) {
        const double usable = usableSlots(view, server, now);
        slots += usable;
        warmest = usable > 0 ? std::max(warmest, slowStartShare(view, server, now)) : warmest;
    }
    return slots / warmest;
}

} // namespace siskinspread
