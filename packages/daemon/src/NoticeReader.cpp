#include "siskinspread/NoticeReader.h"

#include "siskinspread/DrainPlan.h"
#include "siskinspread/RetryBudget.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace siskinspread {

namespace {

    constexpr const char* noticeMethod = "reclaim_notice";
    constexpr std::chrono::milliseconds dueCheckInterval { 250 };
    constexpr std::chrono::milliseconds longestLead { 24 * 3600 * 1000 }; // beyond it adding to a time could overflow
    constexpr RetryDelayOptions readRetry { .first = std::chrono::milliseconds { 500 }, .longest = std::chrono::milliseconds { 10'000 } };

    constexpr RetryDelayOptions passOnRetry { .first = std::chrono::milliseconds { 500 }, .longest = std::chrono::milliseconds { 10'000 } };

    std::chrono::milliseconds untilEnd(MonotonicTime endsAt, MonotonicTime now)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(endsAt - now);
    }

} // namespace

NoticeReader::NoticeReader(HostContext& context, Parts parts, CloudApiOptions cloud)
    : m_context(context)
    , m_parts(std::move(parts))
    , m_cloud(std::move(cloud))
{
    m_parts.calls.methods().registerMethod(noticeMethod, [this](const std::string& params) { return takePassedOn(params); });
}

void NoticeReader::start()
{
    m_startedAt = m_context.wall;
    if (!m_cloud.url.empty()) {
        tick();
    }
}

void NoticeReader::tick()
{
    m_parts.timers.schedule(m_context.now + dueCheckInterval, [this] { tick(); });
    if (m_reading || m_context.now < m_retryAt) {
        return;
    }
    const bool isReader = isNoticeReader(m_context.settings.host().name(), m_parts.domainHosts(), m_options);
    if (isNoticeReadDue(isReader, m_lastReadAt, m_options, m_context.now)) {
        read();
    }
}

void NoticeReader::read()
{
    m_reading = true;
    m_lastReadAt = m_context.now;
    m_context.platform.start(readReclaimNotices(m_cloud, m_lastSequence), [this](const ClientEvent& event) {
        m_reading = false;
        onRead(std::get<TransferEnded>(event));
    });
}

void NoticeReader::onRead(const TransferEnded& ended)
{
    LastReason reason;
    const auto notices = reclaimNotices(ended, reason);
    m_context.metrics.countStoreCall(StorePurpose::CloudApi, notices ? StoreOutcome::Answered : StoreOutcome::Unavailable);
    if (!notices) {
        ++m_failures;
        m_retryAt = m_context.now + retryDelay(readRetry, m_failures, nextSeed(m_context));
        return;
    }
    m_failures = 0;
    for (const ReclaimNotice& notice : *notices) {
        if (notice.sequence > m_lastSequence) {
            m_lastSequence = notice.sequence;
            take(notice);
        }
    }
}

void NoticeReader::take(const ReclaimNotice& notice)
{
    const std::chrono::milliseconds left = std::min(timeLeft(notice, m_context.wall), longestLead);
    const MonotonicTime endsAt = m_context.now + left;
    if (notice.host == m_context.settings.host().name()) {
        if (!isAboutEarlierHost(notice, m_startedAt)) {
            takeOwn(endsAt);
        }
        return;
    }
    if (left.count() == 0) {
        return; // it has ended; the list of hosts tells
    }
    m_context.metrics.countReclaimNotice(NoticeSubject::OtherHost);
    m_context.log.write({ .level = LogLevel::Info, .message = "reclaim notice about another host", .fields = { { .name = "subject", .value = notice.host }, { .name = "time_left_ms", .value = left } } });
    m_parts.onNotice(notice.host, endsAt);
    if (findPeer(m_context.settings, notice.host)) {
        passOn(notice.host, endsAt, 1);
    }
}

// One notice may come several times, read and passed on; the clocks make their ends differ a little.
void NoticeReader::takeOwn(MonotonicTime endsAt)
{
    if (!m_ownEnd || endsAt + m_options.readerInterval < *m_ownEnd) {
        m_context.metrics.countReclaimNotice(NoticeSubject::OwnHost);
        m_context.log.write({ .level = LogLevel::Warning, .message = "reclaim notice about this host", .fields = { { .name = "time_left_ms", .value = untilEnd(endsAt, m_context.now) } } });
    }
    m_ownEnd = std::min(m_ownEnd.value_or(endsAt), endsAt);
    m_parts.onOwnNotice(endsAt);
}

void NoticeReader::passOn(const std::string& host, MonotonicTime endsAt, uint32_t attempt)
{
    const std::chrono::milliseconds left = untilEnd(endsAt, m_context.now);
    if (left.count() <= 0) {
        return;
    }
    const std::string params = nlohmann::json { { "host", host }, { "time_left_ms", left.count() } }.dump();
    m_parts.calls.call(host, noticeMethod, params, [this, host, endsAt, attempt](const RpcOutcome& outcome) {
        if (!outcome.ok()) {
            m_parts.timers.schedule(m_context.now + retryDelay(passOnRetry, attempt, nextSeed(m_context)), [this, host, endsAt, attempt] { passOn(host, endsAt, attempt + 1); });
        }
    });
}

RpcOutcome NoticeReader::takePassedOn(const std::string& paramsJson)
{
    const auto params = nlohmann::json::parse(paramsJson, nullptr, false);
    const bool isNotice = params.is_object() && params.contains("time_left_ms") && params["time_left_ms"].is_number_integer();
    if (!isNotice || params.value("host", nlohmann::json {}) != m_context.settings.host().name()) {
        return rpcFailure(rpc_error::invalidParams, "reclaim_notice takes the name of this host and time_left_ms");
    }
    const auto left = std::clamp(std::chrono::milliseconds { params["time_left_ms"].get<int64_t>() }, std::chrono::milliseconds { 0 }, longestLead);
    takeOwn(m_context.now + left);
    return nlohmann::json(true).dump();
}

} // namespace siskinspread
