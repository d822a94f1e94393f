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
        uint64_t nameHash { 0 };
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
            const Candidate candidate { .index = i, .load = estimateLoad(view, server, now), .slots = usableSlots(view, server, now), .nameHash = server.nameHash };
            pool.load += candidate.load.requests;
            pool.slots += candidate.slots;
            pool.meanPrice += server.description.pricePerHour;
            pool.candidates.push_back(candidate);
        }
        pool.meanPrice /= std::max<double>(1, static_cast<double>(pool.candidates.size()));
        return pool;
    }

    /** A candidate that is a home of the prompt's beginning so far. */
    struct Home {
        uint64_t weight { 0 };
        size_t position { 0 }; // among the candidates
    };

    /** Keeps the first `wanted` homes in rendezvous order of the block. */
    void narrowHomes(std::vector<Home>& homes, size_t wanted, PrefixBlock block, const Pool& pool)
    {
        for (Home& home : homes) {
            home.weight = rendezvousWeight(block, pool.candidates[home.position].nameHash);
        }
        const auto end = homes.begin() + static_cast<std::ptrdiff_t>(wanted);
        std::nth_element(homes.begin(), end - 1, homes.end(), [](const Home& left, const Home& right) { return left.weight > right.weight; });
        homes.erase(end, homes.end());
    }

    void creditEach(const std::vector<Home>& homes, double tokens, Pool& pool)
    {
        for (const Home& home : homes) {
            pool.candidates[home.position].homeTokens = tokens;
        }
    }

    /** Credits each candidate with the prompt tokens that nested rendezvous places on it. */
    void creditHomes(Pool& pool, const PoolView& view, const RouteRequest& request, const RoutingOptions& options, MonotonicTime now)
    {
        std::vector<Home> homes(pool.candidates.size());
        for (size_t i = 0; i < homes.size(); ++i) {
            homes[i].position = i;
        }
        const double servers = static_cast<double>(homes.size());
        const std::vector<PrefixUse> uses = prefixUses(view.popularity, request.blocks, now);
        double credited = 0;
        for (size_t i = 0; i < request.blocks.size(); ++i) {
            const PrefixUse& use = uses[i];
            const double wanted = std::max(1.0, std::ceil(use.share * servers * options.replicaSlack));
            const bool isInstructions = (i + 1) * request.tokensPerBlock <= options.instructionTokens;
            if (!isInstructions && wanted < static_cast<double>(homes.size())) {
                creditEach(homes, credited, pool);
                narrowHomes(homes, static_cast<size_t>(wanted), request.blocks[i], pool);
            }
            credited += (use.seen ? 1.0 : options.unseenCredit) * request.tokensPerBlock;
        }
        creditEach(homes, credited, pool);
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

    /** What is equal for all candidates of one decision, worked out once. Times are in milliseconds. */
    struct Scale {
        double prefillPerToken { 0 };
        double hold { 0 }; // time that a request holds its slot
        double cheapFirstToken { 0 };
        double fullBatch { 0 };
        double perPrice { 0 };
        double tieUnit { 0 }; // per unit of a 64-bit hash
        double timeLeft { 0 };
    };

    Scale scaleOf(const PoolView& view, const Pool& pool, const RouteRequest& request, const RoutingOptions& options, MonotonicTime now)
    {
        return {
            .prefillPerToken = Milliseconds(std::chrono::seconds(1)).count() / view.options.prefillTokensPerSecond,
            .hold = Milliseconds(options.expectedBetweenTokens).count() * options.expectedOutputTokens,
            .cheapFirstToken = Milliseconds(options.firstTokenTarget).count() * options.cheapPart,
            .fullBatch = Milliseconds(options.fullBatchCost).count(),
            .perPrice = pool.meanPrice > 0 ? Milliseconds(options.priceSpread).count() * 2 / pool.meanPrice : 0,
            .tieUnit = Milliseconds(options.tieSpread).count() / static_cast<double>(std::numeric_limits<uint64_t>::max()),
            .timeLeft = Milliseconds(request.deadline - now).count(),
        };
    }

    /** Time from dispatch until the server begins to compute the prompt. */
    double expectedWait(const Candidate& candidate, const BackendServerView& server, const Scale& scale, double use)
    {
        const double queue = candidate.load.queuedPromptTokens * server.slowness * scale.prefillPerToken;
        const double slots = std::max(candidate.slots, 1.0);
        const double excess = std::max(0.0, use + 1 / slots - 1);
        return queue + scale.hold * excess;
    }

    /** Time far inside the target is worth little; what counts is to stay inside it. */
    double latencyCost(double firstToken, const Scale& scale, const RoutingOptions& options)
    {
        const double cheap = std::min(firstToken, scale.cheapFirstToken);
        return cheap * options.cheapLatency + (firstToken - cheap);
    }

    struct Scored {
        size_t position { 0 }; // among the candidates
        double cost { 0 };
        double missing { 0 };
        double firstToken { 0 };
        bool overBound { false };
    };

    Scored score(const Candidate& candidate, const BackendServerView& server, const RouteRequest& request, const CacheHints& hints, const Scale& scale, const RoutingOptions& options)
    {
        const double missing = std::max(0.0, request.promptTokens - cachedTokens(candidate, server, hints));
        const double computing = missing * server.slowness * scale.prefillPerToken;
        const double use = candidate.load.requests / std::max(candidate.slots, 1.0);
        const double roundTrip = Milliseconds(server.description.oneWayDelay).count() * 2;
        const double firstToken = expectedWait(candidate, server, scale, use) + computing + roundTrip;
        const double slowAnswer = scale.hold * (server.slowness - 1);
        const double tie = static_cast<double>(rendezvousWeight(request.seed, server.nameHash)) * scale.tieUnit;
        const double price = server.description.pricePerHour * scale.perPrice;
        const double latency = latencyCost(firstToken, scale, options) + slowAnswer + use * scale.fullBatch + price + tie;
        const double late = firstToken > scale.timeLeft ? missedDeadlineCost : 0;
        return {
            .cost = options.weights.latencyBoundCost * latency + options.weights.recomputedTokens * computing + late,
            .missing = missing,
            .firstToken = firstToken,
        };
    }

    /** The cheapest candidate inside its bound, or of all when none is inside. */
    Scored cheapest(const Pool& pool, const PoolView& view, const RouteRequest& request, const CacheHints& hints, const RoutingOptions& options, MonotonicTime now)
    {
        const Scale scale = scaleOf(view, pool, request, options, now);
        Scored best { .cost = std::numeric_limits<double>::infinity(), .overBound = true };
        for (size_t i = 0; i < pool.candidates.size(); ++i) {
            const Candidate& candidate = pool.candidates[i];
            const double limit = boundedLoadLimit(candidate.slots, pool.load, pool.slots, options);
            const bool overBound = candidate.load.requests + 1 > limit;
            if (overBound && !best.overBound) {
                continue;
            }
            Scored scored = score(candidate, view.servers[candidate.index], request, hints, scale, options);
            if (scored.cost < best.cost || best.overBound != overBound) {
                scored.position = i;
                scored.overBound = overBound;
                best = scored;
            }
        }
        return best;
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
    const double fairShare = (poolLoad + 1) / std::max(poolSlots, slots) * slots;
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

    const Scored best = cheapest(pool, view, request, hints, options, now);
    return RouteChoice {
        .index = pool.candidates[best.position].index,
        .missingTokens = static_cast<uint32_t>(best.missing),
        .expectedFirstToken = std::chrono::ceil<std::chrono::microseconds>(Milliseconds(best.firstToken)),
        .overBound = best.overBound,
    };
}

} // namespace siskinspread
