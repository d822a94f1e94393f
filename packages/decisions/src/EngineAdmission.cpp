#include "siskinspread/EngineAdmission.h"

#include <algorithm>

namespace siskinspread {

EngineVerdict admitToEngine(const EngineRequest& request, const EngineAdmissionOptions& options)
{
    const auto left = request.target - request.waited;
    const double share = request.urgency == 0 ? options.urgentShare : options.usualShare;
    const auto predicted = request.queueAhead + request.ownReading;
    if (static_cast<double>(predicted.count()) <= static_cast<double>(left.count()) * share) {
        return EngineVerdict::Send;
    }
    // Until then an engine that becomes free could still answer in time.
    const auto patience = std::max(request.target - request.ownReading, request.target / 4);
    if (request.waited < patience) {
        return EngineVerdict::Hold;
    }
    return request.placesFree && request.queueAhead <= options.sparseQueueLimit ? EngineVerdict::Send : EngineVerdict::Refuse;
}

} // namespace siskinspread
