#pragma once

#include "siskinspread/ResultCode.h"
#include "siskinspread/Time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace siskinspread {

/** A configuration as received; the adapter has decoded and checked it. */
struct ConfigurationDocument {
    uint64_t revision { 0 };
    std::string body; /**< The object's bytes, passed on unchanged. */
    std::string problem; /**< Empty when the configuration is valid. */
};

/** What every message between hosts says about the configuration: a few dozen bytes. */
struct RevisionAdvert {
    uint64_t revision { 0 }; /**< In force at the sender. */
    /** How long ago the sender's failure domain last had an answer from the store; empty when it never had. */
    std::optional<std::chrono::milliseconds> storeContactAge;
    std::string storeContactHost; /**< The host of the domain that had it. */
};

/** Another host's advert arrived with some message. */
struct RevisionHeard {
    std::string host;
    bool sameDomain { true };
    RevisionAdvert advert;
};
struct FeedMembersChanged {
    std::vector<std::string> hosts; /**< Live members of the own failure domain, the own host included; ordered by name. */
    std::vector<std::string> relays; /**< A few hosts of other domains that a starting host asks as well. */
};
/** The store answered a read or a watch with the object as it is; an absent object is revision zero. */
struct StoreAnswered {
    ConfigurationDocument document;
};
/** A watch ended after its time without a change, which shows that the store is reachable. */
struct StoreUnchanged { };
struct StoreCallFailed { };
/** Answer to FetchConfiguration. */
struct ConfigurationFetched {
    std::string host;
    ConfigurationDocument document;
};
struct FetchFailed {
    std::string host;
};
/**
 * Answer to AskRevision: the peer's advert, and the highest revision that the peer ever heard in force at this host's
 * name. A peer that is itself starting does not answer.
 */
struct RevisionTold {
    std::string host;
    uint64_t inForce { 0 };
    uint64_t heardFromAsker { 0 };
};
/** Time passed; to be sent several times a second. */
struct FeedTick { };

using FeedEvent = std::variant<RevisionHeard, FeedMembersChanged, StoreAnswered, StoreUnchanged, StoreCallFailed, ConfigurationFetched, FetchFailed,
    RevisionTold, FeedTick>;

/** Wait at the store for an object newer than `knownRevision`, for FeedOptions::watchTime; zero time: read at once. */
struct WatchStore {
    uint64_t knownRevision { 0 };
    std::chrono::milliseconds waitTime { 0 };
};
/** Fetch the body in force at a peer. */
struct FetchConfiguration {
    std::string host;
};
/** Ask a peer for RevisionTold. */
struct AskRevision {
    std::string host;
};
/** Send the advert to these hosts now rather than with the next message. */
struct AnnounceRevision {
    std::vector<std::string> hosts;
};
/** Enforce this configuration from now on. */
struct EnforceConfiguration {
    ConfigurationDocument document;
};
/** This host holds a configuration that it may serve under. */
struct FeedReady { };
/** To be counted and logged. */
struct FeedProblem {
    ResultCode code { ResultCode::InvalidConfiguration };
    std::string detail;
};

using FeedAction = std::variant<WatchStore, FetchConfiguration, AskRevision, AnnounceRevision, EnforceConfiguration, FeedReady, FeedProblem>;

struct FeedOptions {
    std::chrono::milliseconds watchTime { 3'000 }; /**< Longest wait of one watch; the adapter gives up a second later. */
    std::chrono::milliseconds takeoverTime { 8'000 }; /**< Without news from the store for this long the next host starts to watch; above watchTime and the spread of an advert. */
    uint32_t concurrentWatchers { 3 }; /**< Bounds the calls of one domain while the store is away. */
    std::chrono::milliseconds retryInterval { 1'000 }; /**< After a failed store call, doubled up to maxRetryInterval. */
    std::chrono::milliseconds maxRetryInterval { 8'000 };
    std::chrono::milliseconds fetchTimeout { 2'000 };
    std::chrono::milliseconds rejectedRetry { 60'000 }; /**< Before an invalid revision is fetched again from a peer. */
    std::chrono::milliseconds startAskTime { 3'000 }; /**< How long a starting host waits for all of its peers; then one must do. */
    std::chrono::milliseconds startBodyTime { 10'000 }; /**< How long it waits for a higher revision that a peer told of. */
    std::chrono::milliseconds askInterval { 1'000 }; /**< Between questions to a peer that has not answered. */
    uint32_t announceFanout { 3 };
    size_t maxKnownHosts { 1'024 }; /**< Hosts of which the highest revision is remembered. */
};

/** One host's view; `self` and `seed` are set at start, the rest is kept by step. */
struct ConfigurationFeedState {
    std::string self;
    uint64_t seed { 0 }; /**< Spreads announcements and retries; differs between hosts. */

    std::optional<ConfigurationDocument> inForce;
    bool ready { false };
    std::vector<std::string> members;
    std::vector<std::string> relays;
    std::map<std::string, uint64_t> heardRevisions; /**< Highest revision heard from each host, this domain and others. */

    std::optional<MonotonicTime> storeContactAt; /**< Of anyone in the domain. */
    std::string storeContactHost;
    bool storeCallOpen { false };
    MonotonicTime nextStoreCallAt;
    std::chrono::milliseconds storeRetryDelay { 0 };

    std::optional<std::string> fetchingFrom;
    MonotonicTime fetchStartedAt;
    std::map<std::string, uint64_t> fetchSources; /**< Hosts that are ahead, with their revisions. */
    uint64_t rejectedRevision { 0 }; /**< The latest one that was found invalid. */
    MonotonicTime rejectedAt;

    std::optional<MonotonicTime> startedAt; /**< Of the first event. */
    MonotonicTime nextAskAt;
    std::map<std::string, uint64_t> told; /**< Peers that answered, with the revision in force there. */
    uint64_t floorRevision { 0 }; /**< A former incarnation of this host is known to have enforced it. */
    bool floorReported { false };
    std::optional<ConfigurationDocument> candidate; /**< The best known before the host is ready. */
};

/**
 * Keeps the highest revision ever seen in force, across the store, peers and restarts.
 *
 * One host of each failure domain waits at the store; the next takes over when the domain hears nothing from the store.
 * Every message carries a RevisionAdvert, and a host that is behind fetches the body from a sender that is ahead, so
 * that a change spreads like an epidemic (A. Demers et al.: Epidemic algorithms for replicated database maintenance,
 * PODC 1987). A starting host is ready after a read of the store, or, while the store is away, after its peers answered
 * and it holds at least the revision that any of them heard from its former incarnations.
 *
 * Preconditions: documents of one revision are equal (the store's conditional updates see to it); each WatchStore is
 * answered by one event. Thread safety: safe while no other thread uses `state`.
 */
void step(ConfigurationFeedState& state, const FeedOptions& options, const FeedEvent& event, MonotonicTime now, std::vector<FeedAction>& actions);

/** @return what to put into each message to another host. Thread safety: const. */
RevisionAdvert makeAdvert(const ConfigurationFeedState& state, MonotonicTime now);

/**
 * @return the answer to a peer's AskRevision, or nothing while this host is not ready. Thread safety: const.
 */
std::optional<RevisionTold> answerAskRevision(const ConfigurationFeedState& state, const std::string& asker);

/**
 * The host of a domain that should wait at the store first, by rendezvous hash.
 * @param members any order, not empty.
 * @return their order of precedence. Thread safety: reentrant.
 */
std::vector<std::string> watcherOrder(std::vector<std::string> members);

/** The unsafe reference for tests: whichever document arrived last is in force. */
struct LastMessageFeedState {
    std::optional<ConfigurationDocument> inForce;
};

/** Takes over any valid document. Thread safety: safe while no other thread uses `state`. */
void stepLastMessage(LastMessageFeedState& state, const ConfigurationDocument& document);

} // namespace siskinspread
