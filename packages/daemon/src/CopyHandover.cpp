#include "siskinspread/CopyHandover.h"

#include "CopyRecords.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace siskinspread {

namespace {

    constexpr std::chrono::milliseconds offerInterval { 300 };
    constexpr size_t heirCount = 2;

} // namespace

CopyHandover::CopyHandover(HostContext& context, Timers& timers, PeerCalls& calls, PeerDirectory& peers)
    : m_context(context)
    , m_timers(timers)
    , m_calls(calls)
    , m_peers(peers)
{
}

void CopyHandover::begin(std::vector<CopiesPart> parts)
{
    m_parts = std::move(parts);
    offerAll();
}

bool CopyHandover::isDone() const
{
    return std::any_of(m_taken.begin(), m_taken.end(), [this](const auto& taken) { return taken.second.size() == m_parts.size(); });
}

/** Hosts of other failure domains first: the own one may be leaving as a whole. */
std::vector<IncarnationId> CopyHandover::heirs() const
{
    auto candidates = m_peers.live();
    std::erase_if(candidates, [this](const auto& candidate) { return candidate.incarnation == m_context.incarnation || m_unwilling.contains(candidate.incarnation); });
    std::stable_partition(candidates.begin(), candidates.end(), [this](const auto& candidate) { return candidate.failureDomain != m_context.settings.host().failure_domain(); });
    std::vector<IncarnationId> chosen;
    for (size_t index = 0; index < std::min(candidates.size(), heirCount); ++index) {
        chosen.push_back(candidates[index].incarnation);
    }
    return chosen;
}

void CopyHandover::offerAll()
{
    for (const IncarnationId& heir : heirs()) {
        for (size_t index = 0; index < m_parts.size(); ++index) {
            if (!m_taken[heir].contains(index)) {
                offer(heir, index);
            }
        }
    }
    m_timers.schedule(m_context.now + offerInterval, [this] { offerAll(); });
}

void CopyHandover::offer(const IncarnationId& to, size_t index)
{
    const CopiesPart& part = m_parts[index];
    const nlohmann::json params {
        { "holder", part.holder.text },
        { "number", part.number },
        { "parts", part.parts },
        { "owner", part.owner.text },
        { "records", encodeRecords(part.owner, part.records) },
    };
    m_calls.call(hostOf(to), adoptMethod, params.dump(), [this, to, index](const RpcOutcome& outcome) {
        const auto taken = nlohmann::json::parse(outcome.resultJson, nullptr, false);
        if (!outcome.ok() || !taken.is_boolean()) {
            return; // offered again
        }
        if (taken.get<bool>()) {
            m_taken[to].insert(index);
        } else {
            m_unwilling.insert(to);
        }
    });
}

} // namespace siskinspread
