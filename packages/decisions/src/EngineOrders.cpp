#include "siskinspread/EngineOrders.h"

#include <algorithm>

namespace siskinspread {

namespace {

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
            if (engine.orderedAt && now < *engine.orderedAt + options.loadTimeout) {
                return false; // carried out at this moment
            }
            if (!engine.checksFencingNumbers && now < state.leaseGainedAt + options.takeoverDelay) {
                return false; // an order of the former holder may still be on its way
            }
            if (isDestructive(read.loaded, engine.target) && read.openStreams) {
                return false;
            }
            return engine.orderedAt || loadsInFlight() < options.maxLoadsInFlight;
        }

        void operator()(const EngineWanted& wanted) const
        {
            EngineOrderState& engine = state.engines[wanted.server];
            if (engine.target != wanted.target) {
                engine.orderedAt.reset();
                engine.nextReadAt = now;
            }
            engine.target = wanted.target;
            engine.checksFencingNumbers = wanted.checksFencingNumbers;
        }

        void operator()(const EngineForgotten& forgotten) const { state.engines.erase(forgotten.server); }

        void operator()(const EngineRead& read) const
        {
            EngineOrderState* engine = find(read.server);
            if (!engine || !engine->callOpen) {
                return;
            }
            engine->callOpen = false;
            engine->retryDelay = std::chrono::milliseconds { 0 };
            if (read.loaded == engine->target) {
                engine->orderedAt.reset();
                engine->nextReadAt = now + options.readInterval;
                return;
            }
            engine->nextReadAt = now + options.settleInterval;
            if (!state.fencingNumber || !mayOrder(*engine, read)) {
                return;
            }
            engine->callOpen = true;
            engine->orderedAt = now;
            actions.emplace_back(OrderEngine { .server = read.server, .target = engine->target, .fencingNumber = *state.fencingNumber });
        }

        void operator()(const EngineCallFailed& failed) const
        {
            if (EngineOrderState* engine = find(failed.server)) {
                engine->callOpen = false;
                engine->orderedAt.reset(); // read first: the order may or may not have arrived
                engine->retryDelay = std::clamp(engine->retryDelay * 2, options.retryInterval, options.readInterval);
                engine->nextReadAt = now + engine->retryDelay;
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
            engine.nextReadAt = now;
        }
    }

} // namespace

bool isDestructive(const EngineTarget& loaded, const EngineTarget& target)
{
    const auto replaces = [](const std::string& from, const std::string& to) { return !from.empty() && from != to; };
    return replaces(loaded.model, target.model) || replaces(loaded.version, target.version) || replaces(loaded.adapter, target.adapter)
        || (!loaded.model.empty() && loaded.role != target.role);
}

void step(EngineOrdersState& state, const EngineOrdersOptions& options, const EngineOrdersEvent& event, std::optional<uint64_t> heldFencing,
    MonotonicTime now, std::vector<EngineOrdersAction>& actions)
{
    followLease(state, heldFencing, now);
    std::visit(Stepper { state, options, now, actions }, event);
}

} // namespace siskinspread
