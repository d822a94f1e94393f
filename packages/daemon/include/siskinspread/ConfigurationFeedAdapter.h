#pragma once

#include "siskinspread/ConfigurationFeed.h"
#include "siskinspread/ConfigurationWatch.h"
#include "siskinspread/PeerCalls.h"
#include "siskinspread/PeerMessages.h"
#include "siskinspread/Timers.h"

#include "service.pb.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace siskinspread {

/**
 * Joins the configuration feed to the store and to the peers.
 *
 * Registers the JSON-RPC methods "advert" (exchanges adverts), "ask_revision" and "configuration" (the body in force).
 * Thread safety: decide thread only.
 */
class ConfigurationFeedAdapter {
public:
    /** @param enforce called with each configuration to be put in force; revisions only rise. */
    ConfigurationFeedAdapter(HostContext&, Timers&, ObjectApiOptions, PeerCalls&, std::function<void(const schema::Configuration&)> enforce);

    /** Begins to keep the configuration, with the peers of the settings as members. */
    void start();

    /** Replaces the members; see FeedMembersChanged. */
    void setMembers(std::vector<std::string> hosts, std::vector<std::string> relays);

    /** Takes an advert that came with some other message. */
    void hear(const schema::RevisionAdvertMessage&);

    /** @return what to put into each message to another host. */
    schema::RevisionAdvertMessage advert() const;

    /** @return the revision that a peer of the settings told last, or zero. */
    uint64_t revisionAt(const std::string& host) const;

    /** Exchanges adverts with these hosts now. `done` is called once, when each has answered or failed to. */
    void exchangeAdverts(const std::vector<std::string>& hosts, const std::function<void()>& done);

private:
    void tick();
    void take(const FeedEvent&);
    void act(const FeedAction&);
    void enforce(const ConfigurationDocument&);
    void report(const FeedProblem&);
    void ask(const std::string& host);
    void fetch(const std::string& host);
    void sendAdvert(
        const std::string& host, std::function<void()> done = [] {});
    void sendRoutineAdverts();
    RpcOutcome answerAdvert(const std::string& paramsJson);
    RpcOutcome answerAsk(const std::string& paramsJson) const;
    RpcOutcome answerFetch() const;

    HostContext& m_context;
    Timers& m_timers;
    PeerCalls& m_calls;
    const std::function<void(const schema::Configuration&)> m_enforce;
    const FeedOptions m_options;
    ConfigurationFeedState m_state;
    ConfigurationWatch m_watch;
    std::map<std::string, uint64_t> m_latestRevisions; /**< As told last by each peer of the settings. */
    MonotonicTime m_nextAdvertAt {};
};

} // namespace siskinspread
