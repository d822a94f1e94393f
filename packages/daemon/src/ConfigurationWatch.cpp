#include "siskinspread/ConfigurationWatch.h"

#include "siskinspread/ConfigurationCodec.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace siskinspread {

namespace {

    /** @return the revision that a text names even if it is no valid configuration, or zero. */
    uint64_t namedRevision(const std::string& body)
    {
        const auto document = nlohmann::json::parse(body, nullptr, false);
        const auto revision = document.is_object() ? document.find("revision") : document.end();
        if (revision == document.end()) {
            return 0;
        }
        const std::string text = revision->is_string() ? revision->get<std::string>() : revision->dump();
        uint64_t number = 0;
        std::from_chars(text.data(), text.data() + text.size(), number);
        return number;
    }

} // namespace

ConfigurationDocument configurationDocument(std::string body)
{
    LastReason reason;
    const auto configuration = decodeConfiguration(body, reason);
    if (configuration) {
        return { .revision = configuration->revision(), .body = std::move(body), .problem = {} };
    }
    const uint64_t revision = namedRevision(body);
    return { .revision = revision, .body = {}, .problem = reason.detail.empty() ? "it can't be decoded" : reason.detail };
}

ConfigurationWatch::ConfigurationWatch(HostContext& context, ObjectApiOptions store, std::function<void(const FeedEvent&)> onEvent)
    : m_context(context)
    , m_store(std::move(store))
    , m_onEvent(std::move(onEvent))
{
}

void ConfigurationWatch::start(const WatchStore& call)
{
    ObjectApiOptions options = m_store;
    options.watchTimeout = call.waitTime;
    const bool readNow = call.waitTime <= std::chrono::milliseconds { 0 };
    m_context.platform.start(readNow ? readObject(options, configurationObject) : watchObject(options, configurationObject, m_version),
        [this](const ClientEvent& event) { onAnswer(std::get<TransferEnded>(event)); });
}

void ConfigurationWatch::onAnswer(const TransferEnded& ended)
{
    const StoreResult result = storeResult(ended, false);
    const bool answered = result == StoreResult::Done || result == StoreResult::Unchanged || result == StoreResult::Absent;
    m_context.metrics.countStoreCall(StorePurpose::Watch, answered ? StoreOutcome::Answered : StoreOutcome::Unavailable);
    if (result == StoreResult::Done) {
        m_version = storedVersion(ended);
        m_onEvent(StoreAnswered { .document = configurationDocument(ended.body) });
    } else if (result == StoreResult::Absent) {
        m_version = 0;
        m_onEvent(StoreAnswered {});
    } else if (result == StoreResult::Unchanged) {
        m_onEvent(StoreUnchanged {});
    } else {
        m_onEvent(StoreCallFailed {});
    }
}

} // namespace siskinspread
