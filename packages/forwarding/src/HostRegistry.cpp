#include "siskinspread/HostRegistry.h"

#include "siskinspread/JsonFields.h"

#include <algorithm>

namespace siskinspread {

namespace {

    using std::chrono::milliseconds;

    // Hosts that are new tell of themselves; this heals what was missed, with as many calls a second however many hosts there are.
    constexpr milliseconds shortestListInterval { 15000 };
    constexpr milliseconds listIntervalPerHost { 2000 };
    constexpr milliseconds pauseAfterFailure { 500 };

} // namespace

HostRegistry::HostRegistry(asio::io_context& context, const ForwardingSettings& settings, const PlatformAdapter& adapter, StoreCalls& calls, PeerExchange& peers, HostLog& log, ForwardingMetrics& metrics, uint64_t incarnation)
    : m_settings(settings)
    , m_adapter(adapter)
    , m_calls(calls)
    , m_peers(peers)
    , m_log(log)
    , m_metrics(metrics)
    , m_timer(context)
    , m_pauseIfIncomplete(pauseAfterFailure)
    , m_content { { "address", settings.callers.address }, { "port", settings.peerPort }, { "incarnation", incarnation } }
{
}

void HostRegistry::enter()
{
    m_calls.start("hosts", m_adapter.createDocument(StoreCollection::Hosts, m_settings.host, m_content), [this](const TransferEnded& ended) {
        switch (m_adapter.storeAnswer(ended, true)) {
        case StoreAnswer::Done:
            list();
            break;
        case StoreAnswer::Conflict:
            replace();
            break;
        default:
            m_log.warning("host not entered in the store", { { "status", ended.status }, { "why", ended.detail } });
            later(pauseAfterFailure, &HostRegistry::enter);
            break;
        }
    });
}

/** The host was entered by an earlier incarnation, perhaps with another address. */
void HostRegistry::replace()
{
    m_calls.start("hosts", m_adapter.readDocument(StoreCollection::Hosts, m_settings.host), [this](const TransferEnded& ended) {
        LastReason reason;
        auto document = m_adapter.storeAnswer(ended, false) == StoreAnswer::Done ? m_adapter.decodeDocument(ended, reason) : std::nullopt;
        if (!document) {
            later(pauseAfterFailure, &HostRegistry::enter);
            return;
        }
        if (textField(document->content, "address") == m_settings.callers.address) {
            list();
            return;
        }
        m_calls.start("hosts", m_adapter.replaceDocument(StoreCollection::Hosts, m_settings.host, document->revision, m_content), [this](const TransferEnded& answer) {
            if (m_adapter.storeAnswer(answer, true) == StoreAnswer::Done) {
                list();
            } else {
                later(pauseAfterFailure, &HostRegistry::enter);
            }
        });
    });
}

void HostRegistry::list()
{
    m_list = {};
    readPage({});
}

void HostRegistry::readPage(std::string_view after)
{
    m_calls.start("hosts", m_adapter.listDocuments(StoreCollection::Hosts, after), [this](const TransferEnded& ended) { onPage(ended); });
}

void HostRegistry::onPage(const TransferEnded& ended)
{
    LastReason reason;
    auto page = m_adapter.storeAnswer(ended, false) == StoreAnswer::Done ? m_adapter.decodePage(ended, reason) : std::nullopt;
    if (!page) {
        m_log.warning("list of hosts not read", { { "status", ended.status }, { "why", reason.detail.empty() ? ended.detail : reason.detail } });
        if (m_list.asOf) {
            useList(false);
        } else {
            later(pauseAfterFailure, &HostRegistry::list);
        }
        return;
    }
    const auto progress = addPage(m_list, std::move(*page));
    if (progress == ListProgress::NextPage) {
        readPage(m_list.documents.back().name);
    } else {
        useList(progress == ListProgress::Complete);
    }
}

void HostRegistry::useList(bool complete)
{
    if (m_complete != complete) {
        m_complete = complete;
        m_log.warning(complete ? "list complete" : "list incomplete", { { "feed", "hosts" } });
        m_metrics.setListIncomplete("hosts", !complete);
    }
    for (const auto& document : m_list.documents) {
        m_peers.addPeer(document.name, textField(document.content, "address"), countField(document.content, "port", 0));
    }
    const auto pause = std::max<milliseconds>(shortestListInterval, listIntervalPerHost * m_list.documents.size());
    m_list = {};
    m_pauseIfIncomplete = complete ? pauseAfterFailure : std::min(m_pauseIfIncomplete * 2, pause);
    later(complete ? pause : m_pauseIfIncomplete, &HostRegistry::list);
}

void HostRegistry::later(milliseconds delay, void (HostRegistry::*action)())
{
    m_timer.expires_after(delay);
    m_timer.async_wait([this, action](const asio::error_code& cancelled) {
        if (!cancelled) {
            (this->*action)();
        }
    });
}

} // namespace siskinspread
