#pragma once

#include "siskinspread/BootClock.h"
#include "siskinspread/HostLog.h"
#include "siskinspread/PlatformAdapter.h"
#include "siskinspread/StoreCalls.h"

#include <asio.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace siskinspread {

/** How a feed reads its collection. */
struct StoreFeedOptions {
    StoreCollection collection { StoreCollection::Configuration };
    std::string_view purpose;
    /** A watch without changes is answered after this; an answer also shows that nothing has changed meanwhile. */
    std::chrono::milliseconds watchWait { 1000 };
    std::chrono::milliseconds retryDelay { 150 }; /**< After a call that failed; doubled up to longestRetryDelay. */
    std::chrono::milliseconds longestRetryDelay { 600 };
};

/** What a feed tells its owner. All on the loop thread. */
struct StoreFeedHandlers {
    /** The whole collection. @param recovering the store had been out of reach, so that entries may be missing that will come back. */
    std::function<void(std::vector<StoreDocument>&&, bool recovering)> onList;
    std::function<void(StoreChange&&, bool recovering)> onChange;
    /** The store was asked at this instant and has told everything up to it. */
    std::function<void(BootTime askedAt)> onCurrent;
    std::function<void(bool reachable, std::string_view why)> onReachable;
};

/** Follows a collection of the store: lists it, then watches; lists again when the history is gone or a call failed. Loop thread only. */
class StoreFeed {
public:
    StoreFeed(asio::io_context&, StoreCalls&, const PlatformAdapter&, StoreFeedOptions, StoreFeedHandlers);

    void start();
    bool isReachable() const { return m_reachable; }

private:
    void list(std::string_view after);
    void onListed(const TransferEnded&, BootTime askedAt);
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
    std::vector<StoreDocument> m_documents; /**< Pages of a list that is not complete yet. */
    std::optional<uint64_t> m_asOf;
    std::chrono::milliseconds m_delay { 0 };
    bool m_reachable { false };
    std::optional<MonotonicTime> m_lostAt;
};

} // namespace siskinspread
