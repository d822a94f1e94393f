#include "siskinspread/Membership.h"

#include "MembershipMessages.h"
#include "RendezvousOrder.h"

#include <algorithm>

namespace siskinspread {

namespace {

    struct Stepper {
        MembershipState& state;
        const MembershipOptions& options;
        MonotonicTime now;
        std::vector<MembershipAction>& actions;

        void send(const std::string& address, MembershipBody body) const
        {
            sendMessage(state, options, address, std::move(body), now, actions);
        }

        std::string spreadKey() const { return state.self.address + "/" + std::to_string(state.seed) + "/" + std::to_string(state.round); }

        std::vector<std::string> otherMembers() const
        {
            std::vector<std::string> addresses;
            for (const MemberRecord& record : recordsOfDomain(state.table, state.self.failureDomain)) {
                if (isPresent(record.status)) {
                    addresses.push_back(record.address);
                }
            }
            return addresses;
        }

        /** Other hosts of the own domain in random order; a small domain's are followed by hosts of other domains. */
        std::vector<std::string> indirectProbers(const std::string& target) const
        {
            std::vector<std::string> helpers = rendezvousOrder(spreadKey(), otherMembers());
            std::vector<std::string> strangers;
            for (const auto& [address, entry] : state.table.entries) {
                if (entry.record.failureDomain != state.self.failureDomain && entry.record.status == MemberStatus::Alive) {
                    strangers.push_back(address);
                }
            }
            strangers = rendezvousOrder(spreadKey(), std::move(strangers));
            helpers.insert(helpers.end(), strangers.begin(), strangers.end());
            std::erase(helpers, target);
            helpers.resize(std::min<size_t>(helpers.size(), options.indirectProbes));
            return helpers;
        }

        // --- probing

        void startProbe() const
        {
            if (state.probeOrder.empty()) {
                state.probeOrder = rendezvousOrder(spreadKey(), otherMembers());
            }
            while (!state.probeOrder.empty()) {
                const std::string address = state.probeOrder.back();
                state.probeOrder.pop_back();
                const auto entry = state.table.entries.find(address);
                if (entry != state.table.entries.end() && isPresent(entry->second.record.status)) {
                    state.probe = DirectProbe { .sequence = ++state.sequence, .address = address, .sentAt = now };
                    send(address, Ping { .sequence = state.sequence });
                    return;
                }
            }
        }

        void askOthers() const
        {
            if (!state.probe || state.probe->askedOthers || now < state.probe->sentAt + options.pingTimeout) {
                return;
            }
            state.probe->askedOthers = true;
            const DirectProbe probe = *state.probe;
            for (const std::string& helper : indirectProbers(probe.address)) {
                send(helper, PingRequest { .sequence = probe.sequence, .target = probe.address });
                send(helper, Ping { .sequence = ++state.sequence }); // tells whether this host itself is heard
            }
        }

        /** A host alone in its domain has nobody to probe, and learns here whether it is heard. */
        void pingOtherDomain() const
        {
            const std::vector<std::string> addresses = indirectProbers({});
            if (otherMembers().empty() && !addresses.empty()) {
                send(addresses.front(), Ping { .sequence = ++state.sequence });
            }
        }

        void judge(const std::string& address, MemberStatus status) const
        {
            MemberRecord record = state.table.entries.at(address).record;
            record.status = status;
            takeRecord(state, options, record, now, actions);
        }

        void endProbe() const
        {
            if (!state.probe) {
                return;
            }
            const std::string address = state.probe->address;
            state.probe.reset();
            const auto entry = state.table.entries.find(address);
            if (entry != state.table.entries.end() && entry->second.record.status == MemberStatus::Alive) {
                judge(address, MemberStatus::Suspect);
            }
        }

        void endSuspicions() const
        {
            std::vector<std::string> expired;
            for (const auto& [address, entry] : state.table.entries) {
                const bool sameDomain = entry.record.failureDomain == state.self.failureDomain;
                if (sameDomain && entry.record.status == MemberStatus::Suspect && now >= entry.since + options.suspicionTime) {
                    expired.push_back(address);
                }
            }
            for (const std::string& address : expired) {
                judge(address, MemberStatus::Dead);
            }
        }

        // --- coming back together

        /** Addresses at which nobody is known to be present, of the own domain, and for a relay of all domains. */
        std::vector<std::string> absentAddresses(bool isRelay) const
        {
            std::set<std::string> addresses;
            const auto add = [&](const std::string& address, const std::string& domain) {
                const auto entry = state.table.entries.find(address);
                const bool present = entry != state.table.entries.end() && isPresent(entry->second.record.status);
                if (!present && address != state.self.address && (isRelay || domain == state.self.failureDomain)) {
                    addresses.insert(address);
                }
            };
            for (const MembershipHint& hint : state.hints) {
                add(hint.address, hint.failureDomain);
            }
            for (const auto& [address, entry] : state.table.entries) {
                add(address, entry.record.failureDomain);
            }
            return { addresses.begin(), addresses.end() };
        }

        void tryAbsent(bool isRelay) const
        {
            const bool isJoining = state.round <= options.joinPeriods;
            const bool isAlone = otherMembers().empty();
            if (!isJoining && !isAlone && state.round % options.rejoinPeriods) {
                return;
            }
            auto addresses = rendezvousOrder(spreadKey(), absentAddresses(isRelay));
            addresses.resize(std::min<size_t>(addresses.size(), isJoining ? options.joinProbes : 1));
            for (const std::string& address : addresses) {
                send(address, Ping { .sequence = ++state.sequence });
            }
        }

        void sendSummaries() const
        {
            std::set<std::string> domains;
            for (const auto& [address, entry] : state.table.entries) {
                domains.insert(entry.record.failureDomain);
            }
            domains.erase(state.self.failureDomain);
            for (const std::string& domain : domains) {
                const auto relays = relayAddresses(state, domain, options.relayCount);
                if (!relays.empty()) {
                    send(relays[state.round % relays.size()], DomainSummary {});
                }
                if (!isDomainReachable(state, options, domain, now)) {
                    sendToAny(domain);
                }
            }
        }

        /** The relays of a domain may have been replaced while it was out of reach. */
        void sendToAny(const std::string& domain) const
        {
            std::vector<std::string> addresses;
            for (const MemberRecord& record : presentMembers(state, domain)) {
                addresses.push_back(record.address);
            }
            addresses = rendezvousOrder(spreadKey(), std::move(addresses));
            if (!addresses.empty()) {
                send(addresses.front(), DomainSummary {});
            }
        }

        // --- time

        /** A process that was paused has not listened, so what it missed says nothing about the others. */
        void allowForPause() const
        {
            const auto gap = state.lastTickAt ? now - *state.lastTickAt : MonotonicTime::duration::zero();
            state.lastTickAt = now;
            if (gap <= options.pauseThreshold) {
                return;
            }
            state.probe.reset();
            for (auto& [address, entry] : state.table.entries) {
                entry.since += gap;
            }
            for (auto& [domain, heardAt] : state.domainHeardAt) {
                heardAt = std::min(heardAt + gap, now);
            }
        }

        void beginPeriod() const
        {
            endProbe();
            state.nextPeriodAt = now + options.period;
            ++state.round;
            startProbe();
            pingOtherDomain();
            const auto relays = relayAddresses(state, state.self.failureDomain, options.relayCount);
            const bool isRelay = std::find(relays.begin(), relays.end(), state.self.address) != relays.end();
            tryAbsent(isRelay);
            if (isRelay) {
                sendSummaries();
            }
            forgetDead(state.table, now - options.forgetTime);
            std::erase_if(state.requestedProbes, [this](const auto& item) { return now > item.second.sentAt + options.period; });
        }

        void operator()(const MembershipTick&) const
        {
            allowForPause();
            askOthers();
            endSuspicions();
            if (now >= state.nextPeriodAt) {
                beginPeriod();
            }
        }

        void operator()(const MembershipHints& hints) const { state.hints = hints.hints; }

        void operator()(const MembershipLeave&) const
        {
            state.self.status = MemberStatus::Left;
            auto told = rendezvousOrder(spreadKey(), otherMembers());
            told.resize(std::min<size_t>(told.size(), options.maxRumours));
            for (const std::string& address : told) {
                send(address, DomainSummary {});
            }
        }

        void operator()(const MembershipReceived& received) const
        {
            if (received.message.sender.address == state.self.address) {
                return; // from a former process at this address
            }
            takeHeader(state, options, received.message, now, actions);
            std::visit([&](const auto& body) { take(received.message.sender.address, body); }, received.message.body);
        }

        // --- messages

        void take(const std::string& sender, const Ping& ping) const { send(sender, PingAck { .sequence = ping.sequence }); }

        void take(const std::string&, const PingAck& ack) const
        {
            state.answeredAt = now;
            if (state.probe && state.probe->sequence == ack.sequence) {
                state.probe.reset();
            }
            const auto requested = state.requestedProbes.find(ack.sequence);
            if (requested != state.requestedProbes.end()) {
                send(requested->second.requester, PingAck { .sequence = requested->second.requesterSequence });
                state.requestedProbes.erase(requested);
            }
        }

        void take(const std::string& sender, const PingRequest& request) const
        {
            state.requestedProbes[++state.sequence] = { .requester = sender, .requesterSequence = request.sequence, .sentAt = now };
            send(request.target, Ping { .sequence = state.sequence });
        }

        void take(const std::string& sender, const DomainRecordsRequest& request) const
        {
            takeAll(request.records);
            send(sender, DomainRecords { .failureDomain = request.failureDomain, .records = knownRecords(state, request.failureDomain) });
        }

        void take(const std::string&, const DomainRecords& answer) const { takeAll(answer.records); }

        void take(const std::string&, const DomainSummary&) const { }

        void takeAll(const std::vector<MemberRecord>& records) const
        {
            for (const MemberRecord& record : records) {
                takeRecord(state, options, record, now, actions);
            }
        }
    };

} // namespace

MembershipOptions firstMissOptions()
{
    return { .suspicionTime = std::chrono::milliseconds { 0 }, .indirectProbes = 0 };
}

void step(MembershipState& state, const MembershipOptions& options, const MembershipEvent& event, MonotonicTime now,
    std::vector<MembershipAction>& actions)
{
    std::visit(Stepper { state, options, now, actions }, event);
}

std::vector<MemberRecord> presentMembers(const MembershipState& state, const std::string& failureDomain)
{
    std::vector<MemberRecord> records = knownRecords(state, failureDomain);
    std::erase_if(records, [](const MemberRecord& record) { return !isPresent(record.status); });
    std::sort(records.begin(), records.end(), [](const MemberRecord& a, const MemberRecord& b) { return a.address < b.address; });
    return records;
}

std::vector<std::string> relayAddresses(const MembershipState& state, const std::string& failureDomain, uint32_t count)
{
    std::vector<std::string> addresses;
    for (const MemberRecord& record : presentMembers(state, failureDomain)) {
        addresses.push_back(record.address);
    }
    addresses = rendezvousOrder("relay", std::move(addresses));
    addresses.resize(std::min<size_t>(addresses.size(), count));
    return addresses;
}

bool isDomainReachable(const MembershipState& state, const MembershipOptions& options, const std::string& failureDomain, MonotonicTime now)
{
    const auto heard = state.domainHeardAt.find(failureDomain);
    return failureDomain == state.self.failureDomain || (heard != state.domainHeardAt.end() && now < heard->second + options.domainSilence);
}

} // namespace siskinspread
