#include "MembershipMessages.h"

#include <algorithm>
#include <bit>

namespace siskinspread {

namespace {

    std::map<std::string, uint64_t> knownDigests(const MembershipState& state)
    {
        std::map<std::string, uint64_t> digests = digestsByDomain(state.table);
        digests[state.self.failureDomain] ^= digestOf(state.self);
        return digests;
    }

    std::vector<DomainView> makeViews(const MembershipState& state, MonotonicTime now)
    {
        std::vector<DomainView> views;
        for (const auto& [domain, digest] : knownDigests(state)) {
            if (domain == state.self.failureDomain) {
                views.push_back({ .failureDomain = domain, .age = {}, .digest = digest });
                continue;
            }
            const auto heard = state.domainHeardAt.find(domain);
            if (heard != state.domainHeardAt.end()) {
                const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - heard->second);
                views.push_back({ .failureDomain = domain, .age = age, .digest = digest });
            }
        }
        return views;
    }

    void refute(MembershipState& state, const MemberRecord& claim)
    {
        if (state.self.status == MemberStatus::Left) {
            return;
        }
        if (claim.incarnation != state.self.incarnation && claim.generation >= state.self.generation) {
            // Messages to this address reach this process, so the other one has been replaced.
            state.self.generation = claim.generation + 1;
            state.self.refutation = 0;
        }
        if (isSameProcess(claim, state.self) && supersedes(claim, state.self)) {
            state.self.refutation = claim.refutation + 1;
        }
    }

    /** @return whether another process is known at the sender's address, which the sender has not heard of. */
    bool isUnawareOfFormer(const MembershipState& state, const MemberRecord& sender)
    {
        const auto known = state.table.entries.find(sender.address);
        return known != state.table.entries.end() && known->second.record.incarnation != sender.incarnation
            && known->second.record.generation >= sender.generation;
    }

    /** @return whether the sender is the one to be asked about this domain. */
    bool isBetterInformed(MembershipState& state, const MemberRecord& sender, const DomainView& view, MonotonicTime now)
    {
        if (view.failureDomain == state.self.failureDomain) {
            return sender.failureDomain == state.self.failureDomain;
        }
        const MonotonicTime heardAt = now - view.age;
        const auto [known, isNew] = state.domainHeardAt.emplace(view.failureDomain, heardAt);
        const bool isFresher = isNew || heardAt > known->second;
        known->second = std::max(known->second, heardAt);
        return isFresher;
    }

    void takeViews(MembershipState& state, const MembershipOptions& options, const MembershipMessage& message, MonotonicTime now,
        std::vector<MembershipAction>& actions)
    {
        const std::map<std::string, uint64_t> digests = knownDigests(state);
        for (const DomainView& view : message.views) {
            const auto own = digests.find(view.failureDomain);
            const bool isEqual = own != digests.end() && own->second == view.digest;
            MonotonicTime& nextSync = state.nextSyncAt[view.failureDomain];
            if (!isBetterInformed(state, message.sender, view, now) || isEqual || now < nextSync) {
                continue;
            }
            nextSync = now + options.syncInterval;
            DomainRecordsRequest request { .failureDomain = view.failureDomain, .records = knownRecords(state, view.failureDomain) };
            sendMessage(state, options, message.sender.address, std::move(request), now, actions);
        }
    }

    /** A host that is judged wrongly, or not yet known at its address, hears of it at once. */
    void tellAboutItself(const MembershipState& state, const std::string& address, std::vector<MemberRecord>& rumours)
    {
        const auto entry = state.table.entries.find(address);
        if (entry != state.table.entries.end()) {
            rumours.push_back(entry->second.record);
        }
    }

} // namespace

std::vector<MemberRecord> knownRecords(const MembershipState& state, const std::string& failureDomain)
{
    std::vector<MemberRecord> records = recordsOfDomain(state.table, failureDomain);
    if (failureDomain == state.self.failureDomain) {
        records.push_back(state.self);
    }
    return records;
}

void sendMessage(MembershipState& state, const MembershipOptions& options, const std::string& address, MembershipBody body, MonotonicTime now,
    std::vector<MembershipAction>& actions)
{
    const auto logarithm = static_cast<uint32_t>(std::bit_width(state.table.entries.size() + 1));
    MembershipMessage message { .sender = state.self,
        .views = makeViews(state, now),
        .rumours = takeRumours(state.table, options.maxRumours, options.rumourFactor * logarithm),
        .body = std::move(body) };
    tellAboutItself(state, address, message.rumours);
    actions.emplace_back(SendMembership { .address = address, .message = std::move(message) });
}

void takeRecord(MembershipState& state, const MembershipOptions& options, const MemberRecord& record, MonotonicTime now,
    std::vector<MembershipAction>& actions)
{
    if (record.address == state.self.address) {
        refute(state, record);
        return;
    }
    const auto known = state.table.entries.find(record.address);
    const bool sameDomain = record.failureDomain == state.self.failureDomain;
    const bool heardLately = known != state.table.entries.end() && known->second.heardAt && now < *known->second.heardAt + options.suspicionTime;
    if (!merge(state.table, record, now)) {
        return;
    }
    actions.emplace_back(MemberChanged { .record = record });
    const bool isJudged = record.status == MemberStatus::Suspect || record.status == MemberStatus::Dead;
    if (isJudged && sameDomain && heardLately) {
        sendMessage(state, options, record.address, Ping { .sequence = ++state.sequence }, now, actions); // so that it refutes
    }
}

void takeHeader(MembershipState& state, const MembershipOptions& options, const MembershipMessage& message, MonotonicTime now,
    std::vector<MembershipAction>& actions)
{
    if (isUnawareOfFormer(state, message.sender)) {
        // The ping carries the former process's record, so that the sender takes a generation above it.
        sendMessage(state, options, message.sender.address, Ping { .sequence = ++state.sequence }, now, actions);
    } else {
        takeRecord(state, options, message.sender, now, actions);
    }
    const auto entry = state.table.entries.find(message.sender.address);
    if (entry != state.table.entries.end() && entry->second.record.incarnation == message.sender.incarnation) {
        entry->second.heardAt = now;
    }
    for (const MemberRecord& record : message.rumours) {
        takeRecord(state, options, record, now, actions);
    }
    takeViews(state, options, message, now, actions);
}

} // namespace siskinspread
