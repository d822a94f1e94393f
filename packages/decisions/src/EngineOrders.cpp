#include "siskinspread/EngineOrders.h"

#include <algorithm>

namespace siskinspread {

namespace {

    bool contains(const std::vector<EngineItem>& items, const EngineItem& item)
    {
        return std::find(items.begin(), items.end(), item) != items.end();
    }

    /** @return whether an engine on its way from `before` to `target` can have this loaded; otherwise another's order took effect. */
    bool comesFrom(const EngineTarget& loaded, const EngineTarget& before, const EngineTarget& target)
    {
        const auto isKnown = [](const std::vector<EngineItem>& items, const std::vector<EngineItem>& from, const std::vector<EngineItem>& to) {
            return std::all_of(items.begin(), items.end(), [&](const EngineItem& item) { return contains(from, item) || contains(to, item); });
        };
        return isKnown(loaded.models, before.models, target.models) && isKnown(loaded.adapters, before.adapters, target.adapters)
            && (loaded.role == before.role || loaded.role == target.role);
    }

    struct Stepper {
        EngineOrdersState& state;
        const EngineOrdersOptions& options;
        MonotonicTime now;
        std::vector<EngineOrdersAction>& actions;

        EngineOrderState* find(const std::string& server) const
        {
            const auto entry = state.engines.find(server);
            return entry == state.engines.end() ? nullptr : &entry->second;
        }

        size_t loadsInFlight() const
        {
            return std::count_if(state.engines.begin(), state.engines.end(), [](const auto& entry) { return entry.second.orderedAt.has_value(); });
        }

        bool mayOrder(const EngineOrderState& engine, const EngineRead& read) const
        {
            const bool isOwnProgress = comesFrom(read.loaded, engine.loadedAtOrder, engine.target);
            if (engine.orderedAt && isOwnProgress && now < *engine.orderedAt + options.loadTimeout) {
                return false; // carried out at this moment
            }
            if (!engine.checksFencingNumbers && now < state.leaseGainedAt + options.takeoverDelay) {
                return false; // an order of the former holder may still be on its way
            }
            return engine.orderedAt || loadsInFlight() < options.maxLoadsInFlight;
        }

        size_t heldBackOf(const std::string& pool) const
        {
            return std::count_if(state.engines.begin(), state.engines.end(),
                [&pool](const auto& entry) { return entry.second.pool == pool && entry.second.hold != ServerHold::None; });
        }

        /** Takes the server out of routing. @return whether nothing runs there any more. */
        bool becomesQuiet(EngineOrderState& engine, const EngineRead& read) const
        {
            if (engine.hold == ServerHold::None && heldBackOf(engine.pool) < options.maxHeldBackPerPool) {
                engine.hold = ServerHold::Asked;
                actions.emplace_back(HoldBackServer { .server = read.server });
            }
            return engine.hold == ServerHold::HeldBack && now >= engine.heldBackSince + options.quietTime && !read.openStreams;
        }

        void release(const std::string& server, EngineOrderState& engine) const
        {
            if (engine.hold != ServerHold::None) {
                engine.hold = ServerHold::None;
                actions.emplace_back(ReleaseServer { .server = server });
            }
        }

        void operator()(const EngineWanted& wanted) const
        {
            EngineOrderState& engine = state.engines[wanted.server];
            if (engine.target != wanted.target) {
                engine.orderedAt.reset();
                engine.nextReadAt = now;
            }
            engine.pool = wanted.pool;
            engine.target = wanted.target;
            engine.checksFencingNumbers = wanted.checksFencingNumbers;
        }

        void operator()(const EngineForgotten& forgotten) const
        {
            if (EngineOrderState* engine = find(forgotten.server)) {
                release(forgotten.server, *engine);
                state.engines.erase(forgotten.server);
            }
        }

        void operator()(const EngineRead& read) const
        {
            EngineOrderState* engine = find(read.server);
            if (!engine || !engine->callOpen) {
                return;
            }
            engine->callOpen = false;
            engine->retryDelay = std::chrono::milliseconds { 0 };
            engine->loaded = read.loaded;
            if (read.loaded == engine->target) {
                release(read.server, *engine);
                engine->orderedAt.reset();
                engine->nextReadAt = now + options.readInterval;
                return;
            }
            engine->nextReadAt = now + options.settleInterval;
            if (!state.fencingNumber || !mayOrder(*engine, read)) {
                return;
            }
            if (isDestructive(read.loaded, engine->target) && !becomesQuiet(*engine, read)) {
                return;
            }
            engine->callOpen = true;
            engine->orderedAt = now;
            engine->loadedAtOrder = read.loaded;
            actions.emplace_back(OrderEngine { .server = read.server, .loaded = read.loaded, .target = engine->target, .fencingNumber = *state.fencingNumber });
        }

        void operator()(const EngineCallFailed& failed) const
        {
            if (EngineOrderState* engine = find(failed.server)) {
                engine->callOpen = false;
                engine->orderedAt.reset(); // read first: the order may or may not have arrived
                engine->retryDelay = std::clamp(engine->retryDelay * 2, options.retryInterval, options.readInterval);
                engine->nextReadAt = now + engine->retryDelay;
                if (engine->retryDelay == options.readInterval) {
                    release(failed.server, *engine); // it does not answer for long; others of its pool may be changed
                }
            }
        }

        void operator()(const EngineOrderAccepted& accepted) const
        {
            if (EngineOrderState* engine = find(accepted.server)) {
                engine->callOpen = false;
                engine->nextReadAt = now + options.settleInterval;
            }
        }

        void operator()(const EngineFencingRefused& refused) const
        {
            if (EngineOrderState* engine = find(refused.server)) {
                engine->callOpen = false;
                engine->orderedAt.reset();
                engine->nextReadAt = now + options.readInterval;
            }
            actions.emplace_back(EngineOrdersFenced { .server = refused.server });
        }

        void operator()(const EngineHeldBack& held) const
        {
            EngineOrderState* engine = find(held.server);
            if (engine && engine->hold == ServerHold::Asked) {
                engine->hold = ServerHold::HeldBack;
                engine->heldBackSince = now;
            }
        }

        void operator()(const EngineOrdersTick&) const
        {
            if (!state.fencingNumber) {
                return;
            }
            for (auto& [server, engine] : state.engines) {
                if (!engine.callOpen && now >= engine.nextReadAt) {
                    engine.callOpen = true;
                    actions.emplace_back(ReadEngine { .server = server });
                }
            }
        }
    };

    void followLease(EngineOrdersState& state, std::optional<uint64_t> heldFencing, MonotonicTime now)
    {
        if (state.fencingNumber == heldFencing) {
            return;
        }
        state.fencingNumber = heldFencing;
        state.leaseGainedAt = now;
        for (auto& [server, engine] : state.engines) {
            engine.callOpen = false;
            engine.orderedAt.reset();
            engine.loaded.reset();
            engine.hold = ServerHold::None; // what was held back is told again
            engine.nextReadAt = now;
        }
    }

    bool containsName(const std::vector<EngineItem>& items, const EngineItem& item)
    {
        return std::any_of(items.begin(), items.end(), [&item](const EngineItem& other) { return other.name == item.name; });
    }

    bool replacesAny(const std::vector<EngineItem>& loaded, const std::vector<EngineItem>& target)
    {
        return std::any_of(loaded.begin(), loaded.end(), [&target](const EngineItem& item) { return !contains(target, item); });
    }

    void addUnloads(std::vector<EngineStep>& steps, EngineStepKind kind, const std::vector<EngineItem>& loaded, const std::vector<EngineItem>& target)
    {
        for (const EngineItem& item : loaded) {
            if (!containsName(target, item)) {
                steps.push_back({ .kind = kind, .item = item });
            }
        }
    }

    void addLoads(std::vector<EngineStep>& steps, EngineStepKind kind, const std::vector<EngineItem>& loaded, const std::vector<EngineItem>& target)
    {
        for (const EngineItem& item : target) {
            if (!contains(loaded, item)) {
                steps.push_back({ .kind = kind, .item = item });
            }
        }
    }

} // namespace

bool isDestructive(const EngineTarget& loaded, const EngineTarget& target)
{
    return replacesAny(loaded.models, target.models) || replacesAny(loaded.adapters, target.adapters)
        || (!loaded.models.empty() && loaded.role != target.role);
}

std::vector<EngineStep> stepsBetween(const EngineTarget& loaded, const EngineTarget& target)
{
    std::vector<EngineStep> steps;
    addUnloads(steps, EngineStepKind::UnloadAdapter, loaded.adapters, target.adapters);
    addUnloads(steps, EngineStepKind::UnloadModel, loaded.models, target.models);
    if (loaded.role != target.role) {
        steps.push_back({ .kind = EngineStepKind::SetRole, .item = {}, .role = target.role });
    }
    addLoads(steps, EngineStepKind::LoadModel, loaded.models, target.models);
    addLoads(steps, EngineStepKind::LoadAdapter, loaded.adapters, target.adapters);
    return steps;
}

void step(EngineOrdersState& state, const EngineOrdersOptions& options, const EngineOrdersEvent& event, std::optional<uint64_t> heldFencing,
    MonotonicTime now, std::vector<EngineOrdersAction>& actions)
{
    followLease(state, heldFencing, now);
    std::visit(Stepper { state, options, now, actions }, event);
}

} // namespace siskinspread
