// The part of DutyDesk that reports usage.
#include "siskinspread/DutyDesk.h"

#include "siskinspread/JsonFields.h"

#include <charconv>

namespace siskinspread {

namespace {

    using std::chrono::milliseconds;

    constexpr std::string_view usageName = "windows";
    // The hosts' counts of a window that has ended are here by then, if nothing is cut off.
    constexpr milliseconds gatherTime { 1500 };
    constexpr milliseconds sendingTime { 2500 }; // left for the write and the report before a window is overdue
    constexpr int64_t keptWindows = 4; // a holder that takes over finds in the store what was decided lately

} // namespace

WindowCounts DutyDesk::countsOf(int64_t window) const
{
    WindowCounts sum;
    if (auto own = m_forwarder.usage().windows.find(window); own != m_forwarder.usage().windows.end()) {
        addCounts(sum, own->second);
    }
    if (auto told = m_peers.usage().find(window); told != m_peers.usage().end()) {
        for (const auto& [host, counts] : told->second) {
            addCounts(sum, counts);
        }
    }
    return sum;
}

void DutyDesk::tickUsage()
{
    if (!m_usageRevision && !m_usageAbsent) {
        readUsage();
        return;
    }
    const auto now = m_time.now();
    const auto length = m_settings.bounds.reportWindow;
    const int64_t newest = usageWindowAt(now - gatherTime, length) - 1;
    for (int64_t window = std::max(m_firstWindow.value_or(newest), newest - 1); window <= newest; ++window) {
        decideWindow(window);
    }
    if (!m_unwritten.empty()) {
        writeUsage();
    }
    for (auto& [window, decided] : m_windows) {
        if (!decided.reported && !decided.open && !m_unwritten.contains(window)) {
            reportWindow(window, decided);
        }
    }
}

void DutyDesk::readUsage()
{
    if (m_usageCallOpen) {
        return;
    }
    m_usageCallOpen = true;
    m_calls.start("usage", m_adapter.readDocument(StoreCollection::UsageWindows, usageName), [this](const TransferEnded& ended) {
        m_usageCallOpen = false;
        LastReason reason;
        const auto answer = m_adapter.storeAnswer(ended, false);
        m_usageAbsent = answer == StoreAnswer::Absent;
        auto document = answer == StoreAnswer::Done ? m_adapter.decodeDocument(ended, reason) : std::nullopt;
        if (!document || !document->content.is_object()) {
            return;
        }
        m_usageRevision = document->revision;
        for (const auto& [name, counts] : document->content.items()) {
            adoptDecided(name, counts);
        }
    });
}

void DutyDesk::adoptDecided(const std::string& name, const nlohmann::json& counts)
{
    int64_t window = 0;
    if (std::from_chars(name.data(), name.data() + name.size(), window).ec != std::errc {} || !counts.is_object()) {
        m_log.warning("decided usage passed over", { { "window", name }, { "why", "unreadable" } });
        return;
    }
    auto& decided = m_windows[window].counts;
    decided.clear();
    for (const auto& [customer, count] : counts.items()) {
        decided[customer] = countField(counts, customer.c_str(), 0);
    }
    m_unwritten.erase(window);
    m_firstWindow = std::min(m_firstWindow.value_or(window), window);
}

void DutyDesk::decideWindow(int64_t window)
{
    if (m_windows.contains(window)) {
        return;
    }
    const WallTime end { std::chrono::duration_cast<WallTime::duration>(m_settings.bounds.reportWindow * (window + 1)) };
    const bool due = m_time.now() + sendingTime > end + m_settings.bounds.reportDue;
    if (!due && !m_peers.allUsageHeardSince(m_time.now() - end)) {
        return;
    }
    m_windows[window].counts = countsOf(window);
    m_unwritten.insert(window);
    m_firstWindow = std::min(m_firstWindow.value_or(window), window);
    m_log.info("usage decided", { { "window", window }, { "customers", m_windows[window].counts.size() }, { "all_hosts_heard", !due } });
}

void DutyDesk::writeUsage()
{
    if (m_usageCallOpen || !stamp()) {
        return;
    }
    while (m_windows.size() > keptWindows) {
        m_windows.erase(m_windows.begin());
    }
    nlohmann::json content = nlohmann::json::object();
    for (const auto& [window, decided] : m_windows) {
        content[std::to_string(window)] = decided.counts;
    }
    m_usageCallOpen = true;
    auto call = m_usageRevision ? m_adapter.replaceDocument(StoreCollection::UsageWindows, usageName, *m_usageRevision, content)
                                : m_adapter.createDocument(StoreCollection::UsageWindows, usageName, content);
    startDutyCall("usage", std::move(call), [this, written = m_unwritten](const TransferEnded& ended) {
        m_usageCallOpen = false;
        LastReason reason;
        const auto answer = m_adapter.storeAnswer(ended, true);
        auto document = answer == StoreAnswer::Done ? m_adapter.decodeDocument(ended, reason) : std::nullopt;
        if (document) {
            m_usageRevision = document->revision;
            m_usageAbsent = false;
            for (auto window : written) {
                m_unwritten.erase(window);
            }
            return;
        }
        // Conflict: another holder has decided; unknown: the write may be there or may land. Reading tells what stands.
        m_usageRevision.reset();
        m_usageAbsent = false;
    });
}

void DutyDesk::reportWindow(int64_t window, DecidedWindow& decided)
{
    auto duty = stamp();
    if (!duty) {
        return;
    }
    decided.open = true;
    startDutyCall("usage_report", m_adapter.reportUsage({ .window = window, .requests = decided.counts }, *duty), [this, window](const TransferEnded& ended) {
        auto found = m_windows.find(window);
        if (found == m_windows.end()) {
            return;
        }
        found->second.open = false;
        found->second.reported = ended.end == TransferEnd::Complete && ended.status == 200;
        m_log.info("usage reported", { { "window", window }, { "status", ended.status }, { "why", ended.detail } });
    });
}

} // namespace siskinspread
