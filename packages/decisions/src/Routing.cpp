#include "siskinspread/Routing.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace siskinspread {

namespace {

    constexpr double missedDeadlineCost = 1e7; // milliseconds; above any other cost
    constexpr size_t maximumHints = 8;

    /** What is known about one usable server for one request. */
    struct Candidate {
        size_t index { 0 };
        EstimatedLoad load;
        double slots { 0 };
        double homeTokens { 0 }; // prompt tokens expected in its cache because it is a home of their blocks
        uint64_t rendezvous { 0 };
    };

    struct Pool {
        std::vector<Candidate> candidates;
        double load { 0 };
        double slots { 0 };
        double meanPrice { 0 };
    };

    /** A server that probably holds a beginning of the prompt, by event or by this host's own dispatch. */
    struct CacheHint {
        uint64_t serverNameHash { 0 };
        double tokens { 0 };
    };

    struct CacheHints {
        std::array<CacheHint, maximumHints> hints;
        size_t count { 0 };
    };

    using Milliseconds = std::chrono::duration<double, std::milli>;

    Pool usableServers(const PoolView& view, const RouteRequest& request, MonotonicTime now)
    {
        Pool pool;
        pool.candidates.reserve(view.servers.size());
        for (size_t i = 0; i < view.servers.size(); ++i) {
            const BackendServerView& server = view.servers[i];
            if (!mayReceive(server, request.excluded)) {
                continue;
            }
            const Candidate candidate { .index = i, .load = estimateLoad(view, server, now), .slots = usableSlots(view, server, now) };
            pool.load += candidate.load.requests;
            pool.slots += candidate.slots;
            pool.meanPrice += server.description.pricePerHour;
            pool.candidates.push_back(candidate);
        }
        pool.meanPrice /= std::max<double>(1, static_cast<double>(pool.candidates.size()));
        return pool;
    }

    /** Keeps the first `wanted` homes in rendezvous order of the block. */
    void narrowHomes(std::vector<Candidate*>& homes, size_t wanted, PrefixBlock block, const PoolView& view)
    {
        for (Candidate* home : homes) {
            home->rendezvous = rendezvousWeight(block, view.servers[home->index].nameHash);
        }
        const auto end = homes.begin() + static_cast<std::ptrdiff_t>(wanted);
        std::nth_element(homes.begin(), end - 1, homes.end(), [](const Candidate* left, const Candidate* right) {
            return left->rendezvous > right->rendezvous;
        });
        homes.erase(end, homes.end());
    }

    /** Credits each candidate with the prompt tokens that nested rendezvous places on it. */
    void creditHomes(Pool& pool, const PoolView& view, const RouteRequest& request, const RoutingOptions& options, MonotonicTime now)
    {
        std::vector<Candidate*> homes;
        homes.reserve(pool.candidates.size());
        for (Candidate& candidate : pool.candidates) {
            homes.push_back(&candidate);
        }
        const double servers = static_cast<double>(pool.candidates.size());
        const std::vector<PrefixUse> uses = prefixUses(view.popularity, request.blocks, now);
        for (size_t i = 0; i < request.blocks.size(); ++i) {
            const PrefixBlock block = request.blocks[i];
            const PrefixUse& use = uses[i];
            const double wanted = std::max(1.0, std::ceil(use.share * servers * options.replicaSlack));
            const bool isInstructions = (i + 1) * request.tokensPerBlock <= options.instructionTokens;
            if (!isInstructions && wanted < static_cast<double>(homes.size())) {
                narrowHomes(homes, static_cast<size_t>(wanted), block, view);
            }
            const double credit = use.seen ? 1.0 : options.unseenCredit;
            for (Candidate* home : homes) {
                home->homeTokens += credit * request.tokensPerBlock;
            }
        }
    }

    void addHint(CacheHints& hints, uint64_t serverNameHash, double tokens)
    {
        const auto end = hints.hints.begin() + static_cast<std::ptrdiff_t>(hints.count);
        const bool known = std::any_of(hints.hints.begin(), end, [serverNameHash](const CacheHint& hint) { return hint.serverNameHash == serverNameHash; });
        if (!known && hints.count < maximumHints) {
            hints.hints[hints.count++] = { .serverNameHash = serverNameHash, .tokens = tokens };
        }
    }

    CacheHints cacheHints(const PoolView& view, const RouteRequest& request, MonotonicTime now)
    {
        CacheHints hints;
        for (size_t depth = request.blocks.size(); depth > 0; --depth) {
            const CachedPrefixes::Entry* entry = findCached(view.cachedPrefixes, request.blocks[depth - 1]);
            if (entry == nullptr) {
                continue;
            }
            for (const CachedPrefixes::Holder& holder : entry->holders) {
                if (holder.serverNameHash != 0 && now - holder.at <= view.cachedPrefixes.lifetime) {
                    addHint(hints, holder.serverNameHash, static_cast<double>(depth * request.tokensPerBlock));
                }
            }
        }
        return hints;
    }

    double cachedTokens(const Candidate& candidate, const BackendServerView& server, const CacheHints& hints)
    {
        for (size_t i = 0; i < hints.count; ++i) {
            if (hints.hints[i].serverNameHash == server.nameHash) {
                return std::max(candidate.homeTokens, hints.hints[i].tokens);
            }
        }
        return candidate.homeTokens;
    }

    /** Time from dispatch until the server begins to compute the prompt. */
    Milliseconds expectedWait(const Candidate& candidate, const BackendServerView& server, double prefillTokensPerSecond, const RoutingOptions& options)
    {
        const std::chrono::duration<double> queue { candidate.load.queuedPromptTokens * server.slowness / prefillTokensPerSecond };
        const Milliseconds hold = Milliseconds(options.expectedBetweenTokens) * options.expectedOutputTokens;
        const double slots = std::max(candidate.slots, 1.0);
        const double excess = std::max(0.0, candidate.load.requests + 1 - slots);
        return queue + hold * (excess / slots);
    }

    Milliseconds priceCost(const BackendServerView& server, const Pool& pool, const RoutingOptions& options)
    {
        if (pool.meanPrice <= 0) {
            return Milliseconds(0);
        }
        return Milliseconds(options.priceSpread) * 2.0 * (server.description.pricePerHour / pool.meanPrice);
    }

    Milliseconds tieBreak(const BackendServerView& server, const RouteRequest& request, const RoutingOptions& options)
    {
        const double part = static_cast<double>(rendezvousWeight(request.seed, server.nameHash)) / static_cast<double>(std::numeric_limits<uint64_t>::max());
        return Milliseconds(options.tieSpread) * part;
    }

    /** Time far inside the target is worth little; what counts is to stay inside it. */
    Milliseconds latencyCost(Milliseconds firstToken, const RoutingOptions& options)
    {
        const Milliseconds cheap = std::min(firstToken, Milliseconds(options.firstTokenTarget) * options.cheapPart);
        return cheap * options.cheapLatency + (firstToken - cheap);
    }

    struct Scored {
        double cost { 0 };
        RouteChoice choice;
    };

    Scored score(const Candidate& candidate, const Pool& pool, const PoolView& view, const RouteRequest& request, const CacheHints& hints, const RoutingOptions& options, MonotonicTime now)
    {
        const BackendServerView& server = view.servers[candidate.index];
        const double missing = std::max(0.0, request.promptTokens - cachedTokens(candidate, server, hints));
        const Milliseconds computing = std::chrono::duration<double>(missing * server.slowness / view.options.prefillTokensPerSecond);
        const Milliseconds wait = expectedWait(candidate, server, view.options.prefillTokensPerSecond, options);
        const Milliseconds firstToken = wait + computing + Milliseconds(server.description.oneWayDelay) * 2;
        const Milliseconds answer = Milliseconds(options.expectedBetweenTokens) * options.expectedOutputTokens;
        const Milliseconds slowAnswer = answer * (server.slowness - 1);
        const Milliseconds crowding = Milliseconds(options.fullBatchCost) * (candidate.load.requests / std::max(candidate.slots, 1.0));
        const Milliseconds latency = latencyCost(firstToken, options) + slowAnswer + crowding + priceCost(server, pool, options) + tieBreak(server, request, options);

        double cost = options.weights.latencyBoundCost * latency.count() + options.weights.recomputedTokens * computing.count();
        if (now + std::chrono::ceil<MonotonicTime::duration>(firstToken) > request.deadline) {
            cost += missedDeadlineCost;
        }
        return {
            .cost = cost,
            .choice = {
                .index = candidate.index,
                .missingTokens = static_cast<uint32_t>(missing),
                .expectedFirstToken = std::chrono::ceil<std::chrono::microseconds>(firstToken),
            },
        };
    }

} // namespace

bool mayReceive(const BackendServerView& server, std::span<const std::string> excluded)
{
    if (server.status != BackendStatus::Live || !server.reachable) {
        return false;
    }
    return std::find(excluded.begin(), excluded.end(), server.description.name) == excluded.end();
}

double boundedLoadLimit(double slots, double poolLoad, double poolSlots, const RoutingOptions& options)
{
    const double fairShare = (poolLoad + 1) * slots / std::max(poolSlots, slots);
    return std::max(options.loadBound * fairShare, options.comfortableUse * slots);
}

std::optional<RouteChoice> chooseBackendServer(const PoolView& view, const RouteRequest& request, const RoutingOptions& options, MonotonicTime now, LastReason& reason)
{
    if (request.deadline <= now) {
        return fail(reason, ResultCode::DeadlineExpired, "the deadline has passed");
    }
    Pool pool = usableServers(view, request, now);
    if (pool.candidates.empty()) {
        return fail(reason, ResultCode::NoBackendServer, "no backend server may receive the request");
    }
    creditHomes(pool, view, request, options, now);
    const CacheHints hints = cacheHints(view, request, now);

    std::optional<Scored> best;
    for (const Candidate& candidate : pool.candidates) {
        Scored scored = score(candidate, pool, view, request, hints, options, now);
        const double limit = boundedLoadLimit(candidate.slots, pool.load, pool.slots, options);
        scored.choice.overBound = candidate.load.requests + 1 > limit;
        const bool fitsBetter = best && best->choice.overBound && !scored.choice.overBound;
        const bool fitsWorse = best && !best->choice.overBound && scored.choice.overBound;
        if (!best || fitsBetter || (!fitsWorse && scored.cost < best->cost)) {
            best = scored;
        }
    }
    return best->choice;
}

} // namespace siskinspread
