#include "siskinspread/ConfigurationFeedAdapter.h"

#include "siskinspread/ConfigurationCodec.h"

#include <algorithm>
#include <memory>

namespace siskinspread {

namespace {

    constexpr const char* advertMethod = "advert";
    constexpr const char* askMethod = "ask_revision";
    constexpr const char* fetchMethod = "configuration";

    constexpr std::chrono::milliseconds tickInterval { 100 };
    // Two calls in each: one inside the failure domain, one to another.
    constexpr std::chrono::milliseconds advertInterval { 1000 };
    // Hosts of each other failure domain that a starting host asks as well.
    constexpr size_t relaysPerDomain = 1;

    std::vector<std::string> membersOfSettings(const schema::Settings& settings)
    {
        std::vector<std::string> hosts { settings.host().name() };
        for (const schema::PeerSettings& peer : settings.peers()) {
            if (peer.failure_domain() == settings.host().failure_domain()) {
                hosts.push_back(peer.name());
            }
        }
        std::sort(hosts.begin(), hosts.end());
        return hosts;
    }

    std::vector<std::string> relaysOfSettings(const schema::Settings& settings)
    {
        std::map<std::string, size_t> taken;
        std::vector<std::string> hosts;
        for (const schema::PeerSettings& peer : settings.peers()) {
            const bool isOther = peer.failure_domain() != settings.host().failure_domain();
            if (isOther && taken[peer.failure_domain()]++ < relaysPerDomain) {
                hosts.push_back(peer.name());
            }
        }
        return hosts;
    }

    std::vector<std::string> peersOfSettings(const schema::Settings& settings, bool inOwnDomain)
    {
        std::vector<std::string> hosts;
        for (const schema::PeerSettings& peer : settings.peers()) {
            if ((peer.failure_domain() == settings.host().failure_domain()) == inOwnDomain) {
                hosts.push_back(peer.name());
            }
        }
        return hosts;
    }

} // namespace

ConfigurationFeedAdapter::ConfigurationFeedAdapter(
    HostContext& context, Timers& timers, ObjectApiOptions store, PeerCalls& calls, std::function<void(const schema::Configuration&)> enforce)
    : m_context(context)
    , m_timers(timers)
    , m_calls(calls)
    , m_enforce(std::move(enforce))
    , m_watch(context, std::move(store), [this](const FeedEvent& event) { take(event); })
{
    m_state.self = m_context.settings.host().name();
    m_state.seed = nextSeed(m_context);
    m_calls.methods().registerMethod(advertMethod, [this](const std::string& params) { return answerAdvert(params); });
    m_calls.methods().registerMethod(askMethod, [this](const std::string& params) { return answerAsk(params); });
    m_calls.methods().registerMethod(fetchMethod, [this](const std::string&) { return answerFetch(); });
}

void ConfigurationFeedAdapter::start()
{
    setMembers(membersOfSettings(m_context.settings), relaysOfSettings(m_context.settings));
    tick();
}

void ConfigurationFeedAdapter::setMembers(std::vector<std::string> hosts, std::vector<std::string> relays)
{
    take(FeedMembersChanged { .hosts = std::move(hosts), .relays = std::move(relays) });
}

void ConfigurationFeedAdapter::hear(const schema::RevisionAdvertMessage& message)
{
    if (findPeer(m_context.settings, message.host())) {
        m_latestRevisions[message.host()] = message.revision();
        take(heardAdvert(message, m_context.settings.host().failure_domain()));
    }
}

schema::RevisionAdvertMessage ConfigurationFeedAdapter::advert() const
{
    return advertMessage(m_state.self, m_context.settings.host().failure_domain(), makeAdvert(m_state, m_context.now));
}

uint64_t ConfigurationFeedAdapter::revisionAt(const std::string& host) const
{
    const auto latest = m_latestRevisions.find(host);
    return latest == m_latestRevisions.end() ? 0 : latest->second;
}

void ConfigurationFeedAdapter::exchangeAdverts(const std::vector<std::string>& hosts, const std::function<void()>& done)
{
    if (hosts.empty()) {
        done();
        return;
    }
    auto open = std::make_shared<size_t>(hosts.size());
    for (const std::string& host : hosts) {
        sendAdvert(host, [open, done] {
            if (!--*open) {
                done();
            }
        });
    }
}

void ConfigurationFeedAdapter::tick()
{
    take(FeedTick {});
    if (m_context.now >= m_nextAdvertAt) {
        m_nextAdvertAt = m_context.now + advertInterval;
        sendRoutineAdverts();
    }
    m_timers.schedule(m_context.now + tickInterval, [this] { tick(); });
}

void ConfigurationFeedAdapter::take(const FeedEvent& event)
{
    std::vector<FeedAction> actions;
    step(m_state, m_options, event, m_context.now, actions);
    for (const FeedAction& action : actions) {
        act(action);
    }
}

void ConfigurationFeedAdapter::act(const FeedAction& action)
{
    if (const auto* watch = std::get_if<WatchStore>(&action)) {
        m_watch.start(*watch);
    } else if (const auto* fetchAction = std::get_if<FetchConfiguration>(&action)) {
        fetch(fetchAction->host);
    } else if (const auto* askAction = std::get_if<AskRevision>(&action)) {
        ask(askAction->host);
    } else if (const auto* announce = std::get_if<AnnounceRevision>(&action)) {
        std::for_each(announce->hosts.begin(), announce->hosts.end(), [this](const std::string& host) { sendAdvert(host); });
    } else if (const auto* enforceAction = std::get_if<EnforceConfiguration>(&action)) {
        enforce(enforceAction->document);
    } else if (const auto* problem = std::get_if<FeedProblem>(&action)) {
        report(*problem);
    }
}

void ConfigurationFeedAdapter::enforce(const ConfigurationDocument& document)
{
    LastReason reason;
    const auto configuration = decodeConfiguration(document.body, reason);
    if (!configuration) {
        report({ .code = reason.code, .detail = reason.detail });
        return;
    }
    m_enforce(*configuration);
    m_context.log.write({ .level = LogLevel::Info, .message = "configuration in force", .fields = { { .name = "revision", .value = document.revision }, { .name = "customers", .value = configuration->customers_size() } } });
    if (!configuration->customers_size()) {
        m_context.log.write({ .level = LogLevel::Warning, .message = "no customer is known", .fields = { { .name = "revision", .value = document.revision }, { .name = "detail", .value = "every request is refused" } } });
    }
}

void ConfigurationFeedAdapter::report(const FeedProblem& problem)
{
    m_context.log.write({ .level = LogLevel::Error, .message = "a configuration was refused; the one in force stands", .code = problem.code, .fields = { { .name = "detail", .value = problem.detail } } });
}

void ConfigurationFeedAdapter::ask(const std::string& host)
{
    schema::AskRevisionMessage question;
    question.set_asker(m_state.self);
    m_calls.call(host, askMethod, peerMessageJson(question), [this, host](const RpcOutcome& outcome) {
        schema::RevisionToldMessage told;
        if (outcome.ok() && readPeerMessage(outcome.resultJson, told)) {
            take(RevisionTold { .host = host, .inForce = told.in_force(), .heardFromAsker = told.heard_from_asker() });
        }
    });
}

void ConfigurationFeedAdapter::fetch(const std::string& host)
{
    m_calls.call(host, fetchMethod, peerMessageJson(schema::FetchConfigurationMessage {}), [this, host](const RpcOutcome& outcome) {
        schema::ConfigurationMessage message;
        if (outcome.ok() && readPeerMessage(outcome.resultJson, message) && !message.text().empty()) {
            take(ConfigurationFetched { .host = host, .document = configurationDocument(message.text()) });
        } else {
            take(FetchFailed { .host = host });
        }
    });
}

void ConfigurationFeedAdapter::sendAdvert(const std::string& host, std::function<void()> done)
{
    m_calls.call(host, advertMethod, peerMessageJson(advert()), [this, done = std::move(done)](const RpcOutcome& outcome) {
        schema::RevisionAdvertMessage answer;
        if (outcome.ok() && readPeerMessage(outcome.resultJson, answer)) {
            hear(answer);
        }
        done();
    });
}

void ConfigurationFeedAdapter::sendRoutineAdverts()
{
    for (const bool inOwnDomain : { true, false }) {
        const auto hosts = peersOfSettings(m_context.settings, inOwnDomain);
        if (!hosts.empty()) {
            sendAdvert(hosts[nextSeed(m_context) % hosts.size()]);
        }
    }
}

RpcOutcome ConfigurationFeedAdapter::answerAdvert(const std::string& paramsJson)
{
    schema::RevisionAdvertMessage message;
    if (!readPeerMessage(paramsJson, message)) {
        return rpcFailure(rpc_error::invalidParams, "advert takes a RevisionAdvertMessage");
    }
    hear(message);
    return peerMessageJson(advert());
}

RpcOutcome ConfigurationFeedAdapter::answerAsk(const std::string& paramsJson) const
{
    schema::AskRevisionMessage question;
    if (!readPeerMessage(paramsJson, question)) {
        return rpcFailure(rpc_error::invalidParams, "ask_revision takes an AskRevisionMessage");
    }
    const auto told = answerAskRevision(m_state, question.asker());
    if (!told) {
        return rpcFailure(static_cast<int>(ResultCode::NoConfiguration), "this host is starting itself");
    }
    schema::RevisionToldMessage answer;
    answer.set_in_force(told->inForce);
    answer.set_heard_from_asker(told->heardFromAsker);
    return peerMessageJson(answer);
}

RpcOutcome ConfigurationFeedAdapter::answerFetch() const
{
    schema::ConfigurationMessage answer;
    if (m_state.inForce) {
        answer.set_text(m_state.inForce->body);
    }
    return peerMessageJson(answer);
}

} // namespace siskinspread
