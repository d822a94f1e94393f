#include "siskinspread/Routing.h"

#include "RoutingHomes.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <memory_resource>

namespace siskinspread {

namespace {

    constexpr double missedDeadlineCost = 1e7; // milliseconds; above any other cost
    constexpr size_t maximumHints = 8;
    // What a decision about a thousand servers needs; beyond it the heap serves.
    constexpr size_t scratchBytes = size_t { 96 } * 1024;

    struct Load {
        EstimatedLoad estimate;
        double slots { 0 };
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

    Candidates usableServers(const PoolView& view, const RouteRequest& request, std::pmr::memory_resource& memory)
    {
        const Candidates candidates = scratchFor<Candidate>(memory, view.servers.size());
        size_t count = 0;
        for (size_t i = 0; i < view.servers.size(); ++i) {
            if (mayReceive(view.servers[i], request.excluded)) {
                candidates[count++] = { .nameHash = view.servers[i].nameHash, .index = i, .homeTokens = 0 };
            }
        }
        return candidates.first(count);
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
        for (size_t depth = request.blocks.size(); depth > 0 && hints.count < maximumHints; --depth) {
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

    Load loadOf(const PoolView& view, const BackendServerView& server, MonotonicTime now)
    {
        return { .estimate = estimateLoad(view, server, now), .slots = usableSlots(view, server, now) };
    }

    bool isOverBound(const Decision& decision, const Load& load)
    {
        const double limit = boundedLoadLimit(load.slots, decision.totals.load, decision.totals.slots, decision.options);
        return load.estimate.requests + 1 > limit;
    }

    Scored score(const Decision& decision, const Candidate& candidate, const Load& load, bool overBound)
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
            .overBound = overBound,
        };
    }

    using Loads = std::span<Load>;

    Loads loadsOf(const PoolView& view, Candidates candidates, MonotonicTime now, std::pmr::memory_resource& memory)
    {
        const Loads loads = scratchFor<Load>(memory, candidates.size());
        std::transform(candidates.begin(), candidates.end(), loads.begin(), [&](const Candidate& candidate) { return loadOf(view, view.servers[candidate.index], now); });
        return loads;
    }

    /** As sumPool, which works the loads out again. */
    PoolTotals sumLoads(const PoolView& view, Candidates candidates, Loads loads)
    {
        PoolTotals totals;
        for (size_t i = 0; i < candidates.size(); ++i) {
            totals.load += loads[i].estimate.requests;
            totals.slots += loads[i].slots;
            totals.meanPrice += view.servers[candidates[i].index].description.pricePerHour;
        }
        totals.meanPrice /= std::max(1.0, static_cast<double>(candidates.size()));
        return totals;
    }

    /** Replaces `best` when the candidate is inside its bound and `best` is not, or is as good there and cheaper. */
    void consider(const Decision& decision, const Candidate& candidate, const Load& load, Scored& best)
    {
        const bool overBound = isOverBound(decision, load);
        if (overBound && !best.overBound) {
            return;
        }
        const Scored scored = score(decision, candidate, load, overBound);
        if (scored.cost < best.cost || (best.overBound && !scored.overBound)) {
            best = scored;
        }
    }

    Scored cheapestOfAll(const Decision& decision, Candidates candidates, Loads loads)
    {
        Scored best;
        for (size_t i = 0; i < candidates.size(); ++i) {
            consider(decision, candidates[i], loads[i], best);
        }
        return best;
    }

    /** @return the position of the candidate that the hint names, or nothing when it receives no new work. */
    std::optional<size_t> findCandidate(const Decision& decision, Candidates candidates, const CacheHint& hint)
    {
        const auto known = decision.view.indexByNameHash.find(hint.serverNameHash);
        if (known == decision.view.indexByNameHash.end()) {
            return std::nullopt;
        }
        const auto found = std::lower_bound(candidates.begin(), candidates.end(), known->second, [](const Candidate& candidate, size_t index) { return candidate.index < index; });
        if (found == candidates.end() || found->index != known->second) {
            return std::nullopt;
        }
        return static_cast<size_t>(found - candidates.begin());
    }

    /** Considers some candidates, each once. */
    class Shortlist {
    public:
        Shortlist(const Decision& decision, Candidates candidates, std::pmr::memory_resource& memory)
            : m_decision(decision)
            , m_candidates(candidates)
            , m_considered(candidates.size(), 0, &memory)
        {
        }

        void add(size_t position)
        {
            if (m_considered[position]++) {
                return;
            }
            const Candidate& candidate = m_candidates[position];
            const PoolView& view = m_decision.view;
            consider(m_decision, candidate, loadOf(view, view.servers[candidate.index], m_decision.now), m_best);
        }

        const Scored& best() const { return m_best; }

    private:
        const Decision& m_decision;
        Candidates m_candidates;
        std::pmr::vector<uint8_t> m_considered;
        Scored m_best;
    };

    Scored cheapestOfSome(const Decision& decision, Candidates candidates, std::span<const uint32_t> homes, std::pmr::memory_resource& memory)
    {
        Shortlist shortlist(decision, candidates, memory);
        for (const uint32_t position : homes) {
            shortlist.add(position);
        }
        for (size_t i = 0; i < decision.hints.count; ++i) {
            if (const auto holder = findCandidate(decision, candidates, decision.hints.hints[i])) {
                shortlist.add(*holder);
            }
        }
        for (size_t i = 0; i < decision.options.sample; ++i) {
            shortlist.add(rendezvousWeight(decision.request.seed, i) % candidates.size());
        }
        return shortlist.best();
    }

    RouteChoice choiceOf(const Scored& best)
    {
        return {
            .index = best.index,
            .missingTokens = static_cast<uint32_t>(best.missing),
            .expectedFirstToken = std::chrono::ceil<std::chrono::microseconds>(Milliseconds(best.firstToken)),
            .overBound = best.overBound,
        };
    }

    bool weighsAll(const PoolView& view, Candidates candidates, const RoutingOptions& options)
    {
        return candidates.size() <= options.fullScan || view.totals.slots <= 0;
    }

    /** Precondition: some server may receive the request. */
    RouteChoice choose(Candidates candidates, const PoolView& view, const RouteRequest& request, const RoutingOptions& options, MonotonicTime now, std::pmr::memory_resource& memory)
    {
        std::pmr::vector<PrefixUse> uses(request.blocks.size(), &memory);
        fillPrefixUses(view.popularity, request.blocks, now, uses);
        const auto homes = creditHomes(candidates, request, uses, options, keepHomes, memory);
        const bool all = weighsAll(view, candidates, options);
        Loads loads = all ? loadsOf(view, candidates, now, memory) : Loads {};
        const PoolTotals totals = all ? sumLoads(view, candidates, loads) : view.totals;
        const Decision decision { view, request, options, now, totals, cacheHints(view, request, now), scaleOf(view, totals, request, options, now) };
        if (!all) {
            const Scored best = cheapestOfSome(decision, candidates, homes, memory);
            if (!best.overBound) {
                return choiceOf(best);
            }
            loads = loadsOf(view, candidates, now, memory);
        }
        return choiceOf(cheapestOfAll(decision, candidates, loads));
    }

    /** As choose, with every part done the simple way. */
    RouteChoice choosePlainly(Candidates candidates, const PoolView& view, const RouteRequest& request, const RoutingOptions& options, MonotonicTime now, std::pmr::memory_resource& memory)
    {
        const auto homes = creditHomes(candidates, request, prefixUses(view.popularity, request.blocks, now), options, keepHomesBySorting, memory);
        const bool all = weighsAll(view, candidates, options);
        const PoolTotals totals = all ? sumPool(view, request.excluded, now) : view.totals;
        const Decision decision { view, request, options, now, totals, cacheHints(view, request, now), scaleOf(view, totals, request, options, now) };
        Scored best;
        const auto weigh = [&](size_t position) { consider(decision, candidates[position], loadOf(view, view.servers[candidates[position].index], now), best); };
        if (!all) {
            std::for_each(homes.begin(), homes.end(), weigh);
            for (size_t i = 0; i < decision.hints.count; ++i) {
                if (const auto holder = findCandidate(decision, candidates, decision.hints.hints[i])) {
                    weigh(*holder);
                }
            }
            for (size_t i = 0; i < options.sample; ++i) {
                weigh(rendezvousWeight(request.seed, i) % candidates.size());
            }
        }
        if (best.overBound) {
            best = {};
            for (size_t i = 0; i < candidates.size(); ++i) {
                weigh(i);
            }
        }
        return choiceOf(best);
    }

    using Choose = RouteChoice(Candidates, const PoolView&, const RouteRequest&, const RoutingOptions&, MonotonicTime, std::pmr::memory_resource&);

    std::optional<RouteChoice> chooseBy(Choose& method, const PoolView& view, const RouteRequest& request, const RoutingOptions& options, MonotonicTime now, LastReason& reason)
    {
        if (request.deadline <= now) {
            return fail(reason, ResultCode::DeadlineExpired, "the deadline has passed");
        }
        alignas(std::max_align_t) std::array<std::byte, scratchBytes> scratch; // left without values
        std::pmr::monotonic_buffer_resource memory(scratch.data(), scratch.size());
        const Candidates candidates = usableServers(view, request, memory);
        if (candidates.empty()) {
            return fail(reason, ResultCode::NoBackendServer, "no backend server may receive the request");
        }
        return method(candidates, view, request, options, now, memory);
    }

} // namespace

double boundedLoadLimit(double slots, double poolLoad, double poolSlots, const RoutingOptions& options)
{
    const double fairShare = (poolLoad + 1) / std::max(poolSlots, slots) * slots;
    return std::max(options.loadBound * fairShare, options.comfortableUse * slots);
}

std::optional<RouteChoice> chooseBackendServer(const PoolView& view, const RouteRequest& request, const RoutingOptions& options, MonotonicTime now, LastReason& reason)
{
    return chooseBy(choose, view, request, options, now, reason);
}

std::optional<RouteChoice> chooseBackendServerPlainly(const PoolView& view, const RouteRequest& request, const RoutingOptions& options, MonotonicTime now, LastReason& reason)
{
    return chooseBy(choosePlainly, view, request, options, now, reason);
}

} // namespace siskinspread
