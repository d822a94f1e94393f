#pragma once

#include "siskinspread/HostLog.h"
#include "siskinspread/StoreFeed.h"

#include "forwarding.pb.h"

#include <map>
#include <vector>

namespace siskinspread {

/** Revisions up to which a host knows collections, by the collection's number in messages. */
using KnownRevisions = std::map<uint32_t, uint64_t>;

/**
 * Encodes what a feed read in one answer. Many changes are compressed; those that are too many for a datagram go without the
 * documents, which the receiver then reads from the store. Thread safety: reentrant.
 */
schema::StoreChangesMessage encodeBatch(const FeedBatch&);

/**
 * Decodes such a batch; changes whose document is missing or unreadable are marked as being without content.
 * @return nothing when the batch cannot be read. @param reason MalformedRequest. Thread safety: reentrant.
 */
std::optional<FeedBatch> decodeBatch(const schema::StoreChangesMessage&, LastReason& reason);

/**
 * Stands for a batch that cannot be read: a receiver that needs it finds its changes missing and asks the store, rather than taking
 * the rest of the news for all there is. Thread safety: reentrant.
 */
FeedBatch unreadBatch(const schema::StoreChangesMessage&);

/**
 * Passes what some hosts of a failure domain have read of the store on to the others, so that the calls to the store do not
 * grow with the number of hosts. Loop thread only.
 */
class StoreNews {
public:
    StoreNews(const std::string& host, HostLog& log)
        : m_host(host)
        , m_log(log)
    {
    }

    void add(StoreCollection, StoreFeed&);

    /** Decides whether this host reads the store for the others or follows them. @param domainHosts live ones of the failure domain, this one included. */
    void chooseRole(const std::vector<std::string>& domainHosts);

    /** @return whether this host reads the store for others. */
    bool isFollowed() const { return m_isFollowed && !m_follows; }

    /** Adds the news to a message for a host of the same failure domain, but for what it knows; nothing while this host follows others itself. */
    void tell(schema::HostStateMessage&, const KnownRevisions& known);

    /** Adds what this host knows to its own state. */
    void tellKnown(schema::HostStateMessage&) const;

    /** Takes in the news of another host. What cannot be read is logged and counts as missing. */
    void apply(const schema::HostStateMessage&);

private:
    struct Feed {
        StoreFeed* feed { nullptr };
        std::vector<schema::StoreChangesMessage> encoded; /**< Of the batches of its log, made once for all peers. */
    };

    static void encodeLog(Feed&);
    FeedNews decode(const schema::StoreNewsMessage&, const std::string& sender);

    const std::string& m_host;
    HostLog& m_log;
    std::map<uint32_t, Feed> m_feeds; /**< By the collection's number in messages. */
    bool m_follows { false };
    bool m_isFollowed { false };
};

} // namespace siskinspread
