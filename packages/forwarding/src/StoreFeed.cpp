#include "siskinspread/StoreFeed.h"

#include <algorithm>
#include <utility>

namespace siskinspread {

namespace {

    // Entries run out only in an absence of the store that is longer than this; a watch that was cut is none.
    constexpr std::chrono::milliseconds shortestAbsence { 1000 };
    constexpr std::chrono::milliseconds newsSilence { 1200 }; // several messages of each of the hosts that are followed
    // A watch is answered after a second without changes and asked anew: its age reaches twice that, and a message's way is added.
    constexpr std::chrono::milliseconds newsTooOld { 2600 };

    std::string failureText(const TransferEnded& ended, const LastReason& reason)
    {
        if (!reason.detail.empty()) {
            return reason.detail;
        }
        return ended.detail.empty() ? std::string { "status " }.append(std::to_string(ended.status)) : ended.detail;
    }

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
    list();
}

void StoreFeed::list()
{
    m_list = {};
    readPage({}, BootClock::now());
}

/** @param askedAt when the first page was asked for. */
void StoreFeed::readPage(std::string_view after, BootTime askedAt)
{
    m_calls.start(m_options.purpose, m_adapter.listDocuments(m_options.collection, after), [this, askedAt](const TransferEnded& ended) { onPage(ended, askedAt); });
}

void StoreFeed::onPage(const TransferEnded& ended, BootTime askedAt)
{
    LastReason reason;
    auto page = m_adapter.storeAnswer(ended, false) == StoreAnswer::Done ? m_adapter.decodePage(ended, reason) : std::nullopt;
    if (!page) {
        const auto why = failureText(ended, reason);
        if (m_list.asOf) {
            useIncompleteList(why);
        } else {
            fail(why, m_historyGone || !m_asOf);
        }
        return;
    }
    switch (addPage(m_list, std::move(*page))) {
    case ListProgress::NextPage:
        readPage(m_list.documents.back().name, askedAt);
        break;
    case ListProgress::NotAdvancing:
        useIncompleteList("the list does not go on behind its last entry");
        break;
    case ListProgress::Complete:
        useWholeList(askedAt);
        break;
    }
}

void StoreFeed::useWholeList(BootTime askedAt)
{
    const bool recovering = succeed() || m_absenceUntold;
    m_absenceUntold = false;
    const bool isFirst = !m_listedTo;
    auto list = std::exchange(m_list, {});
    auto changes = changesByList(list.documents, recovering);
    // Without a list before this one, there is nothing that the changes would join up with.
    record(m_listedTo.value_or(*list.asOf), *list.asOf, m_listedTo ? std::move(changes) : std::vector<FeedChange> {});
    m_asOf = list.asOf;
    m_askedAt = askedAt;
    m_newsIncomplete = false;
    m_historyGone = false;
    m_listDelay = std::chrono::milliseconds { 0 };
    m_handlers.onList(std::move(list.documents), recovering);
    if (std::exchange(m_listAgainAt, std::nullopt)) {
        m_handlers.onComplete(true, {});
    }
    m_handlers.onCurrent(askedAt);
    if (isFirst && m_options.joinPause.count() > 0) {
        nextAfter(m_options.joinPause);
    } else {
        next();
    }
}

void StoreFeed::useIncompleteList(std::string_view why)
{
    const bool recovering = succeed();
    m_absenceUntold = m_absenceUntold || recovering;
    auto list = std::exchange(m_list, {});
    const bool hasGap = m_historyGone || !m_asOf;
    if (hasGap) {
        // What changed in the part that was not shown is not known: those that follow this host have to ask the store.
        record(m_listedTo.value_or(*list.asOf), *list.asOf, m_listedTo ? std::vector<FeedChange> { { .withContent = false } } : std::vector<FeedChange> {});
        m_asOf = list.asOf;
        m_historyGone = false;
    }
    m_listDelay = std::min(m_options.longestListDelay, std::max(m_options.retryDelay, m_listDelay * 2));
    m_listAgainAt = std::chrono::steady_clock::now() + m_listDelay;
    if (hasGap) {
        m_handlers.onComplete(false, why);
    }
    for (auto& document : list.documents) {
        StoreChange change { .document = std::move(document) };
        if (!hasGap && isKnown(change)) {
            continue;
        }
        noteKnown(change);
        m_handlers.onChange(std::move(change), recovering);
    }
    next();
}

void StoreFeed::watch()
{
    const auto askedAt = BootClock::now();
    // A store that was lost is asked for an answer at once: it shows that the store is back, and that this host is current.
    auto wait = m_reachable ? m_options.watchWait : std::chrono::milliseconds { 0 };
    if (m_listAgainAt) {
        const auto untilList = std::chrono::ceil<std::chrono::milliseconds>(*m_listAgainAt - std::chrono::steady_clock::now());
        wait = std::clamp(untilList, std::chrono::milliseconds { 0 }, wait);
    }
    m_calls.start(m_options.purpose, m_adapter.watchDocuments(m_options.collection, *m_asOf, wait), [this, askedAt](const TransferEnded& ended) { onWatched(ended, askedAt); });
}

void StoreFeed::onWatched(const TransferEnded& ended, BootTime askedAt)
{
    const auto answer = m_adapter.storeAnswer(ended, false);
    LastReason reason;
    auto changes = answer == StoreAnswer::Done ? m_adapter.decodeChanges(ended, reason) : std::nullopt;
    if (answer == StoreAnswer::HistoryGone) {
        m_historyGone = true;
        list();
        return;
    }
    if (!changes) {
        fail(failureText(ended, reason), !reason.detail.empty());
        return;
    }
    const bool recovering = succeed();
    m_askedAt = askedAt;
    const bool changed = !changes->changes.empty();
    // Otherwise others have told of all this, and of more, while the call was open.
    if (changes->asOf >= *m_asOf) {
        FeedBatch batch { .from = *m_asOf, .asOf = changes->asOf };
        for (auto& change : changes->changes) {
            batch.changes.push_back({ .change = std::move(change), .recovering = recovering });
        }
        applyBatch(batch);
    }
    m_newsIncomplete = false;
    m_handlers.onCurrent(askedAt);
    if (!changed) {
        next();
        return;
    }
    nextAfter(m_options.changePause);
}

void StoreFeed::nextAfter(std::chrono::milliseconds pause)
{
    m_timer.expires_after(pause);
    m_timer.async_wait([this](const asio::error_code& cancelled) {
        if (!cancelled) {
            next();
        }
    });
}

std::string_view StoreFeed::reasonToAsk() const
{
    if (!m_follows) {
        return "this host reads the store itself";
    }
    if (m_listAgainAt) {
        return "the list of this host is incomplete";
    }
    if (m_newsIncomplete) {
        return "changes are missing in what other hosts reported";
    }
    const MonotonicTime::duration silence = m_newsAt ? std::chrono::steady_clock::now() - *m_newsAt : newsSilence;
    if (silence >= newsSilence) {
        return "no other host reports changes";
    }
    return silence + m_newsAge < newsTooOld ? std::string_view {} : "what other hosts reported is too old";
}

void StoreFeed::next()
{
    const auto reason = reasonToAsk();
    if (m_resting != reason.empty()) {
        m_resting = reason.empty();
        m_handlers.onSource(m_resting, reason);
    }
    if (m_resting) {
        return;
    }
    if (isListDue()) {
        list();
    } else {
        watch();
    }
}

void StoreFeed::tick()
{
    if (m_resting) {
        next();
    }
}

bool StoreFeed::applyBatch(FeedBatch& batch)
{
    const bool whole = std::all_of(batch.changes.begin(), batch.changes.end(), [](const auto& change) { return change.withContent; });
    if (!whole) {
        return false;
    }
    record(*m_asOf, batch.asOf, std::vector<FeedChange> { batch.changes });
    m_asOf = batch.asOf;
    for (auto& change : batch.changes) {
        if (isKnown(change.change)) {
            continue;
        }
        noteKnown(change.change);
        m_handlers.onChange(std::move(change.change), change.recovering);
    }
    return true;
}

void StoreFeed::applyNews(FeedNews&& news)
{
    if (!m_asOf) {
        return; // the own list tells more
    }
    bool complete = true;
    for (auto& batch : news.batches) {
        const auto use = useOfBatch(*m_asOf, batch.from, batch.asOf);
        complete = use == BatchUse::Known || (use == BatchUse::Apply && applyBatch(batch));
        if (!complete) {
            break;
        }
    }
    m_newsIncomplete = !complete;
    if (complete) {
        m_newsAt = std::chrono::steady_clock::now();
        m_newsAge = news.age;
        becomeReachable();
    }
    tick();
}

std::optional<std::chrono::microseconds> StoreFeed::age() const
{
    if (!m_asOf || !m_askedAt) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<std::chrono::microseconds>(BootClock::now() - *m_askedAt);
}

void StoreFeed::record(uint64_t from, uint64_t asOf, std::vector<FeedChange>&& changes)
{
    m_listedTo = asOf;
    recordChanges(m_log, FeedBatch { .from = from, .asOf = asOf, .changes = std::move(changes), .at = std::chrono::steady_clock::now() }, {});
}

/** What a list shows to have changed since the last answer. */
std::vector<FeedChange> StoreFeed::changesByList(const std::vector<StoreDocument>& documents, bool recovering)
{
    std::vector<FeedChange> changes;
    auto before = std::move(m_known);
    m_known.clear();
    for (const auto& document : documents) {
        m_known[document.name] = document.revision;
        const auto known = before.find(document.name);
        if (known == before.end() || known->second != document.revision) {
            changes.push_back({ .change = { .document = document }, .recovering = recovering });
        }
        if (known != before.end()) {
            before.erase(known);
        }
    }
    for (const auto& [name, revision] : before) {
        changes.push_back({ .change = { .removed = true, .document = { .name = name, .revision = revision } }, .recovering = recovering });
    }
    return changes;
}

/** @return whether a list has shown this state of the document or a later one. A removal may name the last revision before it. */
bool StoreFeed::isKnown(const StoreChange& change) const
{
    const auto known = m_known.find(change.document.name);
    if (known == m_known.end()) {
        return false;
    }
    return change.removed ? change.document.revision < known->second : change.document.revision <= known->second;
}

void StoreFeed::noteKnown(const StoreChange& change)
{
    if (change.removed) {
        m_known.erase(change.document.name);
    } else {
        m_known[change.document.name] = change.document.revision;
    }
}

void StoreFeed::becomeReachable()
{
    if (!m_reachable) {
        m_reachable = true;
        m_lostAt.reset();
        m_handlers.onReachable(true, {});
    }
}

bool StoreFeed::succeed()
{
    m_delay = std::chrono::milliseconds { 0 };
    if (m_reachable) {
        return false;
    }
    const bool recovering = m_lostAt && std::chrono::steady_clock::now() - *m_lostAt >= shortestAbsence;
    becomeReachable();
    return recovering;
}

void StoreFeed::fail(std::string_view why, bool listAgain)
{
    if (m_reachable) {
        m_reachable = false;
        m_lostAt = std::chrono::steady_clock::now();
        // Those that are followed had lost the store before this one noticed.
        if (m_follows && m_newsAt) {
            m_lostAt = std::min(*m_lostAt, *m_newsAt - std::chrono::duration_cast<MonotonicTime::duration>(m_newsAge) + m_options.watchWait);
        }
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
        next();
    } else {
        list();
    }
}

} // namespace siskinspread
