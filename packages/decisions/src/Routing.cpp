#include "siskinspread/Routing.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace siskinspread {

namespace {

    constexpr double missedDeadlineCost = 1e7; // milliseconds; above any other cost
    constexpr size_t maximumHints = 8;
    constexpr size_t fewHomesFactor = 16;

    /** A server that new work may go to. */
    struct Candidate {
        uint64_t nameHash { 0 };
        size_t index { 0 }; // into PoolView::servers
        double homeTokens { 0 }; // prompt tokens expected in its cache because it is a home of their blocks
    };

    struct Load {
        EstimatedLoad estimate;
        double slots { 0 };
        bool overBound { false };
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

    std::vector<Candidate> usableServers(const PoolView& view, const RouteRequest& request)
    {
        std::vector<Candidate> candidates;
        candidates.reserve(view.servers.size());
        for (size_t i = 0; i < view.servers.size(); ++i) {
            if (mayReceive(view.servers[i], request.excluded)) {
                candidates.push_back({ .nameHash = view.servers[i].nameHash, .index = i });
            }
        }
        return candidates;
    }

    /** A candidate that is a home of the prompt's beginning so far. */
    struct Home {
        uint64_t weight { 0 };
        size_t position { 0 }; // among the candidates
    };

    /** Keeps the first `wanted` homes in rendezvous order of the block. */
    void narrowHomes(std::vector<Home>& homes, size_t wanted, PrefixBlock block, const std::vector<Candidate>& candidates)
    {
        for (Home& home : homes) {
            home.weight = rendezvousWeight(block, candidates[home.position].nameHash);
        }
        const auto end = homes.begin() + static_cast<std::ptrdiff_t>(wanted);
        const auto byWeight = [](const Home& left, const Home& right) { return left.weight > right.weight; };
        if (wanted * fewHomesFactor < homes.size()) {
            std::partial_sort(homes.begin(), end, homes.end(), byWeight); // one comparison for most homes
        } else {
            std::nth_element(homes.begin(), end - 1, homes.end(), byWeight);
        }
        homes.erase(end, homes.end());
    }

    void creditEach(const std::vector<Home>& homes, double tokens, std::vector<Candidate>& candidates)
    {
        for (const Home& home : homes) {
            candidates[home.position].homeTokens = tokens;
        }
    }

    void appendPositions(const std::vector<Home>& homes, size_t most, std::vector<size_t>& positions)
    {
        for (size_t i = 0; i < std::min(most, homes.size()); ++i) {
            positions.push_back(homes[i].position);
        }
    }

    /**
     * Credits each candidate with the prompt tokens that nested rendezvous places on it.
     * @return the positions of the candidates that were homes when few of them were left, the last homes at the end.
     */
    std::vector<size_t> creditHomes(std::vector<Candidate>& candidates, const PoolView& view, const RouteRequest& request, const RoutingOptions& options, MonotonicTime now)
    {
        std::vector<Home> homes(candidates.size());
        std::vector<size_t> positions;
        positions.reserve(2 * options.sample);
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
                creditEach(homes, credited, candidates);
                narrowHomes(homes, static_cast<size_t>(wanted), request.blocks[i], candidates);
                appendPositions(homes, options.sample, positions);
            }
            credited += (use.seen ? 1.0 : options.unseenCredit) * request.tokensPerBlock;
        }
        creditEach(homes, credited, candidates);
        return positions;
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

    double cachedTokens(const Candidate& candidate, const CacheHints& hints)
    {
        for (size_t i = 0; i < hints.count; ++i) {
            if (hints.hints[i].serverNameHash == candidate.nameHash) {
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

    Scale scaleOf(const PoolView& view, const PoolTotals& totals, const RouteRequest& request, const RoutingOptions& options, MonotonicTime now)
    {
        return {
            .prefillPerToken = Milliseconds(std::chrono::seconds(1)).count() / view.options.prefillTokensPerSecond,
            .hold = Milliseconds(options.expectedBetweenTokens).count() * options.expectedOutputTokens,
            .cheapFirstToken = Milliseconds(options.firstTokenTarget).count() * options.cheapPart,
            .fullBatch = Milliseconds(options.fullBatchCost).count(),
            .perPrice = totals.meanPrice > 0 ? Milliseconds(options.priceSpread).count() * 2 / totals.meanPrice : 0,
            .tieUnit = Milliseconds(options.tieSpread).count() / static_cast<double>(std::numeric_limits<uint64_t>::max()),
            .timeLeft = Milliseconds(request.deadline - now).count(),
        };
    }

    /** Time from dispatch until the server begins to compute the prompt. */
    double expectedWait(const Load& load, const BackendServerView& server, const Scale& scale, double use)
    {
        const double queue = load.estimate.queuedPromptTokens * server.slowness * scale.prefillPerToken;
        const double slots = std::max(load.slots, 1.0);
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
        size_t index { 0 }; // into PoolView::servers
        double cost { std::numeric_limits<double>::infinity() };
        double missing { 0 };
        double firstToken { 0 };
        bool overBound { true };
    };

    /** What is equal for all candidates of one decision. */
    struct Decision {
        const PoolView& view;
        const RouteRequest& request;
        const RoutingOptions& options;
        MonotonicTime now;
        PoolTotals totals;
        CacheHints hints;
        Scale scale;
    };

    Load loadOf(const Decision& decision, const BackendServerView& server)
    {
        Load load { .estimate = estimateLoad(decision.view, server, decision.now), .slots = usableSlots(decision.view, server, decision.now) };
        const double limit = boundedLoadLimit(load.slots, decision.totals.load, decision.totals.slots, decision.options);
        load.overBound = load.estimate.requests + 1 > limit;
        return load;
    }

    Scored score(const Decision& decision, const Candidate& candidate, const Load& load)
    {
        const BackendServerView& server = decision.view.servers[candidate.index];
        const RoutingOptions& options = decision.options;
        const Scale& scale = decision.scale;
        const double missing = std::max(0.0, decision.request.promptTokens - cachedTokens(candidate, decision.hints));
        const double computing = missing * server.slowness * scale.prefillPerToken;
        const double use = load.estimate.requests / std::max(load.slots, 1.0);
        const double roundTrip = Milliseconds(server.description.oneWayDelay).count() * 2;
        const double firstToken = expectedWait(load, server, scale, use) + computing + roundTrip;
        const double slowAnswer = scale.hold * (server.slowness - 1);
        const double tie = static_cast<double>(rendezvousWeight(decision.request.seed, candidate.nameHash)) * scale.tieUnit;
        const double price = server.description.pricePerHour * scale.perPrice;
        const double latency = latencyCost(firstToken, scale, options) + slowAnswer + use * scale.fullBatch + price + tie;
        const double late = firstToken > scale.timeLeft ? missedDeadlineCost : 0;
        return {
            .index = candidate.index,
            .cost = options.weights.latencyBoundCost * latency + options.weights.recomputedTokens * computing + late,
            .missing = missing,
            .firstToken = firstToken,
            .overBound = load.overBound,
        };
    }

    /** Replaces `best` when the candidate is inside its bound and `best` is not, or is as good there and cheaper. */
    void consider(const Decision& decision, const Candidate& candidate, Scored& best)
    {
        const Load load = loadOf(decision, decision.view.servers[candidate.index]);
        if (load.overBound && !best.overBound) {
            return;
        }
        const Scored scored = score(decision, candidate, load);
        if (scored.cost < best.cost || (best.overBound && !scored.overBound)) {
            best = scored;
        }
    }

    Scored cheapestOfAll(const Decision& decision, const std::vector<Candidate>& candidates)
    {
        Scored best;
        for (const Candidate& candidate : candidates) {
            consider(decision, candidate, best);
        }
        return best;
    }

    /** @return the candidate that the hint names, or null when it receives no new work. */
    const Candidate* findCandidate(const Decision& decision, const std::vector<Candidate>& candidates, const CacheHint& hint)
    {
        const auto known = decision.view.indexByNameHash.find(hint.serverNameHash);
        if (known == decision.view.indexByNameHash.end()) {
            return nullptr;
        }
        const auto found = std::lower_bound(candidates.begin(), candidates.end(), known->second, [](const Candidate& candidate, size_t index) { return candidate.index < index; });
        return found != candidates.end() && found->index == known->second ? &*found : nullptr;
    }

    Scored cheapestOfSome(const Decision& decision, const std::vector<Candidate>& candidates, const std::vector<size_t>& homes)
    {
        Scored best;
        for (const size_t position : homes) {
            consider(decision, candidates[position], best);
        }
        for (size_t i = 0; i < decision.hints.count; ++i) {
            if (const Candidate* holder = findCandidate(decision, candidates, decision.hints.hints[i])) {
                consider(decision, *holder, best);
            }
        }
        for (size_t i = 0; i < decision.options.sample; ++i) {
            consider(decision, candidates[rendezvousWeight(decision.request.seed, i) % candidates.size()], best);
        }
        return best;
    }

} // namespace

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
    std::vector<Candidate> candidates = usableServers(view, request);
    if (candidates.empty()) {
        return fail(reason, ResultCode::NoBackendServer, "no backend server may receive the request");
    }
    const std::vector<size_t> homes = creditHomes(candidates, view, request, options, now);
    const bool weighsAll = candidates.size() <= options.fullScan || view.totals.slots <= 0;
    const PoolTotals totals = weighsAll ? sumPool(view, request.excluded, now) : view.totals;
    const Decision decision { view, request, options, now, totals, cacheHints(view, request, now), scaleOf(view, totals, request, options, now) };
    Scored best;
    if (!weighsAll) {
        best = cheapestOfSome(decision, candidates, homes);
    }
    if (best.overBound) {
        best = cheapestOfAll(decision, candidates);
    }
    return RouteChoice {
        .index = best.index,
        .missingTokens = static_cast<uint32_t>(best.missing),
        .expectedFirstToken = std::chrono::ceil<std::chrono::microseconds>(Milliseconds(best.firstToken)),
        .overBound = best.overBound,
    };
}

} // namespace siskinspread
