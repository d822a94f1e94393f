#include "siskinspread/DrainRoute.h"

#include "siskinspread/Target.h"

#include <nlohmann/json.hpp>

namespace siskinspread {

namespace {

    constexpr int statusOk = 200;

} // namespace

DrainRoute::DrainRoute(HostContext& context, PlannedStop& stop)
    : m_context(context)
    , m_stop(stop)
{
}

bool DrainRoute::handle(const IncomingRequest& request)
{
    const bool isCommand = request.method == "POST";
    if (splitTarget(request.target).path != drainPath || (!isCommand && request.method != "GET")) {
        return false;
    }
    const bool wasDraining = m_stop.hasBegun();
    if (isCommand) {
        m_stop.request(StopCause::Operator);
    }
    m_context.peerCallers.send(RespondWhole { .exchange = request.exchange, .status = statusOk, .headers = { { .name = "Content-Type", .value = "application/json" } }, .body = stateJson(wasDraining) });
    return true;
}

std::string DrainRoute::stateJson(bool wasDraining) const
{
    nlohmann::json state {
        { "name", m_context.settings.host().name() },
        { "incarnation", m_context.incarnation.text },
        { "state", m_stop.hasBegun() ? "draining" : "serving" },
        { "was_draining", wasDraining },
        { "open_requests", m_stop.openRequests() },
    };
    if (m_stop.hasBegun()) {
        state["grace_left_ms"] = graceLeft(m_stop.plan(), m_context.now).count();
    }
    return state.dump();
}

} // namespace siskinspread
