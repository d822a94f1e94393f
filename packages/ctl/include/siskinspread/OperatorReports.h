#pragma once

#include "siskinspread/LastReason.h"
#include "siskinspread/SettingsProblem.h"
#include "siskinspread/Time.h"

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

/** What one entry host knows of the system. */
struct SystemStatus {
    std::string observer {}; /**< The entry host that answered. */
    uint64_t configurationRevision { 0 };
    std::vector<EntryHostStatus> entryHosts {};
    std::vector<BackendServerStatus> backendServers {};
};

/** One attempt at a backend server. */
struct AttemptReport {
    std::string backendServer {};
    ResultCode result { ResultCode::Ok };
    RunState run { RunState::NotRun };
    std::chrono::milliseconds sinceAccepted { 0 }; /**< When the attempt began. */
};

/** What became of one request. */
struct AccountReport {
    std::string requestId {};
    std::string service {};
    std::string customer {};
    std::string idempotencyKey {}; /**< Empty when the request carried none. */
    bool ended { false }; /**< False while the request is open; result and run are then not final. */
    ResultCode result { ResultCode::Ok };
    RunState run { RunState::NotRun };
    std::optional<WallTime> accepted {};
    std::optional<std::chrono::milliseconds> duration {};
    uint64_t tokensDelivered { 0 };
    std::vector<AttemptReport> attempts {};
};

/** A drain that was ordered. */
struct DrainReport {
    std::string name {};
    uint32_t openRequests { 0 };
};

} // namespace siskinspread
