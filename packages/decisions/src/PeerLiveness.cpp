#include "siskinspread/PeerLiveness.h"

#include <algorithm>

namespace siskinspread {

namespace {

    struct Reviewer {
        PeerLivenessState& state;
        const PeerLivenessOptions& options;
        const MembershipState& membership;
        const MembershipOptions& membershipOptions;
        MonotonicTime now;
        bool mayJudge { false };
        PeerVerdicts verdicts;
        std::map<IncarnationId, SilentPeer> silent;
        std::set<IncarnationId> expected;

        bool isReachable(const std::string& failureDomain) const { return isDomainReachable(membership, membershipOptions, failureDomain, now); }

        // --- the judge itself

        // A process that was paused heard nobody meanwhile: that time is nobody's silence.
        void excuseOwnPause() const
        {
            const auto gap = state.lastReviewAt ? now - *state.lastReviewAt : MonotonicTime::duration::zero();
            state.lastReviewAt = now;
            if (gap <= options.pauseThreshold) {
                return;
            }
            for (auto& [incarnation, since] : state.absent) {
                since += gap;
            }
            for (auto& [incarnation, peer] : state.silent) {
                peer.since += gap;
            }
        }

        /** Neither the own messages nor the answers may arrive: the silence of the others tells nothing. */
        bool isIsolated() const
        {
            const auto others = std::count_if(membership.table.entries.begin(), membership.table.entries.end(),
                [](const auto& item) { return item.second.record.status != MemberStatus::Left; });
            constexpr auto fewestToTell = 2; // with one other host its death and the own isolation look the same
            const bool isAnswered = membership.answeredAt && now < *membership.answeredAt + options.isolationTime;
            return others >= fewestToTell && !isAnswered;
        }

        // --- processes that membership knows

        void noteReplacements() const
        {
            for (const auto& item : membership.table.entries) {
                const MemberRecord& record = item.second.record;
                auto& seen = state.generations[record.address];
                uint32_t& own = seen[{ record.incarnation }];
                own = std::max(own, record.generation);
                std::erase_if(seen, [&](const auto& process) {
                    const bool isReplaced = process.second < record.generation && process.first.text != record.incarnation;
                    if (isReplaced) {
                        state.gone.insert(process.first);
                    }
                    return isReplaced;
                });
            }
        }

        void judgeMember(const MemberEntry& entry)
        {
            const MemberRecord& record = entry.record;
            const ExpectedPeer peer { .incarnation = { record.incarnation }, .host = record.host, .failureDomain = record.failureDomain };
            if (record.status == MemberStatus::Dead) {
                judgeDead(entry, peer);
            } else if (record.status == MemberStatus::Left) {
                endIf(now >= entry.since + options.leaveTime, peer);
            } else if (!isReachable(record.failureDomain)) {
                doubt(peer);
            } else if (record.status == MemberStatus::Alive && !isEnded(peer.incarnation)) {
                verdicts.live.push_back({ .incarnation = peer.incarnation, .failureDomain = peer.failureDomain });
            }
        }

        /** Another domain's word stands whatever this host hears; its own domain's may be this host's own error. */
        void judgeDead(const MemberEntry& entry, const ExpectedPeer& peer)
        {
            const bool heardLately = entry.heardAt && now < *entry.heardAt + options.refutationTime;
            if (heardLately && now < entry.since + options.refutationTime) {
                return;
            }
            if (mayJudge || peer.failureDomain != membership.self.failureDomain) {
                endIf(true, peer);
            } else {
                doubt(peer);
            }
        }

        // --- incarnations known from the slice map only

        bool hasOtherProcess(const ExpectedPeer& peer) const
        {
            return std::any_of(membership.table.entries.begin(), membership.table.entries.end(), [&](const auto& item) {
                const MemberRecord& record = item.second.record;
                return record.host == peer.host && record.incarnation != peer.incarnation.text && isPresent(record.status);
            });
        }

        bool isKnown(const IncarnationId& incarnation) const
        {
            return std::any_of(membership.table.entries.begin(), membership.table.entries.end(),
                [&](const auto& item) { return item.second.record.incarnation == incarnation.text; });
        }

        void judgeAbsent(const ExpectedPeer& peer)
        {
            if (peer.host == membership.self.host) {
                endIf(peer.incarnation.text != membership.self.incarnation, peer);
                return;
            }
            if (isKnown(peer.incarnation)) {
                state.absent.erase(peer.incarnation);
                return;
            }
            const bool isOutOfReach = !peer.failureDomain.empty() && !isReachable(peer.failureDomain);
            if (isOutOfReach || !mayJudge) {
                state.absent.erase(peer.incarnation);
                doubt(peer);
                return;
            }
            const MonotonicTime since = state.absent.emplace(peer.incarnation, now).first->second;
            endIf(now >= since + (hasOtherProcess(peer) ? options.replacementTime : options.expectTime), peer);
        }

        // --- verdicts

        bool isEnded(const IncarnationId& incarnation) const { return state.gone.contains(incarnation) || state.goodbyes.contains(incarnation); }

        void endIf(bool condition, const ExpectedPeer& peer)
        {
            if (condition) {
                verdicts.ended.insert(peer.incarnation);
            }
        }

        void doubt(const ExpectedPeer& peer)
        {
            if (isEnded(peer.incarnation)) {
                return;
            }
            const auto known = state.silent.find(peer.incarnation);
            const MonotonicTime since = known == state.silent.end() ? now : known->second.since;
            silent.insert_or_assign(peer.incarnation, SilentPeer { .host = peer.host, .since = since });
            if (!options.asksPlatform) {
                endIf(now >= since + options.silenceTime, peer);
            } else if (expected.contains(peer.incarnation)) {
                verdicts.inDoubt.insert(peer.host);
            }
        }

        void run(const std::vector<ExpectedPeer>& expectedPeers)
        {
            for (const ExpectedPeer& peer : expectedPeers) {
                expected.insert(peer.incarnation);
            }
            excuseOwnPause();
            mayJudge = !isIsolated();
            noteReplacements();
            verdicts.live.push_back({ .incarnation = { membership.self.incarnation }, .failureDomain = membership.self.failureDomain });
            for (const auto& [address, entry] : membership.table.entries) {
                judgeMember(entry);
            }
            for (const ExpectedPeer& peer : expectedPeers) {
                judgeAbsent(peer);
            }
            state.silent = std::move(silent);
            verdicts.ended.insert(state.gone.begin(), state.gone.end());
            verdicts.ended.insert(state.goodbyes.begin(), state.goodbyes.end());
        }
    };

} // namespace

PeerVerdicts reviewPeers(PeerLivenessState& state, const PeerLivenessOptions& options, const MembershipState& membership,
    const MembershipOptions& membershipOptions, const std::vector<ExpectedPeer>& expected, MonotonicTime now)
{
    Reviewer reviewer { .state = state, .options = options, .membership = membership, .membershipOptions = membershipOptions, .now = now, .verdicts = {}, .silent = {}, .expected = {} };
    reviewer.run(expected);
    return std::move(reviewer.verdicts);
}

void takeGoodbye(PeerLivenessState& state, const IncarnationId& incarnation)
{
    state.goodbyes.insert(incarnation);
}

void takeHostEnded(PeerLivenessState& state, const std::string& host)
{
    for (const auto& [incarnation, peer] : state.silent) {
        if (peer.host == host) {
            state.gone.insert(incarnation);
        }
    }
}

} // namespace siskinspread
