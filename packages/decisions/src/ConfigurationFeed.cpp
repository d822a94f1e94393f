#include "siskinspread/ConfigurationFeed.h"

#include "RendezvousOrder.h"

#include <algorithm>

namespace siskinspread {

namespace {

    uint64_t revisionInForce(const ConfigurationFeedState& state)
    {
        return state.inForce ? state.inForce->revision : 0;
    }

    struct Stepper {
        ConfigurationFeedState& state;
        const FeedOptions& options;
        MonotonicTime now;
        std::vector<FeedAction>& actions;

        // --- adopting documents

        uint64_t heldRevision() const { return state.candidate ? state.candidate->revision : revisionInForce(state); }

        void reject(const ConfigurationDocument& document, const std::string& source) const
        {
            state.rejectedRevision = document.revision;
            state.rejectedAt = now;
            actions.emplace_back(FeedProblem {
                .code = ResultCode::InvalidConfiguration,
                .detail = "revision " + std::to_string(document.revision) + " from " + source + ": " + document.problem });
        }

        void announce() const
        {
            std::vector<std::string> others = state.members;
            std::erase(others, state.self);
            others = rendezvousOrder(state.self + std::to_string(state.seed) + std::to_string(revisionInForce(state)), std::move(others));
            others.resize(std::min<size_t>(others.size(), options.announceFanout));
            if (!others.empty()) {
                actions.emplace_back(AnnounceRevision { .hosts = std::move(others) });
            }
        }

        void enforce(const ConfigurationDocument& document) const
        {
            state.inForce = document;
            actions.emplace_back(EnforceConfiguration { .document = document });
            announce();
        }

        void offer(const ConfigurationDocument& document, const std::string& source) const
        {
            if (!document.problem.empty()) {
                reject(document, source);
                return;
            }
            if (document.revision <= heldRevision()) {
                return;
            }
            if (state.ready) {
                enforce(document);
            } else {
                state.candidate = document;
            }
        }

        // --- becoming ready

        void becomeReady() const
        {
            state.ready = true;
            const ConfigurationDocument document = *state.candidate;
            state.candidate.reset();
            enforce(document);
            actions.emplace_back(FeedReady {});
        }

        bool peersAnswered() const
        {
            const auto answered = [this](const std::string& host) { return host == state.self || state.told.contains(host); };
            const bool all = std::all_of(state.members.begin(), state.members.end(), answered)
                && std::all_of(state.relays.begin(), state.relays.end(), answered);
            return !state.told.empty() && (all || now >= *state.startedAt + options.startAskTime);
        }

        uint64_t highestTold() const
        {
            uint64_t highest = 0;
            for (const auto& [host, revision] : state.told) {
                highest = std::max(highest, revision);
            }
            return highest;
        }

        bool isAboveFloor() const
        {
            if (state.candidate->revision >= state.floorRevision) {
                return true;
            }
            if (!state.floorReported) {
                state.floorReported = true;
                actions.emplace_back(FeedProblem { .code = ResultCode::StaleRevision,
                    .detail = "this host enforced revision " + std::to_string(state.floorRevision) + " before and can only get "
                        + std::to_string(state.candidate->revision) });
            }
            return false;
        }

        void readyFromPeers() const
        {
            if (state.ready || !state.candidate || !peersAnswered() || !isAboveFloor()) {
                return;
            }
            if (state.candidate->revision >= highestTold() || now >= *state.startedAt + options.startBodyTime) {
                becomeReady();
            }
        }

        void askPeers() const
        {
            if (state.ready || now < state.nextAskAt) {
                return;
            }
            state.nextAskAt = now + options.askInterval;
            ask(state.members);
            ask(state.relays);
        }

        void ask(const std::vector<std::string>& hosts) const
        {
            for (const std::string& host : hosts) {
                if (host != state.self && !state.told.contains(host)) {
                    actions.emplace_back(AskRevision { .host = host });
                }
            }
        }

        // --- fetching from peers

        bool isWanted(uint64_t revision) const
        {
            if (revision <= heldRevision()) {
                return false;
            }
            return revision != state.rejectedRevision || now >= state.rejectedAt + options.rejectedRetry;
        }

        void fetchNext() const
        {
            if (state.fetchingFrom) {
                return;
            }
            std::erase_if(state.fetchSources, [this](const auto& source) { return !isWanted(source.second); });
            const auto best = std::max_element(state.fetchSources.begin(), state.fetchSources.end(), [this](const auto& a, const auto& b) {
                return a.second != b.second ? a.second < b.second
                                            : rendezvousWeight(state.self, a.first) < rendezvousWeight(state.self, b.first);
            });
            if (best == state.fetchSources.end()) {
                return;
            }
            state.fetchingFrom = best->first;
            state.fetchStartedAt = now;
            state.fetchSources.erase(best); // named again by its next advert
            actions.emplace_back(FetchConfiguration { .host = *state.fetchingFrom });
        }

        void remember(const std::string& host, uint64_t revision) const
        {
            uint64_t& heard = state.heardRevisions[host];
            heard = std::max(heard, revision);
            if (state.heardRevisions.size() > options.maxKnownHosts) {
                const auto oldest = std::min_element(state.heardRevisions.begin(), state.heardRevisions.end(),
                    [](const auto& a, const auto& b) { return a.second < b.second; });
                state.heardRevisions.erase(oldest);
            }
        }

        void noteAhead(const std::string& host, uint64_t revision) const
        {
            remember(host, revision);
            if (revision > heldRevision()) {
                state.fetchSources[host] = revision;
            }
        }

        // --- waiting at the store

        size_t precedence(const std::string& host) const
        {
            const auto order = watcherOrder(state.members);
            return std::find(order.begin(), order.end(), host) - order.begin();
        }

        bool contactIsFresh() const { return state.storeContactAt && now < *state.storeContactAt + options.takeoverTime; }

        /** While the store is silent a window of hosts moves through the order, so that each is tried and few call at once. */
        bool isInWindow() const
        {
            const auto silence = now - state.storeContactAt.value_or(*state.startedAt);
            const auto turn = static_cast<uint64_t>(silence / options.takeoverTime);
            const size_t own = precedence(state.self);
            for (uint64_t back = 0; back < options.concurrentWatchers && back <= turn; ++back) {
                if ((turn - back) % state.members.size() == own) {
                    return true;
                }
            }
            return false;
        }

        bool isWatcher() const
        {
            if (state.members.empty()) {
                return true;
            }
            return contactIsFresh() ? state.storeContactHost == state.self : isInWindow();
        }

        void watch() const
        {
            const bool startRead = !state.ready;
            if (state.storeCallOpen || now < state.nextStoreCallAt || (!startRead && !isWatcher())) {
                return;
            }
            state.storeCallOpen = true;
            actions.emplace_back(WatchStore {
                .knownRevision = revisionInForce(state),
                .waitTime = startRead ? std::chrono::milliseconds { 0 } : options.watchTime });
        }

        void noteStoreContact() const
        {
            state.storeCallOpen = false;
            state.storeRetryDelay = std::chrono::milliseconds { 0 };
            state.nextStoreCallAt = now;
            if (!state.ready && contactIsFresh()) {
                return; // the read of a starting host leaves the watch with its holder
            }
            state.storeContactAt = now;
            state.storeContactHost = state.self;
        }

        /** Of several hosts that reach the store the first in order goes on; a stale contact gives way to a later one. */
        void mergeStoreContact(const RevisionAdvert& advert) const
        {
            if (!advert.storeContactAge || advert.storeContactHost == state.self) {
                return;
            }
            const MonotonicTime contactAt = now - *advert.storeContactAge;
            const bool isLater = !state.storeContactAt || contactAt > *state.storeContactAt;
            const bool isFresh = *advert.storeContactAge < options.takeoverTime;
            const bool precedes = isFresh && precedence(advert.storeContactHost) < precedence(state.storeContactHost);
            const bool follows = advert.storeContactHost == state.storeContactHost || !contactIsFresh();
            if (precedes || (follows && isLater)) {
                state.storeContactAt = contactAt;
                state.storeContactHost = advert.storeContactHost;
            }
        }

        // --- events

        void operator()(const RevisionHeard& heard) const
        {
            noteAhead(heard.host, heard.advert.revision);
            if (heard.sameDomain) {
                mergeStoreContact(heard.advert);
            }
        }

        void operator()(const FeedMembersChanged& changed) const
        {
            state.members = changed.hosts;
            state.relays = changed.relays;
        }

        void operator()(const StoreAnswered& answer) const
        {
            noteStoreContact();
            offer(answer.document, "the store");
            if (!answer.document.problem.empty()) {
                state.nextStoreCallAt = now + options.watchTime; // a watch would return the same at once
                return;
            }
            if (answer.document.revision < heldRevision()) {
                actions.emplace_back(FeedProblem { .code = ResultCode::StaleRevision,
                    .detail = "the store holds revision " + std::to_string(answer.document.revision) + ", below " + std::to_string(heldRevision()) });
                state.nextStoreCallAt = now + options.watchTime;
                return;
            }
            // Whatever any host enforced came out of the store, so its answer is at least as high.
            if (!state.ready && state.candidate && state.candidate->revision >= state.floorRevision) {
                becomeReady();
            } else if (!state.ready) {
                state.nextStoreCallAt = now + options.retryInterval; // nothing has been published yet
            }
        }

        void operator()(const StoreUnchanged&) const { noteStoreContact(); }

        void operator()(const StoreCallFailed&) const
        {
            state.storeCallOpen = false;
            state.storeRetryDelay = std::clamp(state.storeRetryDelay * 2, options.retryInterval, options.maxRetryInterval);
            // Up to a quarter is taken off by hash, so that hosts do not return together.
            const auto spread = rendezvousWeight(state.self, std::to_string(now.time_since_epoch().count()) + std::to_string(state.seed)) % 256;
            state.nextStoreCallAt = now + state.storeRetryDelay - state.storeRetryDelay * spread / 1024;
        }

        void operator()(const ConfigurationFetched& fetched) const
        {
            if (state.fetchingFrom == fetched.host) {
                state.fetchingFrom.reset();
            }
            offer(fetched.document, fetched.host);
        }

        void operator()(const FetchFailed& failed) const
        {
            if (state.fetchingFrom == failed.host) {
                state.fetchingFrom.reset();
            }
        }

        void operator()(const RevisionTold& told) const
        {
            state.told[told.host] = told.inForce;
            state.floorRevision = std::max(state.floorRevision, told.heardFromAsker);
            noteAhead(told.host, told.inForce);
        }

        void operator()(const FeedTick&) const
        {
            if (state.fetchingFrom && now >= state.fetchStartedAt + options.fetchTimeout) {
                state.fetchingFrom.reset();
            }
            watch();
            askPeers();
        }
    };

} // namespace

void step(ConfigurationFeedState& state, const FeedOptions& options, const FeedEvent& event, MonotonicTime now, std::vector<FeedAction>& actions)
{
    if (!state.startedAt) {
        state.startedAt = now;
    }
    const Stepper stepper { state, options, now, actions };
    std::visit(stepper, event);
    stepper.fetchNext();
    stepper.readyFromPeers();
}

RevisionAdvert makeAdvert(const ConfigurationFeedState& state, MonotonicTime now)
{
    RevisionAdvert advert { .revision = revisionInForce(state), .storeContactAge = std::nullopt, .storeContactHost = state.storeContactHost };
    if (state.storeContactAt) {
        advert.storeContactAge = std::chrono::duration_cast<std::chrono::milliseconds>(now - *state.storeContactAt);
    }
    return advert;
}

std::optional<RevisionTold> answerAskRevision(const ConfigurationFeedState& state, const std::string& asker)
{
    if (!state.ready) {
        return std::nullopt;
    }
    const auto heard = state.heardRevisions.find(asker);
    return RevisionTold {
        .host = state.self,
        .inForce = revisionInForce(state),
        .heardFromAsker = heard == state.heardRevisions.end() ? 0 : heard->second
    };
}

std::vector<std::string> watcherOrder(std::vector<std::string> members)
{
    return rendezvousOrder("configuration watcher", std::move(members));
}

void stepLastMessage(LastMessageFeedState& state, const ConfigurationDocument& document)
{
    if (document.problem.empty()) {
        state.inForce = document;
    }
}

} // namespace siskinspread
