#pragma once

#include "siskinspread/HttpClient.h"
#include "siskinspread/HttpHead.h"
#include "siskinspread/LastReason.h"
#include "siskinspread/ReplicaPlacement.h"
#include "siskinspread/ReportedLoad.h"
#include "siskinspread/Rollout.h"
#include "siskinspread/RoutingConfiguration.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace siskinspread {

/** What a caller says of its request, beside the bytes that are passed on. */
struct CallerRequest {
    std::string attemptId;
    bool isNameable { true }; /**< The id can stand in MemoryMove; ids are any bytes that a header can hold. */
    std::optional<std::chrono::milliseconds> timeLeft; /**< That the caller waits, from when it sent the request. */
    std::optional<std::string> apiKey;
    std::optional<uint32_t> outputTokens; /**< At most; with the prompt, the request's size. Empty: no model request. */
    uint32_t promptTokens { 0 };
    std::vector<PromptPart> prompt;
};

/** What a host tells a replica beside the bytes that are passed on. */
struct ForwardOrder {
    std::string instance; /**< The incarnation that is expected at the address. */
    std::chrono::milliseconds timeLeft { 0 };
    std::string customer; /**< Empty: none. */
    std::optional<uint32_t> urgency; /**< 0 is admitted first, 9 last. */
    std::optional<uint64_t> continueAfter; /**< Event of a stream after which the answer is to go on. */
    std::optional<std::string> memoryFrom; /**< Where the memory of the run lies that is to go on, as the platform names it. */
};

/** An order to a replica to stop a running request and to copy its memory to another replica. */
struct MemoryMove {
    std::string attemptId;
    std::string sourceAddress;
    uint16_t sourcePort { 0 };
    std::string targetAddress;
    uint16_t targetPort { 0 };
};

/** What became of such an order. */
struct MemoryMoveAnswer {
    bool copied { false }; /**< The target has the memory; otherwise only the source, which has stopped the run. */
    std::string memoryFrom; /**< For ForwardOrder. */
};

/** What the headers of an answer say beside the bytes that are passed on. */
struct ReplicaAnswer {
    std::string attemptId;
    bool sealed { false }; /**< Signed by the replica; a success without it is not the replica's. */
    bool notExecuted { false }; /**< The replica states that it did not run the request. */
    bool otherInstance { false }; /**< Another incarnation has the address. */
    std::optional<std::chrono::milliseconds> idleTimeout; /**< After which the replica closes the connection. */
    bool leaving { false }; /**< The replica that answered will end. */
    std::optional<std::chrono::milliseconds> pause; /**< For which the replica wants nothing from this host; above zero, an hour at most. */
    bool namesLimit { false }; /**< It says how many requests a second the replica takes. */
    std::optional<double> requestsPerSecond; /**< That limit, over all hosts together; not below zero. Empty: unreadable. */
    bool namesLoad { false }; /**< It says something of the replica's load. */
    std::optional<ReportedLoad> load; /**< Empty: none or unreadable. */
};

/** A replica as it registered itself. */
struct ReplicaEntry {
    std::string instance;
    std::string service;
    std::string address;
    uint16_t port { 0 };
    std::string failureDomain;
    std::string version; /**< Of its software; empty: it names none. */
    uint32_t slots { 0 };
    bool leaving { false };
    bool reclaimable { false };
    std::chrono::milliseconds slowStartLeft { 0 };
    int64_t startedAtMs { 0 }; /**< Unix time of its start; tells two incarnations of one instance name apart. */
};

/** What a replica answers when it is asked for its state. */
struct ReplicaState {
    bool leaving { false };
    std::optional<std::chrono::milliseconds> leavesIn; /**< Until it ends, where it knows. */
    std::optional<int64_t> startedAtMs; /**< As ReplicaEntry::startedAtMs, where it tells. */
};

/** Collections of documents in the platform's store. */
enum class StoreCollection : uint8_t {
    Configuration,
    Replicas,
    Hosts, /**< Documents of the product. */
    Leases, /**< Documents of the product. */
    UsageWindows, /**< Documents of the product. */
    Rollouts,
};

struct StoreDocument {
    std::string name;
    uint64_t revision { 0 };
    nlohmann::json content;
    nlohmann::json status; /**< What this product has written of it; null: nothing. */
};

struct StorePage {
    std::vector<StoreDocument> documents;
    bool truncated { false };
    uint64_t asOf { 0 }; /**< Revision of the store that the page shows. */
};

struct StoreChange {
    bool removed { false };
    StoreDocument document;
};

struct StoreChanges {
    std::vector<StoreChange> changes;
    uint64_t asOf { 0 };
};

/** What a call to the store came to. */
enum class StoreAnswer : uint8_t {
    Done,
    Absent,
    Conflict,
    HistoryGone, /**< The watch starts before what the store remembers; list again. */
    NotDone, /**< Refused; had no effect. */
    Unknown, /**< No answer; a write may have taken effect or may do so later. */
};

/** A report of the requests that began to run in one window. */
struct UsageReport {
    int64_t window { 0 }; /**< Number of the window, counted from the start of 1970. */
    std::map<std::string, uint64_t> requests; /**< By customer. */
};

/** An order for replicas of a service in a failure domain. */
struct FleetOrder {
    std::string service;
    std::string failureDomain;
    uint32_t replicas { 0 };
    bool reclaimable { false };
};

/** An order to move a service to another version, and what the store says has become of it. */
struct RolloutDocument {
    RolloutOrder order;
    RolloutState state { RolloutState::Ordered };
};

/** The holder of a duty, as orders name it. */
struct DutyStamp {
    std::string holder;
    uint64_t fencingNumber { 0 };
};

/**
 * The interface to a platform: translates, and neither decides nor keeps state. Methods that decode return nothing with a
 * reason when the input cannot be read.
 * Thread safety: implementations are immutable; every method may be called from any thread.
 */
class PlatformAdapter {
public:
    virtual ~PlatformAdapter() = default;

    /** @param reason MalformedRequest. */
    virtual std::optional<CallerRequest> decodeRequest(const RequestHead&, LastReason& reason) const = 0;
    /** Appends the head of a request to a replica, with its body's length. */
    virtual void encodeRequest(const RequestHead&, size_t bodyBytes, const ForwardOrder&, std::string& out) const = 0;
    virtual ReplicaAnswer decodeAnswer(const AnswerHead&) const = 0;
    /** Appends a whole request to the replica. */
    virtual void encodeStateQuestion(const ReplicaEntry&, std::string& out) const = 0;
    /** @param reason BackendError. */
    virtual std::optional<ReplicaState> decodeState(int status, std::string_view body, LastReason& reason) const = 0;
    /** Appends a whole request to the source. Precondition: the request is nameable. */
    virtual void encodeMemoryMove(const MemoryMove&, std::string& out) const = 0;
    /** @return nothing when the run was not stopped, or may not have been. @param reason BackendRejected (not stopped), or BackendError (the answer does not tell). */
    virtual std::optional<MemoryMoveAnswer> decodeMemoryMove(const MemoryMove&, int status, std::string_view body, LastReason& reason) const = 0;

    virtual StartTransfer listDocuments(StoreCollection, std::string_view after) const = 0;
    virtual StartTransfer watchDocuments(StoreCollection, uint64_t after, std::chrono::milliseconds wait) const = 0;
    virtual StartTransfer readDocument(StoreCollection, std::string_view name) const = 0;
    virtual StartTransfer createDocument(StoreCollection, std::string_view name, const nlohmann::json& content) const = 0;
    virtual StartTransfer replaceDocument(StoreCollection, std::string_view name, uint64_t revision, const nlohmann::json& content) const = 0;
    /** Writes what has become of an order. */
    virtual StartTransfer writeRolloutState(std::string_view name, uint64_t revision, const RolloutOrder&, RolloutState) const = 0;
    virtual StartTransfer removeDocument(StoreCollection, std::string_view name, uint64_t revision) const = 0;
    virtual StoreAnswer storeAnswer(const TransferEnded&, bool write) const = 0;
    virtual std::optional<StorePage> decodePage(const TransferEnded&, LastReason&) const = 0;
    virtual std::optional<StoreChanges> decodeChanges(const TransferEnded&, LastReason&) const = 0;
    virtual std::optional<StoreDocument> decodeDocument(const TransferEnded&, LastReason&) const = 0;

    /** @param reason InvalidConfiguration. */
    virtual std::optional<RoutingConfiguration> decodeConfiguration(const StoreDocument&, LastReason& reason) const = 0;
    virtual std::optional<ReplicaEntry> decodeReplica(const StoreDocument&, LastReason&) const = 0;
    virtual std::optional<RolloutDocument> decodeRollout(const StoreDocument&, LastReason&) const = 0;

    virtual StartTransfer reportUsage(const UsageReport&, const DutyStamp&) const = 0;
    virtual StartTransfer orderReplicas(const FleetOrder&, const DutyStamp&) const = 0;
};

} // namespace siskinspread
