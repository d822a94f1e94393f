#include "siskinspread/RunMove.h"

namespace siskinspread {

void noteOrderSent(RunMove& move)
{
    ++move.openOrders;
}

void noteOrderEnded(RunMove& move, StopOrderEnd end, MonotonicTime now)
{
    --move.openOrders;
    if (end == StopOrderEnd::Stopped) {
        move.stoppedAt = now;
    } else if (end == StopOrderEnd::Unknown) {
        move.mayBeStopped = true;
    }
}

void noteAnswerEnded(RunMove& move, AnswerEnd end, MonotonicTime now)
{
    if (!move.answerEnd) {
        move.answerEnd = end;
        move.answerEndedAt = now;
    }
}

bool dependsOnOrders(const RunMove& move)
{
    return move.openOrders > 0 || move.stoppedAt || move.mayBeStopped;
}

RunMoveStep nextStep(const RunMove& move, const RunMoveOptions& options, MonotonicTime now)
{
    if (move.stoppedAt) {
        return move.answerEnd || now - *move.stoppedAt > options.closingTime ? RunMoveStep::Continue : RunMoveStep::Wait;
    }
    if (!move.answerEnd) {
        return RunMoveStep::Wait;
    }
    if (move.answerEnd == AnswerEnd::Marked) {
        return RunMoveStep::Complete;
    }
    if (move.openOrders > 0) {
        return now - move.answerEndedAt > options.orderPatience ? RunMoveStep::Fail : RunMoveStep::Wait;
    }
    return move.answerEnd == AnswerEnd::Closed && !move.mayBeStopped ? RunMoveStep::Complete : RunMoveStep::Fail;
}

std::string_view stopOrderEndName(StopOrderEnd end)
{
    switch (end) {
    case StopOrderEnd::Stopped:
        return "stopped";
    case StopOrderEnd::Refused:
        return "refused";
    case StopOrderEnd::Unknown:
        break;
    }
    return "unknown";
}

} // namespace siskinspread
