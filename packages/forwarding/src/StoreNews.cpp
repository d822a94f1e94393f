#include "siskinspread/StoreNews.h"

#include "siskinspread/DutyRank.h"

namespace siskinspread {

namespace {

    using std::chrono::milliseconds;

    constexpr std::string_view watchDuty = "store watch";
    constexpr uint32_t watchers = 2; // a failure domain: one may end, stall or be turned away
    constexpr size_t fewestHosts = 5; // of a failure domain in which others are followed; fewer watch for themselves
    constexpr milliseconds encodedFor { 40 }; // less than a tick

    schema::StoreNewsMessage encode(const FeedNews& news, uint32_t collection, bool withContent)
    {
        schema::StoreNewsMessage message;
        message.set_collection(collection);
        message.set_age_us(static_cast<uint64_t>(news.age.count()));
        for (const auto& batch : news.batches) {
            auto& changes = *message.add_batches();
            changes.set_from(batch.from);
            changes.set_through(batch.asOf);
            for (const auto& one : batch.changes) {
                auto& change = *changes.add_changes();
                change.set_name(one.change.document.name);
                change.set_revision(one.change.document.revision);
                change.set_removed(one.change.removed);
                change.set_recovering(one.recovering);
                if (withContent && !one.change.removed) {
                    change.set_content(one.change.document.content.dump());
                }
            }
        }
        return message;
    }

} // namespace

FeedChange StoreNews::decode(const schema::StoreChangeMessage& message, const std::string& sender, bool withContent)
{
    FeedChange change { .change = { .removed = message.removed(), .document = { .name = message.name(), .revision = message.revision() } }, .recovering = message.recovering() };
    if (message.removed()) {
        return change;
    }
    if (withContent) {
        change.change.document.content = nlohmann::json::parse(message.content(), nullptr, false);
    }
    change.withContent = withContent && !change.change.document.content.is_discarded();
    if (withContent && !change.withContent) {
        m_log.warning("document of a peer unreadable", { { "peer", sender }, { "document", message.name() }, { "revision", message.revision() } });
    }
    return change;
}

FeedNews StoreNews::decode(const schema::StoreNewsMessage& message, const std::string& sender, bool withContent)
{
    FeedNews news { .age = std::chrono::microseconds { message.age_us() } };
    for (const auto& changes : message.batches()) {
        FeedBatch batch { .from = changes.from(), .asOf = changes.through() };
        for (const auto& change : changes.changes()) {
            batch.changes.push_back(decode(change, sender, withContent));
        }
        news.batches.push_back(std::move(batch));
    }
    return news;
}

void StoreNews::add(StoreCollection collection, StoreFeed& feed, bool withContent)
{
    m_feeds[static_cast<uint32_t>(collection)] = { .feed = &feed, .withContent = withContent };
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

void StoreNews::tell(schema::HostStateMessage& message, MonotonicTime now)
{
    if (m_follows || !m_isFollowed) {
        return;
    }
    if (!m_encodedAt || now - *m_encodedAt >= encodedFor) {
        m_encodedAt = now;
        m_encoded.Clear();
        for (const auto& [collection, feed] : m_feeds) {
            if (auto news = feed.feed->news()) {
                *m_encoded.add_news() = encode(*news, collection, feed.withContent);
            }
        }
    }
    message.mutable_news()->CopyFrom(m_encoded.news());
}

void StoreNews::apply(const schema::HostStateMessage& message)
{
    for (const auto& news : message.news()) {
        if (auto feed = m_feeds.find(news.collection()); feed != m_feeds.end()) {
            feed->second.feed->applyNews(decode(news, message.host(), feed->second.withContent));
        }
    }
}

} // namespace siskinspread
