#include "siskinspread/EngineAdmission.h"

#include <algorithm>

namespace siskinspread {

EngineVerdict admitToEngine(const EngineRequest& request, const EngineAdmissionOptions& options)
{
    const double share = request.urgency == 0 ? options.urgentShare : options.usualShare;
    const std::chrono::microseconds room { static_cast<int64_t>(static_cast<double>((request.target - request.waited).count()) * share) - request.ownReading.count() };
    if (request.queueAhead <= std::max(room, options.shortQueue)) {
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
