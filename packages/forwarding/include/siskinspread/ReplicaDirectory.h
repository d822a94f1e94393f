#pragma once

#include "siskinspread/PlatformAdapter.h"
#include "siskinspread/ReplicaConnection.h"
#include "siskinspread/ReplicaHealth.h"
#include "siskinspread/ReplicaPlacement.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace siskinspread {

/** What this host knows of one incarnation of a replica. Loop thread only. */
struct Replica {
    ReplicaEntry entry;
    uint64_t identity { 0 }; /**< Hash of instance and start; the same on all hosts. */
    ReplicaLoad ownLoad;
    ReplicaLoad peerLoad;
    ReplicaHealth health;
    WorkFactorEstimate workFactor;
    double usualUnreadTokens { 0 }; /**< Of own and peers' requests, smoothed. */
    std::vector<std::shared_ptr<ReplicaConnection>> idle; /**< The most recently used last. */
    std::optional<std::chrono::milliseconds> idleTimeout; /**< As the replica told it. */
    std::unordered_map<uint64_t, MonotonicTime> residentParts; /**< Prompt parts by when this host last saw them computed here. */
    std::optional<MonotonicTime> leavesAt; /**< When a leaving one ends at the earliest, as far as it is known. */
    std::optional<MonotonicTime> suspectedAt; /**< Others that are reclaimed together with it have said that they leave. */
    std::optional<MonotonicTime> stateAskedAt;
    bool leavingByAnswer { false }; /**< An answer said that it leaves, so the store may not know of it. */
    std::optional<MonotonicTime> missingSince; /**< No longer in the store, which had been away. */
    std::optional<MonotonicTime> pausedUntil; /**< It has asked this host to send nothing until then. */
    bool loadUnreadable { false }; /**< Its last load report was ignored; said once. */
    bool gone { false };
};

/** @return whether the replica has asked this host to send nothing for now. Thread safety: loop thread. */
bool isPaused(const Replica&, MonotonicTime now);

/** @return the hash that names an incarnation on all hosts. Thread safety: reentrant. */
uint64_t replicaIdentity(const ReplicaEntry&);

/** The replicas that are known, by instance and by service. Loop thread only. */
class ReplicaDirectory {
public:
    /** How a change of the store's entries touched the directory. */
    enum class Change : uint8_t {
        Added,
        Updated,
        Leaving,
        Restarted, /**< The instance has another start: what was known of it is forgotten. */
    };

    Change apply(const ReplicaEntry&);

    /**
     * Remembers that an incarnation leaves, also beyond the end of its entry: an entry that comes back does not bring it back
     * into use. @return the replica where that is new and it is known.
     */
    std::shared_ptr<Replica> markLeaving(uint64_t identity);

    /** Removes a replica at once. @return whether it was known. */
    bool remove(const std::string& instance);

    /**
     * Keeps a replica whose entry is missing for a while: after an absence of the store, entries that ran out come back.
     * A leaving one is removed at once. @return whether it is still kept.
     */
    bool markMissing(const std::string& instance, MonotonicTime now);

    /** Removes replicas that have been missing for longer than `patience`. @return their names. */
    std::vector<std::string> removeMissing(MonotonicTime now, std::chrono::milliseconds patience);

    const std::vector<std::shared_ptr<Replica>>& ofService(std::string_view service) const;
    std::vector<std::string> instances() const;
    std::shared_ptr<Replica> find(const std::string& instance) const;
    std::shared_ptr<Replica> findIdentity(uint64_t identity) const;
    const std::unordered_map<std::string, std::shared_ptr<Replica>>& all() const { return m_replicas; }

private:
    void unlist(const std::shared_ptr<Replica>&);

    std::unordered_map<std::string, std::shared_ptr<Replica>> m_replicas;
    std::unordered_map<uint64_t, std::shared_ptr<Replica>> m_byIdentity;
    std::unordered_map<std::string, std::vector<std::shared_ptr<Replica>>> m_services;
    std::unordered_set<uint64_t> m_left; /**< Identities of incarnations that have said that they leave. */
    std::deque<uint64_t> m_leftInOrder; /**< The same, oldest first. */
};

/** Tokens of the leading parts that this host saw the replica compute lately. Thread safety: loop thread. */
uint32_t residentTokens(const Replica&, std::span<const PromptPart>, MonotonicTime now);

/** Notes that the replica has computed these parts. Thread safety: loop thread. */
void noteResident(Replica&, std::span<const PromptPart>, MonotonicTime now);

/** Takes the connection that was used last and is still safe to use; empty when a new one is needed. Loop thread. */
std::shared_ptr<ReplicaConnection> reuseConnection(Replica&, MonotonicTime now, std::chrono::milliseconds margin);

/** Keeps a connection for the next request, or closes it where it cannot be used again. Loop thread. */
void keepConnection(Replica&, std::shared_ptr<ReplicaConnection>);

/** Closes connections that the replica is about to close. Loop thread. */
void dropOldConnections(Replica&, MonotonicTime now);

} // namespace siskinspread
