#include "siskinspread/PlannedStop.h"

namespace siskinspread {

const char* stopCauseName(StopCause cause)
{
    switch (cause) {
    case StopCause::Signal:
        return "signal";
    case StopCause::Operator:
        return "operator";
    case StopCause::ReclaimNotice:
        break;
    }
    return "reclaim_notice";
}

PlannedStop::PlannedStop(HostContext& context, std::function<size_t()> openRequests)
    : m_context(context)
    , m_openRequests(std::move(openRequests))
    , m_options({ .grace = std::chrono::milliseconds { context.settings.drain().grace_ms() } })
{
}

bool PlannedStop::request(StopCause cause)
{
    const bool begins = !hasBegun();
    planStop(m_plan, m_options, m_context.now);
    if (begins) {
        logBegin(cause);
    }
    return begins;
}

void PlannedStop::noticeReclaim(MonotonicTime hostEnds)
{
    const bool begins = !hasBegun();
    const bool moved = planReclaim(m_plan, m_options, hostEnds, m_context.now);
    if (begins) {
        logBegin(StopCause::ReclaimNotice);
    } else if (moved) {
        m_context.log.write({ .level = LogLevel::Info, .message = "planned stop has less time", .fields = { { .name = "open_requests", .value = openRequests() }, { .name = "grace_ms", .value = graceLeft(m_plan, m_context.now) } } });
    }
}

void PlannedStop::logBegin(StopCause cause)
{
    m_context.metrics.setDraining();
    m_context.log.write({ .level = LogLevel::Info, .message = "planned stop begins", .fields = { { .name = "cause", .value = stopCauseName(cause) }, { .name = "open_requests", .value = openRequests() }, { .name = "grace_ms", .value = graceLeft(m_plan, m_context.now) } } });
}

} // namespace siskinspread
