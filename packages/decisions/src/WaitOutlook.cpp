#include "siskinspread/WaitOutlook.h"

namespace siskinspread {

WaitVerdict judgeWait(const WaitOutlook& outlook)
{
    if (outlook.replicas == 0) {
        return WaitVerdict::NoReplica;
    }
    if (outlook.accepting > 0 || !outlook.pauseEndsIn || *outlook.pauseEndsIn <= outlook.patienceLeft) {
        return WaitVerdict::Wait;
    }
    return WaitVerdict::AllPaused;
}

} // namespace siskinspread
