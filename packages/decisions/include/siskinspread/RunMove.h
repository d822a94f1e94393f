#pragma once

#include "siskinspread/Time.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

/** @file How a stream ends whose replica was ordered to stop the run, so that another replica carries it on. */

namespace siskinspread {

/** What the sender of an order to stop a run knows of it once it has ended. */
enum class StopOrderEnd : uint8_t {
    Stopped, /**< The replica has stopped the run and told where its memory lies. */
    Refused, /**< The replica did not carry the order out and never will. */
    Unknown, /**< The order may have been carried out, or may be later. */
};

/** How an answer ended. A replica closes the stream of a run that it stops. */
enum class AnswerEnd : uint8_t {
    Marked, /**< By its length or its last chunk. */
    Closed, /**< By an orderly close, where that is what ends it. */
    Broken, /**< Before its end. */
};

/** The orders to stop one run, and the end of its answer. */
struct RunMove {
    uint32_t openOrders { 0 }; /**< Sent and not ended. */
    std::optional<MonotonicTime> stoppedAt; /**< An order ended as Stopped. */
    bool mayBeStopped { false }; /**< An order ended as Unknown. */
    std::optional<AnswerEnd> answerEnd;
    MonotonicTime answerEndedAt {}; /**< Where `answerEnd` is set. */
};

struct RunMoveOptions {
    std::chrono::milliseconds closingTime { 150 }; /**< In which a replica that has stopped a run closes its stream. */
    /** For an order that is still open when the answer has ended: callers wait at least this long for the next event. */
    std::chrono::milliseconds orderPatience { 2000 };
};

enum class RunMoveStep : uint8_t {
    Wait,
    Continue, /**< At the replica that has the memory. */
    Complete, /**< The answer is whole: no order stopped the run. */
    Fail, /**< The answer lacks its end, or may lack it. */
};

/** Notes that an order was sent. Thread safety: one thread at a time for each run. */
void noteOrderSent(RunMove&);

/** Notes the end of an order. Precondition: one is open. Thread safety: as noteOrderSent. */
void noteOrderEnded(RunMove&, StopOrderEnd, MonotonicTime now);

/** Notes the end of the answer; a second end changes nothing. Thread safety: as noteOrderSent. */
void noteAnswerEnded(RunMove&, AnswerEnd, MonotonicTime now);

/** @return whether the end of the answer depends on orders to stop the run. Thread safety: reentrant. */
bool dependsOnOrders(const RunMove&);

/** @return what is to be done. To be asked after every event, and again every 50 ms or so. Thread safety: reentrant. */
RunMoveStep nextStep(const RunMove&, const RunMoveOptions&, MonotonicTime now);

/** @return the name for logs, such as "stopped". Thread safety: reentrant. */
std::string_view stopOrderEndName(StopOrderEnd);

} // namespace siskinspread
