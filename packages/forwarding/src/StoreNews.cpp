#include "siskinspread/StoreNews.h"

#include "siskinspread/JsonItems.h"

#include "siskinspread/DutyRank.h"

#include <zstd.h>

#include <algorithm>

namespace siskinspread {

namespace {

    constexpr std::string_view watchDuty = "store watch";
    constexpr uint32_t watchers = 2; // a failure domain: one may end, stall or be turned away
    constexpr size_t fewestHosts = 5; // of a failure domain in which others are followed; fewer watch for themselves
    constexpr size_t smallBatchBytes = 512; // compression gains little below
    constexpr int compressionLevel = 1; // the fastest: entries of replicas are alike
    constexpr size_t maxBatchBytes = 24U << 10U; // as it is sent; half of a datagram, which holds other batches as well
    constexpr size_t maxNewsBytes = 48U << 10U; // of one message; what is left out follows once the receiver knows the rest
    constexpr size_t maxDecompressedBytes = 1U << 20U; // far above what 24 KB of entries expand to; a bound for bytes that are no news

    schema::StoreChangeMessage encodeChange(const FeedChange& change, bool withContent)
    {
        schema::StoreChangeMessage message;
        message.set_name(change.change.document.name);
        message.set_revision(change.change.document.revision);
        message.set_removed(change.change.removed);
        message.set_recovering(change.recovering);
        if (withContent && !change.change.removed) {
            message.set_content(change.change.document.content.dump());
            if (!change.change.document.status.is_null()) {
                message.set_status(change.change.document.status.dump());
            }
        }
        return message;
    }

    FeedChange decodeChange(const schema::StoreChangeMessage& message)
    {
        FeedChange change { .change = { .removed = message.removed(), .document = { .name = message.name(), .revision = message.revision() } }, .recovering = message.recovering() };
        if (!message.removed()) {
            auto& content = change.change.document.content;
            content = parseJson(message.content());
            change.withContent = !content.is_discarded();
            auto status = parseJson(message.status());
            if (!status.is_discarded()) {
                change.change.document.status = std::move(status);
            }
        }
        return change;
    }

    std::string compress(const std::string& bytes)
    {
        std::string compressed(ZSTD_compressBound(bytes.size()), 0);
        const auto size = ZSTD_compress(compressed.data(), compressed.size(), bytes.data(), bytes.size(), compressionLevel);
        compressed.resize(ZSTD_isError(size) != 0 ? 0 : size); // empty: counts as too large
        return compressed;
    }

    std::optional<std::string> decompress(const std::string& compressed, LastReason& reason)
    {
        const auto size = ZSTD_getFrameContentSize(compressed.data(), compressed.size());
        if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN || size > maxDecompressedBytes) {
            return fail(reason, ResultCode::MalformedRequest, "the compressed changes name no size within bounds");
        }
        std::string bytes(size, 0);
        const auto written = ZSTD_decompress(bytes.data(), bytes.size(), compressed.data(), compressed.size());
        if (ZSTD_isError(written) != 0 || written != size) {
            return fail(reason, ResultCode::MalformedRequest, "the compressed changes cannot be read");
        }
        return bytes;
    }

} // namespace

schema::StoreChangesMessage encodeBatch(const FeedBatch& batch)
{
    schema::StoreChangesMessage message;
    message.set_from(batch.from);
    message.set_through(batch.asOf);
    for (const auto& change : batch.changes) {
        *message.add_changes() = encodeChange(change, true);
    }
    if (message.ByteSizeLong() <= smallBatchBytes) {
        return message;
    }
    schema::StoreChangeListMessage list;
    list.mutable_changes()->Swap(message.mutable_changes());
    message.set_compressed_changes(compress(list.SerializeAsString()));
    const auto size = message.compressed_changes().size();
    if (size == 0 || size > maxBatchBytes) {
        message.clear_compressed_changes();
        for (const auto& change : batch.changes) {
            *message.add_changes() = encodeChange(change, false);
        }
    }
    if (message.ByteSizeLong() > maxBatchBytes) {
        // Names are as long as their writers like. A change without name and content makes the reader ask the store.
        message.clear_changes();
        message.add_changes();
    }
    return message;
}

std::optional<FeedBatch> decodeBatch(const schema::StoreChangesMessage& message, LastReason& reason)
{
    FeedBatch batch { .from = message.from(), .asOf = message.through() };
    schema::StoreChangeListMessage list;
    const auto* changes = &message.changes();
    if (!message.compressed_changes().empty()) {
        const auto bytes = decompress(message.compressed_changes(), reason);
        if (!bytes) {
            return std::nullopt;
        }
        if (!list.ParseFromString(*bytes)) {
            return fail(reason, ResultCode::MalformedRequest, "the compressed changes are no list of changes");
        }
        changes = &list.changes();
    }
    for (const auto& change : *changes) {
        batch.changes.push_back(decodeChange(change));
    }
    return batch;
}

FeedBatch unreadBatch(const schema::StoreChangesMessage& message)
{
    return { .from = message.from(), .asOf = message.through(), .changes = { FeedChange { .withContent = false } } };
}

FeedNews StoreNews::decode(const schema::StoreNewsMessage& message, const std::string& sender)
{
    FeedNews news { .age = std::chrono::microseconds { message.age_us() } };
    for (const auto& changes : message.batches()) {
        LastReason reason;
        auto batch = decodeBatch(changes, reason);
        if (!batch) {
            m_log.warning("changes of a peer unreadable", { { "peer", sender }, { "collection", message.collection() }, { "through", changes.through() }, { "why", reason.detail } });
            batch = unreadBatch(changes);
        }
        news.batches.push_back(std::move(*batch));
    }
    return news;
}

void StoreNews::add(StoreCollection collection, StoreFeed& feed)
{
    m_feeds[static_cast<uint32_t>(collection)].feed = &feed;
}

void StoreNews::chooseRole(const std::vector<std::string>& domainHosts)
{
    m_isFollowed = domainHosts.size() >= fewestHosts;
    const bool follows = m_isFollowed && !dutyRank(watchDuty, m_host, domainHosts, watchers);
    if (follows != m_follows) {
        m_log.info("role at the store changed", { { "follows_peers", follows }, { "domain_hosts", domainHosts.size() } });
    }
    m_follows = follows;
    for (auto& [collection, feed] : m_feeds) {
        feed.feed->follow(m_follows);
    }
}

/** Keeps what was encoded before of the batches that are still in the log. */
void StoreNews::encodeLog(Feed& feed)
{
    auto before = std::move(feed.encoded);
    feed.encoded.clear();
    for (const auto& batch : feed.feed->log().batches) {
        auto known = std::find_if(before.begin(), before.end(), [&](const auto& message) { return message.from() == batch.from && message.through() == batch.asOf; });
        if (known == before.end()) {
            feed.encoded.push_back(encodeBatch(batch));
        } else {
            feed.encoded.push_back(std::move(*known));
            known->Clear();
        }
    }
}

void StoreNews::tell(schema::HostStateMessage& message, const KnownRevisions& known)
{
    if (!isFollowed()) {
        return;
    }
    for (auto& [collection, feed] : m_feeds) {
        const auto age = feed.feed->age();
        if (!age) {
            continue;
        }
        encodeLog(feed);
        auto& news = *message.add_news();
        news.set_collection(collection);
        news.set_age_us(static_cast<uint64_t>(age->count()));
        const auto through = known.find(collection);
        for (const auto& batch : feed.encoded) {
            if (through != known.end() && batch.through() <= through->second) {
                continue;
            }
            if (message.ByteSizeLong() + batch.ByteSizeLong() > maxNewsBytes) {
                break;
            }
            *news.add_batches() = batch;
        }
    }
}

void StoreNews::tellKnown(schema::HostStateMessage& message) const
{
    for (const auto& [collection, feed] : m_feeds) {
        if (const auto through = feed.feed->knownThrough()) {
            auto& known = *message.add_known();
            known.set_collection(collection);
            known.set_through(*through);
        }
    }
}

void StoreNews::apply(const schema::HostStateMessage& message)
{
    for (const auto& news : message.news()) {
        if (auto feed = m_feeds.find(news.collection()); feed != m_feeds.end()) {
            feed->second.feed->applyNews(decode(news, message.host()));
        }
    }
}

} // namespace siskinspread
