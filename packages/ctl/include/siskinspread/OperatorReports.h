#pragma once

#include "siskinspread/SettingsProblem.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace siskinspread {

/** What `siskinctl check` found. */
struct CheckReport {
    size_t files { 0 }; /**< Files that were read. */
    std::vector<SettingsProblem> problems {};
};

/** How many hosts have a revision in force. */
struct RevisionSpread {
    uint32_t inForce { 0 };
    uint32_t liveHosts { 0 };
};

/** A publish that took effect. */
struct PublishReport {
    uint64_t revision { 0 };
    std::string publishId {};
    bool settledByReadBack { false }; /**< The answer was lost; reading the configuration back showed that the update took effect. */
    std::vector<std::string> changedServices {};
    std::optional<RevisionSpread> spread {}; /**< Set when --wait was given. */
};

/** An entry host as another one sees it. */
struct EntryHostStatus {
    std::string name {};
    std::string failureDomain {};
    std::string incarnation {};
    std::string state {};
    uint64_t configurationRevision { 0 };
    uint32_t openRequests { 0 };
};

/** A backend server as an entry host sees it. */
struct BackendServerStatus {
    std::string name {};
    std::string pool {};
    std::string failureDomain {};
    std::string state {};
    uint32_t openRequests { 0 };
};

/** What the holder of a duty tells of an engine that it orders. */
struct OrderedEngineStatus {
    std::string backendServer {};
    std::string wanted {};
    std::string loaded {}; /**< Empty when the holder has not read it yet. */
    bool heldBack { false }; /**< Out of routing for a change. */
};

/** A duty that an entry host holds. */
struct DutyStatus {
    std::string duty {};
    std::string holder {};
    uint64_t fencingNumber { 0 };
    std::vector<OrderedEngineStatus> engines {};
};

/** What one entry host knows of the system. */
struct SystemStatus {
    std::string observer {}; /**< The entry host that answered. */
    uint64_t configurationRevision { 0 };
    std::vector<EntryHostStatus> entryHosts {};
    std::vector<BackendServerStatus> backendServers {};
    std::vector<DutyStatus> duties {}; /**< Of the hosts that answered. */
};

/**
 * @return how many hosts that one of the answers calls live have the revision, or a later one, in force. A host that is
 * only suspected counts as live. Thread safety: reentrant.
 */
RevisionSpread revisionSpread(const std::vector<SystemStatus>& answers, uint64_t revision);

/** A planned stop that an entry host has begun. */
struct DrainReport {
    std::string name {};
    std::string incarnation {};
    bool alreadyDraining { false }; /**< It had begun before this command. */
    uint32_t openRequests { 0 }; /**< As the host told last. */
    std::chrono::milliseconds graceLeft { 0 }; /**< For these requests, as the host told last. */
    bool hasEnded { false }; /**< With --wait: the process has ended. */
};

} // namespace siskinspread
