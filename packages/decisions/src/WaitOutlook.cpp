#include "siskinspread/WaitOutlook.h"

namespace siskinspread {

WaitVerdict judgeWait(const WaitOutlook& outlook)
{
    if (outlook.replicas == 0) {
        return WaitVerdict::NoReplica;
    }
    if (outlook.accepting > 0 || (outlook.pauseEndsIn && *outlook.pauseEndsIn <= outlook.patienceLeft)) {
        return WaitVerdict::Wait;
    }
    if (outlook.limited > 0) {
        return outlook.ahead < outlook.limitedCalls ? WaitVerdict::Wait : WaitVerdict::OverLimit;
    }
    return outlook.pauseEndsIn ? WaitVerdict::AllPaused : WaitVerdict::Wait;
}

} // namespace siskinspread
