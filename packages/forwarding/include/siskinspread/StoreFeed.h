#pragma once

#include "siskinspread/BootClock.h"
#include "siskinspread/ChangeLog.h"
#include "siskinspread/DocumentList.h"
#include "siskinspread/HostLog.h"
#include "siskinspread/PlatformAdapter.h"
#include "siskinspread/StoreCalls.h"

#include <asio.hpp>

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace siskinspread {

/** How a feed reads its collection. */
struct StoreFeedOptions {
    StoreCollection collection { StoreCollection::Configuration };
    std::string_view purpose;
    /** A watch without changes is answered after this; an answer also shows that nothing has changed meanwhile. */
    std::chrono::milliseconds watchWait { 1000 };
    /** After the first list, before the first watch: time to hear of hosts that can be followed, which spares calls when all start. */
    std::chrono::milliseconds joinPause { 0 };
    std::chrono::milliseconds changePause { 100 }; /**< After an answer with changes: those that follow come in one answer. */
    std::chrono::milliseconds retryDelay { 150 }; /**< After a call that failed; doubled up to longestRetryDelay. */
    std::chrono::milliseconds longestRetryDelay { 600 };
    std::chrono::milliseconds longestListDelay { 10000 }; /**< Between tries to complete a list; they begin with retryDelay. */
};

/** What a feed tells its owner. All on the loop thread. */
struct StoreFeedHandlers {
    /** The whole collection. @param recovering the store had been out of reach, so that entries may be missing that will come back. */
    std::function<void(std::vector<StoreDocument>&&, bool recovering)> onList;
    std::function<void(StoreChange&&, bool recovering)> onChange;
    /** The store was asked at this instant and has told everything up to it. */
    std::function<void(BootTime askedAt)> onCurrent;
    std::function<void(bool reachable, std::string_view why)> onReachable;
    /** From here on the changes come from other hosts, or from the store. */
    std::function<void(bool follows, std::string_view why)> onSource;
    /**
     * Whether the newest list was read to its end. One that was not is told by onChange, document by document: documents that it
     * does not show may exist, have changed or be gone. Called before them, after each gap in what is known; with true after the
     * onList that ends this.
     */
    std::function<void(bool complete, std::string_view why)> onComplete;
};

/** A change as a feed has read it. */
struct FeedChange {
    StoreChange change;
    bool recovering { false }; /**< Seen in the first answer after an absence of the store. */
    bool withContent { true }; /**< Otherwise the document has to be read from the store. */
};
using FeedBatch = ChangeBatch<FeedChange>;

/** What the feed of another host has read lately. */
struct FeedNews {
    std::vector<FeedBatch> batches;
    std::chrono::microseconds age { 0 }; /**< Since that host asked the store for the last of it. */
};

/**
 * Follows a collection of the store: lists it, then watches; lists again when the history is gone, a call failed or the list could
 * not be read to its end, in which case the documents that it has shown are followed meanwhile. A feed that
 * follows others takes what they have read, and asks the store only where that has gaps or grows old. Loop thread only.
 */
class StoreFeed {
public:
    StoreFeed(asio::io_context&, StoreCalls&, const PlatformAdapter&, StoreFeedOptions, StoreFeedHandlers);

    void start();
    bool isReachable() const { return m_reachable; }

    /** Whether the feeds of other hosts are followed; the store is asked by this one only where they do not suffice. */
    void follow(bool follows) { m_follows = follows; }

    /** Takes in what another host has read. */
    void applyNews(FeedNews&&);

    /** @return the time since the store was asked for the last of what this feed has read; nothing before its first list. */
    std::optional<std::chrono::microseconds> age() const;
    /** What this feed has read lately. */
    const ChangeLog<FeedChange>& log() const { return m_log; }
    /** @return the revision up to which the collection is known; nothing while it has to be listed. */
    std::optional<uint64_t> knownThrough() const { return m_asOf; }

    /** To be called every 50 ms or so. */
    void tick();

private:
    /** @return why the store has to be asked; empty: the changes that other hosts report suffice. */
    std::string_view reasonToAsk() const;
    void next();
    void nextAfter(std::chrono::milliseconds pause);
    bool applyBatch(FeedBatch&);
    void record(uint64_t from, uint64_t asOf, std::vector<FeedChange>&&);
    std::vector<FeedChange> changesByList(const std::vector<StoreDocument>&, bool recovering);
    void useWholeList(BootTime askedAt);
    void useIncompleteList(std::string_view why);
    bool isListDue() const { return m_listAgainAt && std::chrono::steady_clock::now() >= *m_listAgainAt; }
    bool isKnown(const StoreChange&) const;
    void noteKnown(const StoreChange&);
    void becomeReachable();
    void list();
    void readPage(std::string_view after, BootTime askedAt);
    void onPage(const TransferEnded&, BootTime askedAt);
    void watch();
    void onWatched(const TransferEnded&, BootTime askedAt);
    void fail(std::string_view why, bool listAgain);
    /** @return whether this is the first answer after an absence of the store. */
    bool succeed();
    void retry();

    StoreCalls& m_calls;
    const PlatformAdapter& m_adapter;
    StoreFeedOptions m_options;
    StoreFeedHandlers m_handlers;
    asio::steady_timer m_timer;
    DocumentList m_list; /**< That is being read. */
    std::optional<MonotonicTime> m_listAgainAt; /**< Set while the newest list is incomplete. */
    std::chrono::milliseconds m_listDelay { 0 };
    bool m_absenceUntold { false }; /**< Of the store, while no list has been read to its end since. */
    bool m_historyGone { false }; /**< Changes behind m_asOf are not known, until a list has been read. */
    std::optional<uint64_t> m_asOf; /**< Empty: to be listed again. */
    std::optional<uint64_t> m_listedTo; /**< Revision up to which everything is known, also while a new list is on its way. */
    std::chrono::milliseconds m_delay { 0 };
    bool m_reachable { false };
    std::optional<MonotonicTime> m_lostAt;
    std::optional<BootTime> m_askedAt; /**< Of the newest answer. */
    std::unordered_map<std::string, uint64_t> m_known; /**< Revisions by name. */
    ChangeLog<FeedChange> m_log;
    std::optional<MonotonicTime> m_newsAt;
    std::chrono::microseconds m_newsAge { 0 };
    bool m_follows { false };
    bool m_newsIncomplete { false }; /**< The newest news did not join up with what is known. */
    bool m_resting { false }; /**< The store is not asked at present. */
};

} // namespace siskinspread
