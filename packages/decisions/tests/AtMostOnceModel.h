#pragma once

#include "siskinspread/Accounts.h"
#include "siskinspread/AtMostOnceNaive.h"
#include "siskinspread/CopyHolder.h"

#include <functional>
#include <list>
#include <set>

/**
 * @file Several hosts with all decisions of at-most-once, a store, and a backend server, joined by messages that are
 * delivered in any order, late, twice or not at all. Time is virtual; every choice comes from the steps.
 */

namespace siskinspread {

/** One fault or input, decoded from a random number. Zero does nothing, so that shrinking removes steps. */
struct ModelStep {
    uint32_t operation { 0 };
    uint32_t first { 0 };
    uint32_t second { 0 };
};

/** What the cases reached; the test asserts that none of it stayed untried. */
struct ModelCoverage {
    size_t ran { 0 };
    size_t replayed { 0 };
    size_t unknown { 0 };
    size_t notRun { 0 };
    size_t takenOver { 0 };
    size_t durableByCopy { 0 };
    size_t sealedWithCopies { 0 };
    size_t historyLost { 0 };
    size_t logLostAlive { 0 };
    size_t ranAfterLogClosed { 0 };
    size_t finalLookups { 0 };
    size_t finalKeyLookups { 0 };
    size_t attemptsUnknown { 0 }; /**< Final accounts of requests that ran and whose outcome is not on record. */
    size_t ownerAndHolderLost { 0 }; /**< Both ended at once while no host reached the store, with an open intent that only they had. */
    size_t domainLost { 0 }; /**< The same, by the end of their whole failure domain. */
    size_t domainAnnounced { 0 }; /**< As domainLost, after its hosts had handed over the copies that they held. */
    size_t sealedFromAdopted { 0 }; /**< A seal that the lost holder's heir answered, with entries. */
    size_t ranBeforeLoss { 0 }; /**< Such an intent whose request had run. */
    size_t triedAfterLoss { 0 }; /**< A later try of such a key that an owner of its slice answered. */
    size_t accountsAfterLoss { 0 }; /**< A final account of the request that held such a key. */
    size_t triedDuringTakeover { 0 };
    size_t replaysAccounted { 0 }; /**< Final accounts by the id of a try that was told "ran" from the record of another. */
    size_t supersededAnswers { 0 }; /**< An answer of an attempt that is not the current one, late or doubled. */
};

class AtMostOnceModel {
    friend class AtMostOnceTrace;

public:
    AtMostOnceModel(bool naive, ModelCoverage& coverage);

    void apply(const ModelStep& step);

    /** Ends all faults, lets everything finish, closes every log and checks the accounts. */
    void finish();

    /** Each begins with the letter of the invariant: a run twice, b wrong "not run", c accounts contradict, d no account, e no retry time. */
    std::vector<std::string> violations;

private:
    struct Node {
        size_t host { 0 };
        bool alive { true };
        bool paused { false };
        IncarnationLogState log;
        AtMostOnceState owner;
        NaiveAtMostOnceState naive;
        CopyHolderState holder;
        uint64_t sequence { 0 };
        uint64_t token { 0 };
        std::map<uint64_t, std::pair<RequestId, bool>> tokens; /**< Request, and whether the entry is an intent. */
        std::map<IncarnationId, LogClosingState> closings;
        std::set<size_t> suspected; /**< Hosts that this one holds to be dead; for the naive owner. */
        std::set<uint32_t> taking;
    };
    using Ref = std::list<Node>::iterator;

    enum class Channel : uint8_t { Store,
        Backend,
        Peer };

    /** On its way; `effect` happens at the far end, `failed` is what the sender learns when it gets no answer. */
    struct Message {
        Ref sender;
        Ref receiver; /**< Of a peer message and of an answer. */
        Channel channel { Channel::Peer };
        bool answer { false };
        std::function<void()> effect;
        std::function<void()> failed;
    };

    struct Told {
        std::optional<AnswerRequest> answer;
        std::optional<AccountAnswer> account;
        IdempotencyKey key;
        bool ran { false };
        std::string ranAt;
        uint32_t dispatched { 0 };
        bool triedDuringTakeover { false };
    };

    Ref start(size_t host);
    Ref nodeOf(size_t host) { return m_hosts[host % m_hosts.size()]; }
    ClockReading now() const { return { .monotonic = MonotonicTime { m_now }, .wall = WallTime { m_now } }; }
    void violate(const std::string& text) { violations.push_back(text); }

    void deliver(size_t index);
    void lose(size_t index, bool stillUnderWay);
    bool isCut(const Message& message) const;
    void toStore(Ref node, std::function<std::function<void()>()> effect, const std::function<void()>& failed);
    void toPeer(Ref from, Ref to, std::function<void()> effect, std::function<void()> failed = {});

    Ref firstOr(Ref otherwise, const std::function<bool(const Node&)>& condition) const;
    uint32_t abandonedSlice(uint32_t choice);
    void request(Ref node, uint32_t keyNumber, bool otherBody);
    void requestAtOwner(uint32_t keyNumber, uint32_t slice);
    void requestDuringTakeover(uint32_t keyNumber);
    void repeatMessage(size_t index);
    void setStoreAway(bool away);
    void endOwnerAndHolder(uint32_t slice);
    void endFailureDomain(uint32_t slice);
    void endAnnouncedDomain(uint32_t slice);
    void handOverCopies(Ref node, Ref heir);
    std::optional<std::vector<LogRecord>> adoptedCopies(Ref asker, const SealCopies& action);
    void endTogether(const std::set<size_t>& hosts, uint32_t slice, size_t& counter);
    void requestLostKey(size_t index);
    void tryLostKeys();
    void noteLoss(Ref owner, size_t& counter);
    bool isInLog(const RequestId& request) const;
    bool isRecordLost(const RequestId& request) const;
    void noteSuperseded(Ref node, const AtMostOnceEvent& event);
    void noteTold(const Told& about, const AnswerRequest& answer);
    void restart(Ref node, uint32_t choice);
    bool needsHolder(const Node& node);
    void chooseHolder(Ref node, uint32_t choice);
    void ownerEvent(Ref node, const AtMostOnceEvent& event);
    void logEvent(Ref node, const IncarnationLogEvent& event);
    void closingEvent(Ref node, const IncarnationId& incarnation, const LogClosingEvent& event);
    void append(Ref node, const RequestId& request, bool intent, const LogEntry& entry);
    void perform(Ref node, const IncarnationLogAction& action);
    void perform(Ref node, const AtMostOnceAction& action);
    void perform(Ref node, const IncarnationId& incarnation, const LogClosingAction& action);
    void dispatch(Ref node, const DispatchRequest& action);
    void told(const AnswerRequest& answer);
    void sendCopies(Ref node, const SendCopies& copies);
    void seal(Ref node, const SealCopies& action);
    void tick(std::chrono::milliseconds by);

    void takeSlice(Ref node, uint32_t slice);
    void mapRead(Ref node, uint32_t slice, const SliceMap& map, uint64_t version);
    bool historyLoaded(Ref node, const IncarnationId& incarnation);
    void lookUp(const RequestId& request);
    void lookUpKey(const IdempotencyKey& key);
    AccountAnswer accountOf(const AccountQuery& query, const std::vector<IncarnationId>& candidates);
    AccountLookupEvent askIncarnation(const AskIncarnation& ask);
    void checkWhereItRan(const RequestId& request, const AccountAnswer& answer);
    std::optional<RequestId> accountIdOf(const RequestId& request) const;
    void drain();
    void checkLogs();

    Ref find(const IncarnationId& id);

    AtMostOnceOptions m_options { .slices = { .sliceCount = 2 } };
    IncarnationLogOptions m_logOptions;
    std::chrono::milliseconds m_now { std::chrono::hours { 1 } };
    bool m_naive;
    ModelCoverage& m_coverage;
    std::list<Node> m_nodes;
    std::vector<Ref> m_hosts;
    std::vector<Message> m_messages;
    std::set<size_t> m_storeCut;
    std::set<std::pair<size_t, size_t>> m_peerCut;
    std::map<std::pair<IncarnationId, uint64_t>, LogBatch> m_batches;
    std::map<IncarnationId, SealedCopy> m_sealed;
    SliceMap m_map;
    uint64_t m_mapVersion { 0 };
    std::map<IdempotencyKey, RequestId> m_effects;
    std::map<IdempotencyKey, size_t> m_runs;
    std::map<RequestId, Told> m_told;
    std::set<RequestId> m_copied; /**< Requests with an entry that was durable by copy: lost with owner and holder together. */
    std::map<IdempotencyKey, RequestId> m_lost; /**< Requests whose intent only the lost owner and copy holder had. */
    uint32_t m_choice { 0 };
};

} // namespace siskinspread
