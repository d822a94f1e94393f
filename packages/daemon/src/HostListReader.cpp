#include "siskinspread/HostListReader.h"

#include "siskinspread/NoticeReading.h"
#include "siskinspread/RetryBudget.h"

namespace siskinspread {

namespace {

    constexpr std::chrono::milliseconds dueCheckInterval { 250 };
    constexpr RetryDelayOptions readRetry { .first = std::chrono::milliseconds { 1'000 }, .longest = std::chrono::milliseconds { 60'000 } };

} // namespace

HostListReader::HostListReader(HostContext& context, Parts parts, CloudApiOptions list)
    : m_context(context)
    , m_parts(std::move(parts))
    , m_list(std::move(list))
{
}

void HostListReader::start()
{
    if (!m_list.url.empty()) {
        tick();
    }
}

void HostListReader::tick()
{
    m_parts.timers.schedule(m_context.now + dueCheckInterval, [this] { tick(); });
    if (m_reading || m_context.now < m_nextReadAt || !isNoticeReader(m_context.settings.host().name(), m_parts.domainHosts(), {})) {
        return;
    }
    m_reading = true;
    m_context.platform.start(readHostList(m_list), [this](const ClientEvent& event) {
        m_reading = false;
        onRead(std::get<TransferEnded>(event));
    });
}

void HostListReader::onRead(const TransferEnded& ended)
{
    LastReason reason;
    const auto hosts = hostList(ended, reason);
    m_context.metrics.countStoreCall(StorePurpose::HostList, hosts ? StoreOutcome::Answered : StoreOutcome::Unavailable);
    if (!hosts) {
        ++m_failures;
        m_nextReadAt = m_context.now + retryDelay(readRetry, m_failures, nextSeed(m_context));
        return;
    }
    m_failures = 0;
    m_nextReadAt = m_context.now + std::chrono::milliseconds { m_context.settings.platform().host_list_interval_ms() };
    m_parts.onList(*hosts);
}

} // namespace siskinspread
