#include "siskinspread/Metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <mutex>
#include <set>

namespace siskinspread {

namespace {

    using CounterFamily = prometheus::Family<prometheus::Counter>;

    constexpr std::string_view otherService = "other";

    constexpr std::array<std::string_view, 8> purposeNames {
        "configuration", "watch", "incarnation_log", "slice_map", "duty_lease", "status", "host_list", "cloud_api"
    };

    constexpr std::array<std::string_view, 3> outcomeNames { "answered", "conflict", "unavailable" };

    constexpr std::array<std::string_view, 3> probeNames { "reached", "unreached", "malformed" };

    constexpr std::array<std::string_view, 5> orderOutcomeNames { "accepted", "fencing_refused", "failed", "unanswered", "lease_lost" };

    constexpr std::array<std::string_view, 3> readOutcomeNames { "answered", "unanswered", "unreadable" };

    constexpr std::array<std::string_view, 2> holdNames { "unconfirmed", "confirmed" };

    constexpr std::array<std::string_view, 2> directionNames { "sent", "received" };

    constexpr std::array<std::string_view, 9> ringNames {
        "callers_to_decide", "decide_to_callers", "backend_servers_to_decide", "decide_to_backend_servers",
        "platform_to_decide", "decide_to_platform", "peers_to_decide", "decide_to_peers", "to_log"
    };

    constexpr std::array<std::string_view, 2> noticeSubjectNames { "own_host", "other_host" };

    CounterFamily& counters(prometheus::Registry& registry, const prometheus::Labels& labels, const char* name, const char* help)
    {
        return prometheus::BuildCounter().Name(name).Help(help).Labels(labels).Register(registry);
    }

    prometheus::Gauge& gauge(prometheus::Registry& registry, const prometheus::Labels& labels, const char* name, const char* help)
    {
        return prometheus::BuildGauge().Name(name).Help(help).Labels(labels).Register(registry).Add({});
    }

    prometheus::Labels label(const char* name, std::string_view value)
    {
        return { { name, std::string { value } } };
    }

} // namespace

/** The registry and what is registered in it. */
struct Metrics::Series {
    explicit Series(const prometheus::Labels& labels)
        : refusals(counters(registry, labels, "siskinspread_refusals_total", "Requests and operations refused, by reason."))
        , retries(counters(registry, labels, "siskinspread_retries_total", "Further attempts, by the reason why the one before failed."))
        , requests(counters(registry, labels, "siskinspread_requests_total", "Requests that have their final result, by service and result."))
        , storeCalls(counters(registry, labels, "siskinspread_store_calls_total", "Calls to the platform, by purpose and outcome."))
        , ringRefusals(counters(registry, labels, "siskinspread_ring_refusals_total", "Messages refused because a ring between two threads was full."))
        , backendProbes(counters(registry, labels, "siskinspread_backend_probes_total", "Questions for a backend server's load, by outcome."))
        , backendNews(counters(registry, labels, "siskinspread_backend_news_total", "Datagrams with news of backend servers, by direction."))
        , backendNewsBytes(counters(registry, labels, "siskinspread_backend_news_bytes_total", "Bytes of datagrams with news of backend servers, by direction."))
        , engineOrders(counters(registry, labels, "siskinspread_engine_orders_total", "Orders to engines, by outcome."))
        , engineReads(counters(registry, labels, "siskinspread_engine_reads_total", "Reads of what engines have loaded, by outcome."))
        , serverHolds(counters(registry, labels, "siskinspread_server_holds_total", "Servers taken out of routing for a change, by whether all hosts confirmed."))
        , dutyHeld(gauge(registry, labels, "siskinspread_engine_duty_held", "1 while this host gives the orders of its failure domain."))
        , datagrams(counters(registry, labels, "siskinspread_datagrams_total", "Datagrams between entry hosts, by direction."))
        , datagramBytes(counters(registry, labels, "siskinspread_datagram_bytes_total", "Bytes of datagrams between entry hosts, by direction."))
        , tokensDelivered(counters(registry, labels, "siskinspread_tokens_delivered_total", "Tokens passed on to callers, by service."))
        , tokensRecomputed(counters(registry, labels, "siskinspread_tokens_recomputed_total", "Tokens that backend servers had to compute again, by service."))
        , reclaimNotices(counters(registry, labels, "siskinspread_reclaim_notices_total", "Reclaim notices of the cloud API, by whom they are about."))
        , draining(gauge(registry, labels, "siskinspread_draining", "1 from the beginning of the planned stop of this host."))
        , openRequests(gauge(registry, labels, "siskinspread_open_requests", "Requests accepted and not yet ended."))
        , configurationRevision(gauge(registry, labels, "siskinspread_configuration_revision", "Revision of the configuration in force; 0 before the first."))
    {
    }

    /** Bounds the number of series: a service beyond the limit shares the label "other". */
    std::string serviceLabel(std::string_view service)
    {
        const std::scoped_lock lock { mutex };
        std::string name { service };
        if (services.contains(name)) {
            return name;
        }
        if (services.size() >= maxServiceLabels) {
            return std::string { otherService };
        }
        services.insert(name);
        return name;
    }

    prometheus::Registry registry;
    CounterFamily& refusals;
    CounterFamily& retries;
    CounterFamily& requests;
    CounterFamily& storeCalls;
    CounterFamily& ringRefusals;
    CounterFamily& backendProbes;
    CounterFamily& backendNews;
    CounterFamily& backendNewsBytes;
    CounterFamily& engineOrders;
    CounterFamily& engineReads;
    CounterFamily& serverHolds;
    prometheus::Gauge& dutyHeld;
    CounterFamily& datagrams;
    CounterFamily& datagramBytes;
    CounterFamily& tokensDelivered;
    CounterFamily& tokensRecomputed;
    CounterFamily& reclaimNotices;
    prometheus::Gauge& draining;
    prometheus::Gauge& openRequests;
    prometheus::Gauge& configurationRevision;
    std::mutex mutex; /**< Guards services. */
    std::set<std::string> services;
};

Metrics::Metrics(MetricsOptions options)
    : m_series(std::make_unique<Series>(prometheus::Labels { { "host", std::move(options.host) }, { "failure_domain", std::move(options.failureDomain) } }))
{
    for (const ResultInfo& info : resultTable()) {
        if (info.code != ResultCode::Ok) {
            m_series->refusals.Add(label("reason", info.name));
            m_series->retries.Add(label("reason", info.name));
        }
    }
    for (std::string_view subject : noticeSubjectNames) {
        m_series->reclaimNotices.Add(label("about", subject));
    }
    for (std::string_view ring : ringNames) {
        m_series->ringRefusals.Add(label("ring", ring));
    }
    for (std::string_view outcome : probeNames) {
        m_series->backendProbes.Add(label("outcome", outcome));
    }
    for (std::string_view outcome : readOutcomeNames) {
        m_series->engineReads.Add(label("outcome", outcome));
    }
    for (std::string_view outcome : orderOutcomeNames) {
        m_series->engineOrders.Add(label("outcome", outcome));
    }
    for (std::string_view outcome : holdNames) {
        m_series->serverHolds.Add(label("outcome", outcome));
    }
    for (std::string_view direction : directionNames) {
        m_series->backendNews.Add(label("direction", direction));
        m_series->backendNewsBytes.Add(label("direction", direction));
        m_series->datagrams.Add(label("direction", direction));
        m_series->datagramBytes.Add(label("direction", direction));
    }
}

Metrics::~Metrics() = default;

void Metrics::countRefusal(ResultCode reason)
{
    m_series->refusals.Add(label("reason", resultInfo(reason).name)).Increment();
}

void Metrics::countRetry(ResultCode reason)
{
    m_series->retries.Add(label("reason", resultInfo(reason).name)).Increment();
}

void Metrics::countRequest(std::string_view service, ResultCode result)
{
    const prometheus::Labels labels { { "service", m_series->serviceLabel(service) }, { "result", std::string { resultInfo(result).name } } };
    m_series->requests.Add(labels).Increment();
}

void Metrics::changeOpenRequests(int change)
{
    m_series->openRequests.Increment(change);
}

void Metrics::countStoreCall(StorePurpose purpose, StoreOutcome outcome)
{
    const prometheus::Labels labels {
        { "purpose", std::string { purposeNames.at(static_cast<size_t>(purpose)) } },
        { "outcome", std::string { outcomeNames.at(static_cast<size_t>(outcome)) } },
    };
    m_series->storeCalls.Add(labels).Increment();
}

void Metrics::countRingRefusal(Ring ring)
{
    m_series->ringRefusals.Add(label("ring", ringNames.at(static_cast<size_t>(ring)))).Increment();
}

void Metrics::countBackendProbe(ProbeOutcome outcome)
{
    m_series->backendProbes.Add(label("outcome", probeNames.at(static_cast<size_t>(outcome)))).Increment();
}

void Metrics::countBackendNews(NewsDirection direction, size_t bytes)
{
    const prometheus::Labels labels = label("direction", directionNames.at(static_cast<size_t>(direction)));
    m_series->backendNews.Add(labels).Increment();
    m_series->backendNewsBytes.Add(labels).Increment(static_cast<double>(bytes));
}

void Metrics::countDatagram(NewsDirection direction, size_t bytes)
{
    const prometheus::Labels labels = label("direction", directionNames.at(static_cast<size_t>(direction)));
    m_series->datagrams.Add(labels).Increment();
    m_series->datagramBytes.Add(labels).Increment(static_cast<double>(bytes));
}

void Metrics::countTokensDelivered(std::string_view service, uint64_t tokens)
{
    m_series->tokensDelivered.Add(label("service", m_series->serviceLabel(service))).Increment(static_cast<double>(tokens));
}

void Metrics::countTokensRecomputed(std::string_view service, uint64_t tokens)
{
    m_series->tokensRecomputed.Add(label("service", m_series->serviceLabel(service))).Increment(static_cast<double>(tokens));
}

void Metrics::setConfigurationRevision(uint64_t revision)
{
    m_series->configurationRevision.Set(static_cast<double>(revision));
}

void Metrics::countReclaimNotice(NoticeSubject subject)
{
    m_series->reclaimNotices.Add(label("about", noticeSubjectNames.at(static_cast<size_t>(subject)))).Increment();
}

void Metrics::countEngineOrder(EngineOrderOutcome outcome)
{
    m_series->engineOrders.Add(label("outcome", orderOutcomeNames.at(static_cast<size_t>(outcome)))).Increment();
}

void Metrics::countEngineRead(EngineReadOutcome outcome)
{
    m_series->engineReads.Add(label("outcome", readOutcomeNames.at(static_cast<size_t>(outcome)))).Increment();
}

void Metrics::countServerHold(bool confirmed)
{
    m_series->serverHolds.Add(label("outcome", holdNames.at(confirmed))).Increment();
}

void Metrics::setDutyHeld(bool held)
{
    m_series->dutyHeld.Set(held);
}

void Metrics::setDraining()
{
    m_series->draining.Set(1);
}

std::string Metrics::metricsText() const
{
    return prometheus::TextSerializer {}.Serialize(m_series->registry.Collect());
}

} // namespace siskinspread
