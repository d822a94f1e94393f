#include "siskinspread/EngineAdmission.h"

#include <algorithm>

namespace siskinspread {

EngineVerdict admitToEngine(const EngineRequest& request, const EngineAdmissionOptions& options)
{
    const auto limit = request.urgency == 0 ? options.urgentQueueLimit : options.queueLimit;
    if (request.queueAhead <= limit) {
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
