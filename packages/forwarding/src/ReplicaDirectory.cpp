#include "siskinspread/ReplicaDirectory.h"

#include <xxhash.h>

#include <algorithm>

namespace siskinspread {

namespace {

    // Where a replica does not tell its idle time: shorter than servers commonly use.
    constexpr std::chrono::milliseconds usualIdleTime { 4000 };
    constexpr size_t maxIdleConnections = 32;
    // Parts that were computed longer ago have probably yielded to others.
    constexpr std::chrono::seconds residentTime { 30 };
    constexpr size_t maxResidentParts = 512;
    constexpr size_t maxLeft = 4096; // identities, 8 bytes each twice: the 670 replicas of the target replaced six times

    std::chrono::milliseconds idleTime(const Replica& replica)
    {
        return replica.idleTimeout.value_or(usualIdleTime);
    }

} // namespace

uint64_t replicaIdentity(const ReplicaEntry& entry)
{
    return XXH64(entry.instance.data(), entry.instance.size(), static_cast<uint64_t>(entry.startedAtMs));
}

bool isPaused(const Replica& replica, MonotonicTime now)
{
    return replica.pausedUntil && now < *replica.pausedUntil;
}

std::shared_ptr<Replica> ReplicaDirectory::markLeaving(uint64_t identity)
{
    if (m_left.insert(identity).second) {
        m_leftInOrder.push_back(identity);
        if (m_leftInOrder.size() > maxLeft) {
            m_left.erase(m_leftInOrder.front());
            m_leftInOrder.pop_front();
        }
    }
    auto replica = findIdentity(identity);
    if (!replica || replica->entry.leaving) {
        return nullptr;
    }
    replica->entry.leaving = true;
    for (auto& connection : replica->idle) {
        connection->close();
    }
    replica->idle.clear();
    return replica;
}

ReplicaDirectory::Change ReplicaDirectory::apply(const ReplicaEntry& entry)
{
    Change change = Change::Added;
    if (auto known = find(entry.instance)) {
        const auto& old = known->entry;
        if (old.startedAtMs == entry.startedAtMs && old.address == entry.address && old.port == entry.port && old.service == entry.service) {
            // A replica that has said that it leaves does not come back in the same incarnation.
            const bool wasLeaving = old.leaving;
            known->entry = entry;
            known->entry.leaving = wasLeaving;
            known->missingSince.reset();
            return entry.leaving && markLeaving(known->identity) ? Change::Leaving : Change::Updated;
        }
        remove(entry.instance);
        change = Change::Restarted;
    }
    auto replica = std::make_shared<Replica>();
    replica->entry = entry;
    replica->identity = replicaIdentity(entry);
    if (entry.leaving || m_left.contains(replica->identity)) {
        replica->entry.leaving = true;
        markLeaving(replica->identity);
    }
    m_replicas[entry.instance] = replica;
    m_byIdentity[replica->identity] = replica;
    m_services[entry.service].push_back(replica);
    return change;
}

void ReplicaDirectory::unlist(const std::shared_ptr<Replica>& replica)
{
    replica->gone = true;
    replica->idle.clear();
    m_byIdentity.erase(replica->identity);
    auto& list = m_services[replica->entry.service];
    list.erase(std::remove(list.begin(), list.end(), replica), list.end());
}

bool ReplicaDirectory::remove(const std::string& instance)
{
    auto found = m_replicas.find(instance);
    if (found == m_replicas.end()) {
        return false;
    }
    auto replica = found->second;
    m_replicas.erase(found);
    for (auto& connection : replica->idle) {
        connection->close();
    }
    unlist(replica);
    return true;
}

bool ReplicaDirectory::markMissing(const std::string& instance, MonotonicTime now)
{
    auto replica = find(instance);
    if (!replica) {
        return false;
    }
    if (replica->entry.leaving) {
        remove(instance);
        return false;
    }
    if (!replica->missingSince) {
        replica->missingSince = now;
    }
    return true;
}

std::vector<std::string> ReplicaDirectory::removeMissing(MonotonicTime now, std::chrono::milliseconds patience)
{
    std::vector<std::string> removed;
    for (const auto& [instance, replica] : m_replicas) {
        if (replica->missingSince && now - *replica->missingSince >= patience) {
            removed.push_back(instance);
        }
    }
    for (const auto& instance : removed) {
        remove(instance);
    }
    return removed;
}

const std::vector<std::shared_ptr<Replica>>& ReplicaDirectory::ofService(std::string_view service) const
{
    static const std::vector<std::shared_ptr<Replica>> none;
    auto found = m_services.find(std::string { service });
    return found == m_services.end() ? none : found->second;
}

std::vector<std::string> ReplicaDirectory::instances() const
{
    std::vector<std::string> names;
    names.reserve(m_replicas.size());
    for (const auto& [instance, replica] : m_replicas) {
        names.push_back(instance);
    }
    return names;
}

std::shared_ptr<Replica> ReplicaDirectory::find(const std::string& instance) const
{
    auto found = m_replicas.find(instance);
    return found == m_replicas.end() ? nullptr : found->second;
}

std::shared_ptr<Replica> ReplicaDirectory::findIdentity(uint64_t identity) const
{
    auto found = m_byIdentity.find(identity);
    return found == m_byIdentity.end() ? nullptr : found->second;
}

uint32_t residentTokens(const Replica& replica, std::span<const PromptPart> prompt, MonotonicTime now)
{
    uint32_t tokens = 0;
    for (const auto& part : prompt) {
        auto found = replica.residentParts.find(part.id);
        if (found == replica.residentParts.end() || now - found->second > residentTime) {
            break;
        }
        tokens += part.tokens;
    }
    return tokens;
}

void noteResident(Replica& replica, std::span<const PromptPart> prompt, MonotonicTime now)
{
    for (const auto& part : sharedParts(prompt)) {
        replica.residentParts[part.id] = now;
    }
    if (replica.residentParts.size() > maxResidentParts) {
        std::erase_if(replica.residentParts, [now](const auto& entry) { return now - entry.second > residentTime / 2; });
    }
}

std::shared_ptr<ReplicaConnection> reuseConnection(Replica& replica, MonotonicTime now, std::chrono::milliseconds margin)
{
    while (!replica.idle.empty()) {
        auto connection = std::move(replica.idle.back());
        replica.idle.pop_back();
        if (connection->isReusable() && now - connection->idleSince() + margin < idleTime(replica)) {
            return connection;
        }
        connection->close();
    }
    return nullptr;
}

void keepConnection(Replica& replica, std::shared_ptr<ReplicaConnection> connection)
{
    if (replica.gone || replica.entry.leaving || !connection->isReusable() || replica.idle.size() >= maxIdleConnections) {
        connection->close();
        return;
    }
    replica.idle.push_back(std::move(connection));
}

void dropOldConnections(Replica& replica, MonotonicTime now)
{
    std::erase_if(replica.idle, [&](const std::shared_ptr<ReplicaConnection>& connection) {
        const bool old = !connection->isReusable() || now - connection->idleSince() >= idleTime(replica);
        if (old) {
            connection->close();
        }
        return old;
    });
}

} // namespace siskinspread
