#pragma once

#include "siskinspread/MembershipAdapter.h"

#include <functional>
#include <string>
#include <vector>

namespace siskinspread {

/** An entry host as this one sees it. */
struct EntryHostView {
    std::string name;
    std::string failureDomain;
    std::string incarnation;
    MemberStatus status { MemberStatus::Alive };
    uint64_t configurationRevision { 0 }; /**< In force there, as it told last; zero when it has not. */
};

/** What this host knows of all entry hosts, for operators. Thread safety: decide thread only. */
class SystemView {
public:
    using Done = std::function<void(const std::vector<EntryHostView>&)>;

    SystemView(HostContext&, const MembershipAdapter&, ConfigurationFeedAdapter&);

    /**
     * Asks the live hosts for their revision and then calls `done` once, this host first. Takes one call to each live
     * host and up to peerCallTimeout.
     */
    void collect(Done done) const;

private:
    std::vector<EntryHostView> entryHosts() const;

    HostContext& m_context;
    const MembershipAdapter& m_membership;
    ConfigurationFeedAdapter& m_configuration;
};

} // namespace siskinspread
