#include "siskinspread/DutyLease.h"

#include <algorithm>

namespace siskinspread {

namespace {

    struct Stepper {
        LeaseCountedFrom countedFrom;
        LeaseState& state;
        const LeaseOptions& options;
        MonotonicTime now;
        std::vector<LeaseAction>& actions;

        bool isOwnRecord() const { return state.seen && state.seen->record.holder == state.self; }

        bool isValid() const { return state.held && now < state.validUntil; }

        MonotonicTime mayTakeAt() const
        {
            const bool isFree = state.seen->record.holder.empty();
            return state.unchangedSince + (isFree ? std::chrono::milliseconds { 0 } : options.duration) + options.rankDelay * state.rank.value_or(0);
        }

        void scheduleNext() const
        {
            state.retryDelay = std::chrono::milliseconds { 0 };
            state.nextCallAt = now + (state.held ? options.renewInterval : options.pollInterval);
            if (!state.held && state.seen && now < mayTakeAt()) {
                state.nextCallAt = std::min(state.nextCallAt, mayTakeAt());
            }
        }

        void scheduleRetry() const
        {
            state.retryDelay = std::min(std::max(options.retryInterval, state.retryDelay * 2), options.pollInterval);
            state.nextCallAt = now + state.retryDelay;
        }

        void observe(const LeaseRead& read) const
        {
            if (!state.seen || state.seen->objectVersion != read.objectVersion) {
                state.unchangedSince = now;
            }
            state.seen = read;
        }

        void endLease() const
        {
            if (state.held) {
                state.held = false;
                actions.emplace_back(LeaseEnded {});
            }
        }

        void confirm(const LeaseRecord& record) const
        {
            const MonotonicTime start = countedFrom == LeaseCountedFrom::Ask ? state.unsettledAskedAt : now;
            state.unsettledWrite.reset();
            if (state.released) {
                return;
            }
            const MonotonicTime validUntil = start + options.duration - options.margin;
            const bool afterLapse = !state.held && record.fencingNumber <= state.fencingNumber;
            if (now >= validUntil || afterLapse) {
                endLease(); // confirmed too late to be of use; the record is renewed with a new fencing number
                return;
            }
            state.validUntil = validUntil;
            const bool gained = !state.held || state.fencingNumber != record.fencingNumber;
            state.held = true;
            state.fencingNumber = record.fencingNumber;
            if (gained) {
                actions.emplace_back(LeaseGained { .fencingNumber = record.fencingNumber });
            }
        }

        bool mayTake() const
        {
            if (state.seen->objectVersion == 0 || isOwnRecord()) {
                return true;
            }
            return now >= mayTakeAt();
        }

        void writeRelease() const
        {
            if (state.callOpen || !state.seen || !isOwnRecord()) {
                return;
            }
            state.callOpen = true;
            state.unsettledWrite = LeaseRecord { .holder = {}, .fencingNumber = state.seen->record.fencingNumber, .writeId = state.self + "/" + std::to_string(++state.writeCount) };
            actions.emplace_back(WriteLease { .record = *state.unsettledWrite, .ifObjectVersion = state.seen->objectVersion });
        }

        void write() const
        {
            const uint64_t fencing = isValid() ? state.fencingNumber : state.seen->record.fencingNumber + 1;
            LeaseRecord record { .holder = state.self, .fencingNumber = fencing, .writeId = state.self + "/" + std::to_string(++state.writeCount) };
            state.unsettledWrite = record;
            state.unsettledAskedAt = now;
            state.callOpen = true;
            actions.emplace_back(WriteLease { .record = std::move(record), .ifObjectVersion = state.seen->objectVersion });
        }

        void read() const
        {
            state.callOpen = true;
            actions.emplace_back(ReadLease {});
        }

        void operator()(const LeaseRead& answer) const
        {
            state.callOpen = false;
            observe(answer);
            if (state.unsettledWrite && *state.unsettledWrite == answer.record) {
                confirm(answer.record);
            } else if (answer.record.holder != state.self || (state.held && answer.record.fencingNumber != state.fencingNumber)) {
                endLease();
            }
            if (state.released) {
                writeRelease();
                return;
            }
            if (mayTake() && !isValid() && state.rank) {
                write();
                return;
            }
            scheduleNext();
        }

        void operator()(const LeaseReadFailed&) const
        {
            state.callOpen = false;
            scheduleRetry();
        }

        void operator()(const LeaseWritten& answer) const
        {
            state.callOpen = false;
            const LeaseRecord record = *state.unsettledWrite;
            observe({ .record = record, .objectVersion = answer.objectVersion });
            confirm(record);
            if (state.released) {
                writeRelease();
                return;
            }
            if (!isValid() && state.rank) {
                write();
                return;
            }
            scheduleNext();
        }

        void operator()(const LeaseWriteRefused&) const
        {
            read(); // the object may carry an earlier write of this process whose answer was lost
        }

        void operator()(const LeaseWriteUnanswered&) const
        {
            state.callOpen = false;
            state.seen.reset(); // the version is not known any more
            scheduleRetry();
        }

        void operator()(const LeaseCandidacy& candidacy) const
        {
            if (!state.released) {
                state.rank = candidacy.rank;
            }
        }

        void operator()(const LeaseRelease&) const
        {
            state.rank.reset();
            state.released = true;
            endLease();
            writeRelease();
        }

        void operator()(const LeaseTick&) const
        {
            if (state.held && now >= state.validUntil) {
                endLease();
            }
            if (state.callOpen || now < state.nextCallAt) {
                return;
            }
            if (!state.rank && !state.held) {
                return;
            }
            if (isValid() && isOwnRecord()) {
                write();
                return;
            }
            read();
        }
    };

} // namespace

void step(LeaseState& state, const LeaseOptions& options, const LeaseEvent& event, MonotonicTime now, std::vector<LeaseAction>& actions)
{
    stepCountedFrom(LeaseCountedFrom::Ask, state, options, event, now, actions);
}

void stepCountedFrom(LeaseCountedFrom start, LeaseState& state, const LeaseOptions& options, const LeaseEvent& event, MonotonicTime now,
    std::vector<LeaseAction>& actions)
{
    std::visit(Stepper { start, state, options, now, actions }, event);
}

std::optional<uint64_t> heldFencingNumber(const LeaseState& state, MonotonicTime now)
{
    return state.held && now < state.validUntil ? std::optional<uint64_t> { state.fencingNumber } : std::nullopt;
}

} // namespace siskinspread
