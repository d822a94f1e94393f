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

    /** @return all that is held, the records of one owner in parts of a bounded size. */
    std::vector<CopiesPart> partsOf(const CopyHolderState& state, const CopyHolderOptions& options)
    {
        std::vector<CopiesPart> parts;
        for (const auto& [owner, held] : state.owners) {
            size_t bytes = options.maxPartBytes;
            for (const auto& [position, record] : held.records) {
                const size_t recordBytes = encodedSize(record.entry);
                if (bytes + recordBytes > options.maxPartBytes) {
                    parts.push_back({ .holder = state.self, .owner = owner, .records = {} });
                    bytes = 0;
                }
                bytes += recordBytes;
                parts.back().records.push_back(record);
            }
        }
        if (parts.empty()) {
            parts.push_back({ .holder = state.self, .owner = {}, .records = {} });
        }
        for (size_t index = 0; index < parts.size(); ++index) {
            parts[index].number = index + 1;
            parts[index].parts = parts.size();
        }
        return parts;
    }

    void on(CopyHolderState& state, const CopyHolderOptions& options, const CopiesArrived& event, std::vector<CopyHolderAction>& actions)
    {
        if (event.addressee != state.self || state.leaving) {
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

    void on(CopyHolderState& state, const CopyHolderOptions& options, const HandOverDue& /*event*/, std::vector<CopyHolderAction>& actions)
    {
        // From here on nothing is acknowledged, so the parts are final and may answer for this host when it is gone.
        state.leaving = true;
        for (const CopiesPart& part : partsOf(state, options)) {
            actions.emplace_back(OfferPart { .part = part });
        }
        for (const auto& [holder, parts] : state.adopted) {
            for (const auto& [number, part] : parts) {
                actions.emplace_back(OfferPart { .part = part });
            }
        }
    }

    void on(CopyHolderState& state, const CopyHolderOptions& options, const PartOffered& event, std::vector<CopyHolderAction>& actions)
    {
        auto& parts = state.adopted[event.part.holder];
        const size_t bytes = bytesOf(event.part.records);
        const bool isKnown = parts.contains(event.part.number);
        const bool taken = !state.leaving && (isKnown || state.bytes + bytes <= options.maxBytes);
        if (taken && !isKnown) {
            parts.emplace(event.part.number, event.part);
            state.bytes += bytes;
        }
        actions.emplace_back(AnswerOffer { .taken = taken });
    }

    void on(CopyHolderState& state, const CopyHolderOptions& /*options*/, const AdoptedRequested& event, std::vector<CopyHolderAction>& actions)
    {
        ReturnAdopted answer;
        const auto adopted = state.adopted.find(event.holder);
        if (adopted != state.adopted.end() && !adopted->second.empty() && adopted->second.size() == adopted->second.begin()->second.parts) {
            answer.records.emplace();
            for (const auto& [number, part] : adopted->second) {
                if (part.owner == event.owner) {
                    answer.records->insert(answer.records->end(), part.records.begin(), part.records.end());
                }
            }
        }
        actions.emplace_back(std::move(answer));
    }

} // namespace

void step(CopyHolderState& state, const CopyHolderOptions& options, const CopyHolderEvent& event, std::vector<CopyHolderAction>& actions)
{
    std::visit([&](const auto& value) { on(state, options, value, actions); }, event);
}

} // namespace siskinspread
