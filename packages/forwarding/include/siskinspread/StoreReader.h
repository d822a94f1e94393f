#pragma once

#include "siskinspread/Forwarder.h"
#include "siskinspread/PeerExchange.h"
#include "siskinspread/StoreCalls.h"
#include "siskinspread/StoreFeed.h"
#include "siskinspread/StoreNews.h"

namespace siskinspread {

/** Brings the configuration and the replicas' entries from the store, or from hosts that read it, into force. Thread safety: loop thread only. */
class StoreReader {
public:
    StoreReader(asio::io_context&, const ForwardingSettings&, const PlatformAdapter&, StoreCalls&, PeerExchange&, Forwarder&, HostLog&);

    void start();
    /** To be called every 50 ms or so. */
    void tick(MonotonicTime now);
    /** Decides anew whether this host reads the store for others. To be called every quarter of a second or so. */
    void reviewRole() { m_news.chooseRole(m_peers.liveDomainHosts()); }

private:
    StoreFeedHandlers configurationHandlers();
    StoreFeedHandlers replicaHandlers();
    StoreFeedHandlers rolloutHandlers();
    void applyConfiguration(const StoreDocument&);
    /** Tells operators whom a configuration lets in, before it is in force. */
    void logCustomers(const RoutingConfiguration&);
    void applyRollout(const StoreDocument&);
    void applyReplicaList(const std::vector<StoreDocument>&, bool recovering);
    /** @return whether the replica has come, has started again or leaves. */
    bool applyReplica(const StoreDocument&);
    void loseReplica(const std::string& instance, bool recovering, std::string_view why);
    void logReachable(std::string_view feed, bool reachable, std::string_view why);
    void logSource(std::string_view feed, bool follows, std::string_view why);
    void noteComplete(std::string_view feed, bool complete, std::string_view why);

    const PlatformAdapter& m_adapter;
    PeerExchange& m_peers;
    Forwarder& m_forwarder;
    HostLog& m_log;
    StoreFeed m_configuration;
    StoreFeed m_replicas;
    StoreFeed m_rollouts; /**< Not started while all replicas of each service have one version. */
    StoreNews m_news;
    bool m_readsRollouts { false };
    bool m_configurationListed { true }; /**< Otherwise the newest list was incomplete and has not shown the configuration. */
};

} // namespace siskinspread
