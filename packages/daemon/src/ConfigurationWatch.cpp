#include "siskinspread/ConfigurationWatch.h"

#include "siskinspread/RetryBudget.h"
#include "siskinspread/ServiceFile.h"

#include <google/protobuf/util/json_util.h>

namespace siskinspread {

namespace {

    constexpr RetryDelayOptions watchRetry { .first = std::chrono::milliseconds { 200 }, .longest = std::chrono::milliseconds { 5000 } };

} // namespace

std::string encodeConfiguration(const schema::Configuration& configuration)
{
    std::string text;
    google::protobuf::util::JsonPrintOptions options;
    options.preserve_proto_field_names = true;
    static_cast<void>(google::protobuf::util::MessageToJsonString(configuration, &text, options));
    return text;
}

std::optional<schema::Configuration> decodeConfiguration(std::string_view text, LastReason& reason)
{
    schema::Configuration configuration;
    const auto status = google::protobuf::util::JsonStringToMessage({ text.data(), text.size() }, &configuration);
    if (!status.ok()) {
        return fail(reason, ResultCode::InvalidConfiguration, status.ToString());
    }
    fillConfigurationDefaults(configuration);
    const auto problems = checkConfiguration(configuration);
    if (!problems.empty()) {
        return fail(reason, ResultCode::InvalidConfiguration, formatProblems(problems));
    }
    return configuration;
}

ConfigurationWatch::ConfigurationWatch(HostContext& context, Timers& timers, ObjectApiOptions store, std::function<void(const std::string&)> onContent)
    : m_context(context)
    , m_timers(timers)
    , m_store(std::move(store))
    , m_onContent(std::move(onContent))
{
}

void ConfigurationWatch::start()
{
    m_context.platform.start(watchObject(m_store, configurationObject, m_version), [this](const ClientEvent& event) { onAnswer(std::get<TransferEnded>(event)); });
}

void ConfigurationWatch::onAnswer(const TransferEnded& ended)
{
    const StoreResult result = storeResult(ended, false);
    if (result == StoreResult::Done) {
        m_failures = 0;
        m_version = storedVersion(ended);
        m_context.metrics.countStoreCall(StorePurpose::Watch, StoreOutcome::Answered);
        m_onContent(ended.body);
        start();
        return;
    }
    if (result == StoreResult::Unchanged) {
        m_failures = 0;
        m_context.metrics.countStoreCall(StorePurpose::Watch, StoreOutcome::Answered);
        start();
        return;
    }
    m_context.metrics.countStoreCall(StorePurpose::Watch, StoreOutcome::Unavailable);
    ++m_failures;
    waitAndStart(retryDelay(watchRetry, m_failures, nextSeed(m_context)) + watchRetry.first);
}

void ConfigurationWatch::waitAndStart(std::chrono::milliseconds wait)
{
    m_timers.schedule(m_context.now + wait, [this] { start(); });
}

} // namespace siskinspread
