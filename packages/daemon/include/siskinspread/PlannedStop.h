#pragma once

#include "siskinspread/DrainPlan.h"
#include "siskinspread/HostContext.h"

#include <functional>

namespace siskinspread {

/** Who asked for a planned stop. */
enum class StopCause : uint8_t {
    Signal, /**< SIGTERM or SIGINT, or the end of the host's own log. */
    Operator,
    ReclaimNotice,
};

/** @return "signal", "operator" or "reclaim_notice". Thread safety: reads constant data only. */
const char* stopCauseName(StopCause);

/** Whether this host stops, and how long its open requests still get. Thread safety: decide thread only. */
class PlannedStop {
public:
    /** @param openRequests tells how many requests are open at this host. */
    PlannedStop(HostContext&, std::function<size_t()> openRequests);

    /** Begins the stop. Idempotent. @return whether it had not begun before. */
    bool request(StopCause);

    /** Takes a notice that this host ends at `hostEnds`: begins the stop, or shortens its grace. */
    void noticeReclaim(MonotonicTime hostEnds);

    bool hasBegun() const { return m_plan.graceEnds.has_value(); }
    bool isGraceOver() const { return siskinspread::isGraceOver(m_plan, m_context.now); }
    std::chrono::milliseconds handoverTime() const { return siskinspread::handoverTime(m_plan, m_options, m_context.now); }
    const DrainPlan& plan() const { return m_plan; }
    size_t openRequests() const { return m_openRequests(); }

private:
    void logBegin(StopCause);

    HostContext& m_context;
    const std::function<size_t()> m_openRequests;
    const DrainOptions m_options;
    DrainPlan m_plan;
};

} // namespace siskinspread
