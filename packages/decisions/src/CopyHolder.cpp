#include "siskinspread/CopyHolder.h"

namespace siskinspread {

namespace {

    size_t bytesOf(const std::vector<LogRecord>& records)
    {
        size_t bytes = 0;
        for (const LogRecord& record : records) {
            bytes += encodedSize(record.entry);
        }
        return bytes;
    }

    void dropUpTo(CopyHolderState& state, HeldCopies& held, uint64_t position)
    {
        while (!held.records.empty() && held.records.begin()->first <= position) {
            state.bytes -= encodedSize(held.records.begin()->second.entry);
            held.records.erase(held.records.begin());
        }
    }

    void on(CopyHolderState& state, const CopyHolderOptions& options, const CopiesArrived& event, std::vector<CopyHolderAction>& actions)
    {
        if (event.addressee != state.self) {
            actions.emplace_back(RefuseCopies { .owner = event.owner, .permanent = true });
            return;
        }
        HeldCopies& held = state.owners[event.owner];
        if (held.sealed) {
            actions.emplace_back(RefuseCopies { .owner = event.owner, .permanent = true });
            return;
        }
        dropUpTo(state, held, event.loggedUpTo);
        if (event.records.empty()) {
            return;
        }
        if (state.bytes + bytesOf(event.records) > options.maxBytes) {
            actions.emplace_back(RefuseCopies { .owner = event.owner, .permanent = false });
            return;
        }
        for (const LogRecord& record : event.records) {
            if (held.records.emplace(record.position, record).second) {
                state.bytes += encodedSize(record.entry);
            }
        }
        actions.emplace_back(AcknowledgeCopies { .owner = event.owner, .upTo = event.records.back().position });
    }

    void on(CopyHolderState& state, const CopyHolderOptions& /*options*/, const SealRequested& event, std::vector<CopyHolderAction>& actions)
    {
        if (event.addressee != state.self) {
            actions.emplace_back(AddresseeGone { .to = event.by, .owner = event.owner });
            return;
        }
        HeldCopies& held = state.owners[event.owner];
        held.sealed = true;
        ReturnSealedCopies answer { .to = event.by, .owner = event.owner, .records = {} };
        for (const auto& [position, record] : held.records) {
            answer.records.push_back(record);
        }
        actions.emplace_back(std::move(answer));
    }

    void on(CopyHolderState& state, const CopyHolderOptions& /*options*/, const SealedCopyStored& event, std::vector<CopyHolderAction>& /*actions*/)
    {
        const auto held = state.owners.find(event.owner);
        if (held == state.owners.end() || !held->second.sealed) {
            return;
        }
        // The mark stays, so that the owner can never again have copies acknowledged.
        dropUpTo(state, held->second, UINT64_MAX);
    }

} // namespace

void step(CopyHolderState& state, const CopyHolderOptions& options, const CopyHolderEvent& event, std::vector<CopyHolderAction>& actions)
{
    std::visit([&](const auto& value) { on(state, options, value, actions); }, event);
}

} // namespace siskinspread
