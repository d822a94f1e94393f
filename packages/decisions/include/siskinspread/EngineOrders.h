#pragma once

#include "siskinspread/Time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace siskinspread {

/** What a model engine does in a pool that separates the phases of a request. */
enum class EngineRole : uint8_t {
    Mixed,
    Prefill,
    Decode,
};

/** A model or an adapter that an engine has loaded, or is to load. */
struct EngineItem {
    std::string name;
    std::string version;
    bool operator==(const EngineItem&) const = default;
};

/** What an engine should have loaded, or has. Each list is sorted and names an item once. */
struct EngineTarget {
    std::vector<EngineItem> models;
    std::vector<EngineItem> adapters;
    EngineRole role { EngineRole::Mixed };
    bool operator==(const EngineTarget&) const = default;
};

enum class EngineStepKind : uint8_t {
    UnloadAdapter,
    UnloadModel,
    SetRole,
    LoadModel,
    LoadAdapter,
};

/** One order as engines take it. Repeating it changes nothing. */
struct EngineStep {
    EngineStepKind kind { EngineStepKind::SetRole };
    EngineItem item; /**< Of the other kinds. */
    EngineRole role { EngineRole::Mixed }; /**< Of SetRole. */
    bool operator==(const EngineStep&) const = default;
};

/** The wanted state of one engine; replaces the earlier one. */
struct EngineWanted {
    std::string server;
    std::string pool;
    EngineTarget target;
    bool checksFencingNumbers { false };
};
/** The engine is no longer to be ordered about. */
struct EngineForgotten {
    std::string server;
};
/** Answer to ReadEngine. */
struct EngineRead {
    std::string server;
    EngineTarget loaded;
    uint32_t openStreams { 0 };
};
/** A read or an order ended without an answer or with an error; an order may have taken effect. */
struct EngineCallFailed {
    std::string server;
};
/** The engine accepted an order, which does not mean that it has been carried out. */
struct EngineOrderAccepted {
    std::string server;
};
/** The engine refused an order because it has seen a higher fencing number. */
struct EngineFencingRefused {
    std::string server;
};
/** The entry hosts have been told to send no new work to the server; answer to HoldBackServer. */
struct EngineHeldBack {
    std::string server;
};
/** Time passed; to be sent every second or so. */
struct EngineOrdersTick { };

using EngineOrdersEvent = std::variant<EngineWanted, EngineForgotten, EngineRead, EngineCallFailed, EngineOrderAccepted, EngineFencingRefused, EngineHeldBack, EngineOrdersTick>;

struct ReadEngine {
    std::string server;
};
/**
 * Bring the engine to `target`, an absolute state, so that repeating the order changes nothing. The adapter asks
 * heldFencingNumber again immediately before it sends, and drops the order when the number is not `fencingNumber` any more.
 */
struct OrderEngine {
    std::string server;
    EngineTarget loaded; /**< As read directly before. */
    EngineTarget target;
    uint64_t fencingNumber { 0 };
};
/** The lease has passed to another host although this one believed that it held it. */
struct EngineOrdersFenced {
    std::string server;
};

/** Let no entry host send new work to the server, until ReleaseServer or the end of the lease. */
struct HoldBackServer {
    std::string server;
};
struct ReleaseServer {
    std::string server;
};

using EngineOrdersAction = std::variant<ReadEngine, OrderEngine, EngineOrdersFenced, HoldBackServer, ReleaseServer>;

struct EngineOrdersOptions {
    std::chrono::milliseconds readInterval { 30'000 }; /**< Between reads of an engine that is as wanted. */
    std::chrono::milliseconds settleInterval { 2'000 }; /**< Between reads of an engine that is not. */
    std::chrono::milliseconds retryInterval { 1'000 }; /**< After a failed call, doubled up to readInterval. */
    std::chrono::milliseconds loadTimeout { 600'000 }; /**< After this an order that shows no effect is repeated. */
    std::chrono::milliseconds takeoverDelay { 15'000 }; /**< Before a new holder orders engines that ignore fencing numbers. */
    uint32_t maxLoadsInFlight { 4 }; /**< Bounds the load on the weight store. */
    uint32_t maxHeldBackPerPool { 1 }; /**< Servers of one pool that are out of routing at once for a change. */
    std::chrono::milliseconds quietTime { 5'000 }; /**< From holding a server back until its reported streams are believed: they lag. */
};

/** Whether a server is out of routing for a change. */
enum class ServerHold : uint8_t {
    None,
    Asked, /**< Not all entry hosts have been told yet. */
    HeldBack,
};

struct EngineOrderState {
    std::string pool;
    EngineTarget target;
    std::optional<EngineTarget> loaded; /**< At the last read. */
    bool checksFencingNumbers { false };
    bool callOpen { false };
    MonotonicTime nextReadAt;
    std::chrono::milliseconds retryDelay { 0 };
    std::optional<MonotonicTime> orderedAt; /**< Set while an order waits for its effect. */
    EngineTarget loadedAtOrder; /**< Read directly before that order. */
    ServerHold hold { ServerHold::None };
    MonotonicTime heldBackSince;
};

/** State of the holder of the duty; started afresh with each fencing number. */
struct EngineOrdersState {
    std::optional<uint64_t> fencingNumber;
    MonotonicTime leaseGainedAt;
    std::map<std::string, EngineOrderState> engines;
};

/** @return whether going from `loaded` to `target` takes something away that a running stream may use. Thread safety: reentrant. */
bool isDestructive(const EngineTarget& loaded, const EngineTarget& target);

/** @return the orders that take an engine from `loaded` to `target`, those that free memory first. Thread safety: reentrant. */
std::vector<EngineStep> stepsBetween(const EngineTarget& loaded, const EngineTarget& target);

/**
 * Brings engines to their wanted states: read, compare, order, read back. An order follows only directly on a read; a
 * destructive one only when the server was out of routing and that read showed no open streams.
 *
 * @param heldFencing the result of heldFencingNumber at `now`. Without it nothing is read or ordered.
 * Thread safety: safe while no other thread uses `state`.
 */
void step(EngineOrdersState& state, const EngineOrdersOptions& options, const EngineOrdersEvent& event, std::optional<uint64_t> heldFencing,
    MonotonicTime now, std::vector<EngineOrdersAction>& actions);

} // namespace siskinspread
