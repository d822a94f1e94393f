#include "siskinspread/BackendNews.h"

#include <algorithm>

namespace siskinspread {

namespace {

    // Below the usual path MTU, less the headers of IPv6 and UDP.
    constexpr size_t maxDatagramBytes = 1400;
    // Above any age at which a report is still used.
    constexpr uint64_t maxAgeMilliseconds = 60'000;
    // Above any number of observers that a host could mean.
    constexpr uint32_t maxObservers = 100;

    schema::HeartbeatMessage emptyNews(const NewsSender& sender)
    {
        schema::HeartbeatMessage message;
        message.mutable_backend_news()->set_sender(sender.incarnation);
        message.mutable_backend_news()->set_failure_domain(sender.failureDomain);
        return message;
    }

    void writeLoad(const BackendLoadReport& load, MonotonicTime now, schema::BackendLoadMessage& out)
    {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - load.sampledAt).count();
        out.set_age_ms(std::max<int64_t>(age, 0));
        out.set_running(load.running);
        out.set_queued(load.waiting);
        out.set_slots(load.slots);
        out.set_queued_prompt_tokens(load.queuedPromptTokens);
    }

    void writeObservation(const NewsSender& sender, const ObservedServer& observed, MonotonicTime now, schema::BackendObservationMessage& out)
    {
        const ServerObservation& observation = observed.observation;
        if (observation.observer != sender.incarnation) {
            out.set_observer(observation.observer);
        }
        out.set_sequence(observation.sequence);
        out.set_server(observation.server);
        out.set_instance(observation.instance);
        out.set_reachable(observation.reachable);
        out.set_leaving(observation.leaving);
        out.set_observers(observation.observers);
        if (observed.load) {
            writeLoad(*observed.load, now, *out.mutable_load());
        }
    }

    std::optional<BackendLoadReport> loadOf(const schema::BackendObservationMessage& message, MonotonicTime now)
    {
        if (!message.has_load() || message.load().age_ms() > maxAgeMilliseconds) {
            return std::nullopt;
        }
        const schema::BackendLoadMessage& load = message.load();
        return BackendLoadReport { .sampledAt = now - std::chrono::milliseconds { load.age_ms() }, .running = load.running(), .waiting = load.queued(), .slots = load.slots(), .queuedPromptTokens = load.queued_prompt_tokens() };
    }

} // namespace

std::vector<std::string> observationDatagrams(const NewsSender& sender, const std::vector<ObservedServer>& observed, MonotonicTime now)
{
    std::vector<std::string> datagrams;
    schema::HeartbeatMessage message = emptyNews(sender);
    schema::BackendNewsMessage& news = *message.mutable_backend_news();
    for (const ObservedServer& server : observed) {
        writeObservation(sender, server, now, *news.add_observations());
        if (message.ByteSizeLong() <= maxDatagramBytes || news.observations_size() == 1) {
            continue;
        }
        const schema::BackendObservationMessage last = news.observations(news.observations_size() - 1);
        news.mutable_observations()->RemoveLast();
        datagrams.push_back(message.SerializeAsString());
        news.clear_observations();
        *news.add_observations() = last;
    }
    if (news.observations_size()) {
        datagrams.push_back(message.SerializeAsString());
    }
    return datagrams;
}

std::string leaveDatagram(const NewsSender& sender, const LeaveSign& sign)
{
    schema::HeartbeatMessage message = emptyNews(sender);
    schema::BackendLeaveMessage& leave = *message.mutable_backend_news()->add_leaves();
    leave.set_server(sign.server);
    leave.set_instance(sign.instance);
    return message.SerializeAsString();
}

std::vector<ObservedServer> observationsOf(const schema::BackendNewsMessage& news, MonotonicTime now)
{
    std::vector<ObservedServer> observed;
    for (const schema::BackendObservationMessage& message : news.observations()) {
        const std::string& observer = message.observer().empty() ? news.sender() : message.observer();
        if (observer.empty() || !message.sequence() || message.server().empty()) {
            continue;
        }
        const auto load = loadOf(message, now);
        observed.push_back({
            .observation = { .observer = observer, .sequence = message.sequence(), .server = message.server(), .instance = message.instance(), .reachable = message.reachable(), .leaving = message.leaving(), .load = load ? load->running + load->waiting : 0, .observers = std::clamp(message.observers(), 1U, maxObservers) },
            .load = load,
        });
    }
    return observed;
}

} // namespace siskinspread
