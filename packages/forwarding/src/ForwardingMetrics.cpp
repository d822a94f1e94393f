#include "siskinspread/ForwardingMetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace siskinspread {

namespace {

    using prometheus::Counter;
    using prometheus::Family;
    using prometheus::Gauge;
    using prometheus::Histogram;

    /** Seconds; around the latency targets of a few hundred milliseconds to some seconds. */
    const Histogram::BucketBoundaries latencyBuckets { 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 4, 8, 15 };

    std::string_view nameOf(RepeatCause cause)
    {
        switch (cause) {
        case RepeatCause::NotArrived:
            return "not_arrived";
        case RepeatCause::NotExecuted:
            return "not_executed";
        case RepeatCause::Failed:
            return "failed";
        case RepeatCause::StreamContinued:
            return "stream_continued";
        case RepeatCause::StreamMoved:
            break;
        }
        return "stream_moved";
    }

    double seconds(std::chrono::microseconds time)
    {
        return std::chrono::duration<double>(time).count();
    }

} // namespace

struct ForwardingMetrics::Series {
    explicit Series(const prometheus::Labels& constant)
        : labels(constant)
        , answers(counters("siskinspread_forward_answers_total", "Final answers to callers"))
        , repeats(counters("siskinspread_forward_repeats_total", "Requests sent once more"))
        , stopOrders(counters("siskinspread_forward_stop_orders_total", "Orders to a replica to stop a run that moves"))
        , storeCalls(counters("siskinspread_forward_store_calls_total", "Calls to the platform"))
        , shedConnections(counters("siskinspread_forward_shed_connections_total", "Callers' connections closed for others"))
        , loadReports(counters("siskinspread_forward_load_reports_total", "Answers in which a replica told its load"))
        , rolloutAnswers(counters("siskinspread_forward_rollout_answers_total", "Answers of services with an open rollout"))
        , rolloutStates(counters("siskinspread_forward_rollout_states_total", "States of rollouts that the host has learnt of"))
        , newConnections(counters("siskinspread_forward_replica_connections_total", "New connections to replicas").Add({}))
        , latency(prometheus::BuildHistogram().Name("siskinspread_forward_seconds").Help("Time from a request's first byte").Labels(labels).Register(registry))
        , firstByte(latency.Add({ { "until", "first_byte" } }, latencyBuckets))
        , whole(latency.Add({ { "until", "answered" } }, latencyBuckets))
        , waiting(latency.Add({ { "until", "sent" } }, latencyBuckets))
        , state(prometheus::BuildGauge().Name("siskinspread_forward_state").Help("What the host believes").Labels(labels).Register(registry))
    {
    }

    Family<Counter>& counters(const char* name, const char* help) { return prometheus::BuildCounter().Name(name).Help(help).Labels(labels).Register(registry); }

    prometheus::Labels labels;
    prometheus::Registry registry;
    Family<Counter>& answers;
    Family<Counter>& repeats;
    Family<Counter>& stopOrders;
    Family<Counter>& storeCalls;
    Family<Counter>& shedConnections;
    Family<Counter>& loadReports;
    Family<Counter>& rolloutAnswers;
    Family<Counter>& rolloutStates;
    Counter& newConnections;
    Family<Histogram>& latency;
    Histogram& firstByte;
    Histogram& whole;
    Histogram& waiting;
    Family<Gauge>& state;
};

ForwardingMetrics::ForwardingMetrics(std::string_view host, std::string_view failureDomain)
    : m_series(std::make_unique<Series>(prometheus::Labels { { "host", std::string { host } }, { "failure_domain", std::string { failureDomain } } }))
{
}

ForwardingMetrics::~ForwardingMetrics() = default;

void ForwardingMetrics::countAnswer(int status, ResultCode result)
{
    m_series->answers.Add({ { "status", std::to_string(status) }, { "result", std::string { resultInfo(result).name } } }).Increment();
}

void ForwardingMetrics::countRepeat(RepeatCause cause)
{
    m_series->repeats.Add({ { "cause", std::string { nameOf(cause) } } }).Increment();
}

void ForwardingMetrics::countStopOrder(std::string_view end)
{
    m_series->stopOrders.Add({ { "end", std::string { end } } }).Increment();
}

void ForwardingMetrics::countShedConnection(std::string_view reason)
{
    m_series->shedConnections.Add({ { "reason", std::string { reason } } }).Increment();
}

void ForwardingMetrics::countLoadReport(bool believed)
{
    m_series->loadReports.Add({ { "believed", believed ? "true" : "false" } }).Increment();
}

void ForwardingMetrics::countRolloutAnswer(bool ofCandidate, std::string_view result)
{
    m_series->rolloutAnswers.Add({ { "version", ofCandidate ? "candidate" : "before" }, { "result", std::string { result } } }).Increment();
}

void ForwardingMetrics::countRolloutState(std::string_view state)
{
    m_series->rolloutStates.Add({ { "state", std::string { state } } }).Increment();
}

void ForwardingMetrics::countNewConnection()
{
    m_series->newConnections.Increment();
}

void ForwardingMetrics::countStoreCall(std::string_view purpose, bool answered)
{
    m_series->storeCalls.Add({ { "purpose", std::string { purpose } }, { "outcome", answered ? "answered" : "failed" } }).Increment();
}

void ForwardingMetrics::observeFirstByte(std::chrono::microseconds time)
{
    m_series->firstByte.Observe(seconds(time));
}

void ForwardingMetrics::observeWhole(std::chrono::microseconds time)
{
    m_series->whole.Observe(seconds(time));
}

void ForwardingMetrics::observeWaiting(std::chrono::microseconds time)
{
    m_series->waiting.Observe(seconds(time));
}

void ForwardingMetrics::setConfigurationVersion(uint64_t version)
{
    m_series->state.Add({ { "what", "configuration_version" } }).Set(static_cast<double>(version));
}

void ForwardingMetrics::setCustomers(bool required, size_t withKeys, size_t unusable)
{
    m_series->state.Add({ { "what", "keys_required" } }).Set(required ? 1 : 0);
    m_series->state.Add({ { "what", "customers_with_keys" } }).Set(static_cast<double>(withKeys));
    m_series->state.Add({ { "what", "customers_unusable" } }).Set(static_cast<double>(unusable));
}

void ForwardingMetrics::setReplicas(size_t count)
{
    m_series->state.Add({ { "what", "replicas" } }).Set(static_cast<double>(count));
}

void ForwardingMetrics::setPartsSuspected(size_t count)
{
    m_series->state.Add({ { "what", "prompt_parts_suspected" } }).Set(static_cast<double>(count));
}

void ForwardingMetrics::setReplicasLimited(size_t count)
{
    m_series->state.Add({ { "what", "replicas_limited" } }).Set(static_cast<double>(count));
}

void ForwardingMetrics::setPeers(size_t count)
{
    m_series->state.Add({ { "what", "peers" } }).Set(static_cast<double>(count));
}

void ForwardingMetrics::setListIncomplete(std::string_view feed, bool incomplete)
{
    m_series->state.Add({ { "what", "list_incomplete" }, { "feed", std::string { feed } } }).Set(incomplete ? 1 : 0);
}

void ForwardingMetrics::setLogLinesLeftOut(uint64_t lines)
{
    m_series->state.Add({ { "what", "log_lines_left_out" } }).Set(static_cast<double>(lines));
}

std::string ForwardingMetrics::text() const
{
    return prometheus::TextSerializer {}.Serialize(m_series->registry.Collect());
}

} // namespace siskinspread
