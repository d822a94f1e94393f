#include "AtMostOnceModel.h"

namespace siskinspread {

void AtMostOnceModel::takeSlice(Ref node, uint32_t slice)
{
    if (m_naive || !node->alive || node->paused || node->log.closed) {
        return;
    }
    node->taking.insert(slice);
    toStore(
        node,
        [this, node, slice] {
            return [this, node, slice, map = m_map, version = m_mapVersion] { mapRead(node, slice, map, version); };
        },
        {});
}

bool AtMostOnceModel::historyLoaded(Ref node, const IncarnationId& incarnation)
{
    const auto found = node->closings.find(incarnation);
    if (found != node->closings.end()) {
        return found->second.phase == ClosingPhase::Done;
    }
    LogClosingState& closing = node->closings[incarnation];
    closing.self = node->log.self;
    closing.purpose = ClosingPurpose::Close;
    closing.history.incarnation = incarnation;
    closingEvent(node, incarnation, StartClosing {});
    return false;
}

void AtMostOnceModel::mapRead(Ref node, uint32_t slice, const SliceMap& map, uint64_t version)
{
    const SliceAssignment& assignment = map.slices[slice];
    if (assignment.owner == node->log.self) {
        SliceTaken taken { .slice = slice, .assignment = assignment, .histories = {} };
        for (const PreviousOwner& previous : assignment.previous) {
            if (!historyLoaded(node, previous.incarnation)) {
                return;
            }
            taken.histories.push_back(node->closings[previous.incarnation].history);
        }
        if (node->taking.erase(slice)) {
            m_coverage.takenOver += assignment.previous.empty() ? 0 : 1;
            ownerEvent(node, taken);
        }
        return;
    }
    if (!assignment.owner.text.empty() && !historyLoaded(node, assignment.owner)) {
        return;
    }
    LastReason reason;
    const auto changed = applySliceMoves(map, { { .slice = slice, .from = assignment.owner, .taker = node->log.self } }, now().wall, m_options.slices, reason);
    toStore(
        node,
        [this, node, slice, version, changed]() -> std::function<void()> {
            if (m_mapVersion == version && changed) {
                m_map = *changed;
                ++m_mapVersion;
            }
            return [this, node, slice] { takeSlice(node, slice); };
        },
        {});
}

void AtMostOnceModel::closingEvent(Ref node, const IncarnationId& incarnation, const LogClosingEvent& event)
{
    std::vector<LogClosingAction> actions;
    step(node->closings[incarnation], {}, event, now().monotonic, now().wall, actions);
    for (const LogClosingAction& action : actions) {
        perform(node, incarnation, action);
    }
}

void AtMostOnceModel::perform(Ref node, const IncarnationId& incarnation, const LogClosingAction& action)
{
    const auto failed = [this, node, incarnation] { closingEvent(node, incarnation, CallFailed {}); };
    auto ended = [this, node, incarnation] { closingEvent(node, incarnation, CreateEnded {}); };
    if (const auto* read = std::get_if<ReadBatch>(&action)) {
        const uint64_t number = read->number;
        toStore(
            node,
            [this, node, incarnation, number] {
                const auto found = m_batches.find({ incarnation, number });
                const BatchFound event { .number = number, .batch = found == m_batches.end() ? std::nullopt : std::optional(found->second) };
                return [this, node, incarnation, event] { closingEvent(node, incarnation, event); };
            },
            failed);
    } else if (const auto* create = std::get_if<CreateBatch>(&action)) {
        toStore(
            node,
            [this, ended, batch = create->batch] {
                m_batches.emplace(std::pair(batch.incarnation, batch.number), batch);
                return ended;
            },
            ended);
    } else if (std::holds_alternative<ReadSealedCopy>(action)) {
        toStore(
            node,
            [this, node, incarnation] {
                const auto found = m_sealed.find(incarnation);
                const SealedCopyFound event { .copy = found == m_sealed.end() ? std::nullopt : std::optional(found->second) };
                return [this, node, incarnation, event] { closingEvent(node, incarnation, event); };
            },
            failed);
    } else if (const auto* sealed = std::get_if<CreateSealedCopy>(&action)) {
        toStore(
            node,
            [this, ended, copy = sealed->copy] {
                m_coverage.historyLost += m_sealed.emplace(copy.incarnation, copy).second && !copy.complete ? 1 : 0;
                return ended;
            },
            ended);
    } else if (const auto* copies = std::get_if<SealCopies>(&action)) {
        seal(node, *copies);
    } else {
        for (const uint32_t slice : std::set<uint32_t>(node->taking)) {
            takeSlice(node, slice);
        }
    }
}

} // namespace siskinspread
