#include "siskinspread/SystemView.h"

namespace siskinspread {

SystemView::SystemView(HostContext& context, const MembershipAdapter& membership, ConfigurationFeedAdapter& configuration)
    : m_context(context)
    , m_membership(membership)
    , m_configuration(configuration)
{
}

void SystemView::collect(Done done) const
{
    std::vector<std::string> others;
    for (const KnownIncarnation& known : m_membership.liveIncarnations()) {
        if (known.host != m_context.settings.host().name()) {
            others.push_back(known.host);
        }
    }
    m_configuration.exchangeAdverts(others, [this, done = std::move(done)] { done(entryHosts()); });
}

std::vector<EntryHostView> SystemView::entryHosts() const
{
    std::vector<EntryHostView> views;
    for (const KnownIncarnation& known : m_membership.knownIncarnations()) {
        const bool isSelf = known.host == m_context.settings.host().name();
        const uint64_t revision = isSelf ? m_configuration.advert().revision() : m_configuration.revisionAt(known.host);
        views.push_back({ .name = known.host, .failureDomain = known.failureDomain, .incarnation = known.incarnation.text, .status = known.status, .configurationRevision = revision });
    }
    return views;
}

} // namespace siskinspread
