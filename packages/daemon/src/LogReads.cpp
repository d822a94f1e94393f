#include "siskinspread/LogReads.h"

#include "siskinspread/RecordCodec.h"

namespace siskinspread {

namespace {

    /** @return the event of a read of one batch; nothing found is an answer, no answer is a failure. */
    LogClosingEvent batchEvent(uint64_t number, const TransferEnded& ended)
    {
        const StoreResult result = storeResult(ended, false);
        if (result == StoreResult::Absent) {
            return BatchFound { .number = number, .batch = std::nullopt };
        }
        LastReason reason;
        auto batch = result == StoreResult::Done ? decodeLogBatch(ended.body, reason) : std::nullopt;
        if (!batch) {
            return CallFailed {};
        }
        return BatchFound { .number = number, .batch = std::move(batch) };
    }

    LogClosingEvent sealedEvent(const TransferEnded& ended)
    {
        const StoreResult result = storeResult(ended, false);
        if (result == StoreResult::Absent) {
            return SealedCopyFound { .copy = std::nullopt };
        }
        LastReason reason;
        auto copy = result == StoreResult::Done ? decodeSealedCopy(ended.body, reason) : std::nullopt;
        if (!copy) {
            return CallFailed {};
        }
        return SealedCopyFound { .copy = std::move(copy) };
    }

    void countRead(HostContext& context, const TransferEnded& ended)
    {
        const StoreResult result = storeResult(ended, false);
        const bool answered = result == StoreResult::Done || result == StoreResult::Absent;
        context.metrics.countStoreCall(StorePurpose::IncarnationLog, answered ? StoreOutcome::Answered : StoreOutcome::Unavailable);
    }

} // namespace

void readLogBatch(HostContext& context, const ObjectApiOptions& store, const ReadBatch& action, LogReadDone done)
{
    context.platform.start(readObject(store, logBatchName(action.incarnation, action.number)), [&context, number = action.number, done = std::move(done)](const ClientEvent& event) {
        const auto& ended = std::get<TransferEnded>(event);
        countRead(context, ended);
        done(batchEvent(number, ended));
    });
}

void readSealedCopy(HostContext& context, const ObjectApiOptions& store, const ReadSealedCopy& action, LogReadDone done)
{
    context.platform.start(readObject(store, sealedCopyName(action.incarnation)), [&context, done = std::move(done)](const ClientEvent& event) {
        const auto& ended = std::get<TransferEnded>(event);
        countRead(context, ended);
        done(sealedEvent(ended));
    });
}

} // namespace siskinspread
