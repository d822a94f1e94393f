#include "siskinspread/StoreFeed.h"

namespace siskinspread {

namespace {

    // Entries run out only in an absence of the store that is longer than this; a watch that was cut is none.
    constexpr std::chrono::milliseconds shortestAbsence { 1000 };

} // namespace

StoreFeed::StoreFeed(asio::io_context& context, StoreCalls& calls, const PlatformAdapter& adapter, StoreFeedOptions options, StoreFeedHandlers handlers)
    : m_calls(calls)
    , m_adapter(adapter)
    , m_options(options)
    , m_handlers(std::move(handlers))
    , m_timer(context)
{
}

void StoreFeed::start()
{
    list({});
}

void StoreFeed::list(std::string_view after)
{
    if (after.empty()) {
        m_documents.clear();
    }
    const auto askedAt = BootClock::now();
    m_calls.start(m_options.purpose, m_adapter.listDocuments(m_options.collection, after), [this, askedAt](const TransferEnded& ended) { onListed(ended, askedAt); });
}

void StoreFeed::onListed(const TransferEnded& ended, BootTime askedAt)
{
    LastReason reason;
    auto page = m_adapter.storeAnswer(ended, false) == StoreAnswer::Done ? m_adapter.decodePage(ended, reason) : std::nullopt;
    if (!page) {
        fail(reason.detail.empty() ? ended.detail : reason.detail, true);
        return;
    }
    std::move(page->documents.begin(), page->documents.end(), std::back_inserter(m_documents));
    if (page->truncated && !m_documents.empty()) {
        list(m_documents.back().name);
        return;
    }
    const bool recovering = succeed();
    m_asOf = page->asOf;
    auto documents = std::move(m_documents);
    m_documents = {};
    m_handlers.onList(std::move(documents), recovering);
    m_handlers.onCurrent(askedAt);
    watch();
}

void StoreFeed::watch()
{
    const auto askedAt = BootClock::now();
    m_calls.start(m_options.purpose, m_adapter.watchDocuments(m_options.collection, *m_asOf, m_options.watchWait), [this, askedAt](const TransferEnded& ended) { onWatched(ended, askedAt); });
}

void StoreFeed::onWatched(const TransferEnded& ended, BootTime askedAt)
{
    const auto answer = m_adapter.storeAnswer(ended, false);
    LastReason reason;
    auto changes = answer == StoreAnswer::Done ? m_adapter.decodeChanges(ended, reason) : std::nullopt;
    if (answer == StoreAnswer::HistoryGone) {
        list({});
        return;
    }
    if (!changes) {
        fail(reason.detail.empty() ? ended.detail : reason.detail, !reason.detail.empty());
        return;
    }
    const bool recovering = succeed();
    m_asOf = std::max(*m_asOf, changes->asOf);
    for (auto& change : changes->changes) {
        m_handlers.onChange(std::move(change), recovering);
    }
    m_handlers.onCurrent(askedAt);
    watch();
}

bool StoreFeed::succeed()
{
    m_delay = std::chrono::milliseconds { 0 };
    if (m_reachable) {
        return false;
    }
    m_reachable = true;
    const bool recovering = m_lostAt && std::chrono::steady_clock::now() - *m_lostAt >= shortestAbsence;
    m_lostAt.reset();
    m_handlers.onReachable(true, {});
    return recovering;
}

void StoreFeed::fail(std::string_view why, bool listAgain)
{
    if (m_reachable) {
        m_reachable = false;
        m_lostAt = std::chrono::steady_clock::now();
        m_handlers.onReachable(false, why);
    }
    if (listAgain) {
        m_asOf.reset();
    }
    m_delay = std::min(m_options.longestRetryDelay, std::max(m_options.retryDelay, m_delay * 2));
    m_timer.expires_after(m_delay);
    m_timer.async_wait([this](const asio::error_code& cancelled) {
        if (!cancelled) {
            retry();
        }
    });
}

void StoreFeed::retry()
{
    if (m_asOf) {
        watch();
    } else {
        list({});
    }
}

} // namespace siskinspread
