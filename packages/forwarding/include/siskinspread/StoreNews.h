#pragma once

#include "siskinspread/HostLog.h"
#include "siskinspread/StoreFeed.h"

#include "forwarding.pb.h"

#include <map>

namespace siskinspread {

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

    /** @param withContent documents go with the news; without, followers read them from the store. */
    void add(StoreCollection, StoreFeed&, bool withContent);

    /** Decides whether this host reads the store for the others or follows them. @param domainHosts live ones of the failure domain, this one included. */
    void chooseRole(const std::vector<std::string>& domainHosts);
    bool follows() const { return m_follows; }

    /** Adds the news to a message for a host of the same failure domain; nothing while this host follows others itself. */
    void tell(schema::HostStateMessage&, MonotonicTime now);

    /** Takes in the news of another host. Unreadable documents are logged and count as missing. */
    void apply(const schema::HostStateMessage&);

private:
    struct Feed {
        StoreFeed* feed { nullptr };
        bool withContent { true };
    };

    FeedChange decode(const schema::StoreChangeMessage&, const std::string& sender, bool withContent);
    FeedNews decode(const schema::StoreNewsMessage&, const std::string& sender, bool withContent);

    const std::string& m_host;
    HostLog& m_log;
    std::map<uint32_t, Feed> m_feeds; /**< By the collection's number in messages. */
    schema::HostStateMessage m_encoded; /**< Made once for all peers of a tick. */
    std::optional<MonotonicTime> m_encodedAt;
    bool m_follows { false };
    bool m_isFollowed { false };
};

} // namespace siskinspread
