#include "siskinspread/SliceKeeper.h"

#include "siskinspread/RecordCodec.h"
#include "siskinspread/RetryBudget.h"

#include <algorithm>

namespace siskinspread {

namespace {

    constexpr std::chrono::milliseconds reviewInterval { 250 };
    constexpr RetryDelayOptions watchRetry { .first = std::chrono::milliseconds { 200 }, .longest = std::chrono::milliseconds { 5000 } };

} // namespace

SliceKeeper::SliceKeeper(HostContext& context, Parts parts, ObjectApiOptions store)
    : m_context(context)
    , m_parts(parts)
    , m_store(std::move(store))
{
}

void SliceKeeper::start()
{
    // The first read tells whether the map exists; a watch of an absent object would wait.
    m_context.platform.start(readObject(m_store, slicesObject), [this](const ClientEvent& event) {
        const auto& ended = std::get<TransferEnded>(event);
        m_known = storeResult(ended, false) == StoreResult::Absent;
        onWatchAnswer(ended);
    });
    review();
}

void SliceKeeper::watch()
{
    m_context.platform.start(watchObject(m_store, slicesObject, m_version), [this](const ClientEvent& event) { onWatchAnswer(std::get<TransferEnded>(event)); });
}

void SliceKeeper::onWatchAnswer(const TransferEnded& ended)
{
    const StoreResult result = storeResult(ended, false);
    LastReason reason;
    auto map = result == StoreResult::Done ? decodeSliceMap(ended.body, reason) : std::nullopt;
    const bool answered = map || result == StoreResult::Unchanged || result == StoreResult::Absent;
    m_context.metrics.countStoreCall(StorePurpose::SliceMap, answered ? StoreOutcome::Answered : StoreOutcome::Unavailable);
    if (!answered) {
        ++m_failures;
        m_parts.timers.schedule(m_context.now + retryDelay(watchRetry, m_failures, nextSeed(m_context)) + watchRetry.first, [this] { watch(); });
        return;
    }
    m_failures = 0;
    if (map && storedVersion(ended) > m_version) {
        m_map = std::move(*map);
        m_version = storedVersion(ended);
        m_known = true;
        m_parts.peers.expect(owners());
        openOwnSlices();
    }
    watch();
}

void SliceKeeper::review()
{
    m_parts.timers.schedule(m_context.now + reviewInterval, [this] { review(); });
    if (!m_known || m_writing || m_released) {
        return;
    }
    if (m_version) {
        takeOver();
    } else {
        createMap();
    }
}

std::set<IncarnationId> SliceKeeper::owners() const
{
    std::set<IncarnationId> owners;
    for (const SliceAssignment& assignment : m_map.slices) {
        if (!assignment.owner.text.empty()) {
            owners.insert(assignment.owner);
        }
    }
    return owners;
}

void SliceKeeper::createMap()
{
    SliceMap map;
    map.slices.resize(m_parts.desk.options().slices.sliceCount);
    m_writing = true;
    m_context.platform.start(createObject(m_store, slicesObject, encodeSliceMap(map)), [this](const ClientEvent& event) {
        m_context.metrics.countStoreCall(StorePurpose::SliceMap, storeResult(std::get<TransferEnded>(event), true) == StoreResult::Done ? StoreOutcome::Answered : StoreOutcome::Conflict);
        m_writing = false; // the watch brings the map, whoever created it
    });
}

std::vector<SliceOwnerCandidate> SliceKeeper::failureDomains() const
{
    std::vector<SliceOwnerCandidate> known;
    for (const SliceAssignment& assignment : m_map.slices) {
        const schema::PeerSettings* peer = findPeer(m_context.settings, hostOf(assignment.owner));
        if (peer) {
            known.push_back({ .incarnation = assignment.owner, .failureDomain = peer->failure_domain() });
        }
    }
    return known;
}

void SliceKeeper::takeOver()
{
    auto moves = planSliceMoves(m_map, m_parts.peers.live(), m_parts.peers.ended(), failureDomains(), m_parts.desk.options().slices);
    std::erase_if(moves, [this](const SliceMove& move) { return move.taker != m_context.incarnation; });
    std::vector<SliceMove> ready;
    for (const SliceMove& move : moves) {
        if (move.from.text.empty() && !m_parts.peers.hasJoined()) {
            continue; // hosts that start together share the slices that nobody owns
        }
        if (move.from.text.empty() || m_parts.closer.find(move.from)) {
            ready.push_back(move);
        } else {
            m_parts.closer.close(move.from, [](const LogHistory&) {}); // the next review goes on
        }
    }
    if (!ready.empty()) {
        writeMoves(ready);
    }
}

void SliceKeeper::writeMoves(const std::vector<SliceMove>& moves)
{
    LastReason reason;
    const auto next = applySliceMoves(m_map, moves, m_context.wall, m_parts.desk.options().slices, reason);
    if (!next) {
        return;
    }
    m_writing = true;
    m_context.platform.start(replaceObject(m_store, slicesObject, m_version, encodeSliceMap(*next)), [this](const ClientEvent& event) {
        const StoreResult result = storeResult(std::get<TransferEnded>(event), true);
        m_context.metrics.countStoreCall(StorePurpose::SliceMap, result == StoreResult::Done ? StoreOutcome::Answered : StoreOutcome::Conflict);
        m_writing = false; // the map as the watch brings it says what took effect
    });
}

void SliceKeeper::openOwnSlices()
{
    const auto& open = m_parts.desk.state().slices;
    for (uint32_t slice = 0; slice < m_map.slices.size(); ++slice) {
        const bool isOwn = m_map.slices[slice].owner == m_context.incarnation;
        if (!isOwn && open.contains(slice)) {
            m_parts.desk.releaseSlice(slice);
        } else if (isOwn && !open.contains(slice) && !m_released && m_opening.insert(slice).second) {
            openSlice(slice);
        }
    }
}

// Closes the logs one after another; each has ended already, so this reads them only.
void SliceKeeper::openSlice(uint32_t slice)
{
    const SliceAssignment& assignment = m_map.slices[slice];
    std::vector<LogHistory> histories;
    for (const PreviousOwner& previous : assignment.previous) {
        const LogHistory* history = m_parts.closer.find(previous.incarnation);
        if (!history) {
            m_parts.closer.close(previous.incarnation, [this, slice](const LogHistory&) { openSlice(slice); });
            return;
        }
        histories.push_back(*history);
    }
    m_opening.erase(slice);
    if (assignment.owner == m_context.incarnation && !m_released) {
        m_parts.desk.takeSlice({ .slice = slice, .assignment = assignment, .histories = std::move(histories) });
    }
}

void SliceKeeper::release()
{
    m_released = true;
    std::vector<uint32_t> own;
    for (const auto& [slice, state] : m_parts.desk.state().slices) {
        own.push_back(slice);
    }
    for (const uint32_t slice : own) {
        m_parts.desk.releaseSlice(slice);
    }
}

std::vector<IncarnationId> SliceKeeper::ownersOfKey(const IdempotencyKey& key) const
{
    std::vector<IncarnationId> owners;
    const uint32_t slice = sliceOf(key, m_parts.desk.options().slices);
    if (slice >= m_map.slices.size()) {
        return owners;
    }
    const SliceAssignment& assignment = m_map.slices[slice];
    if (!assignment.owner.text.empty()) {
        owners.push_back(assignment.owner);
    }
    for (auto previous = assignment.previous.rbegin(); previous != assignment.previous.rend(); ++previous) {
        owners.push_back(previous->incarnation);
    }
    return owners;
}

bool SliceKeeper::isSettled() const
{
    if (m_map.slices.empty()) {
        return false;
    }
    return std::all_of(m_map.slices.begin(), m_map.slices.end(), [this](const SliceAssignment& assignment) {
        return !assignment.owner.text.empty() && !m_parts.peers.ended().contains(assignment.owner);
    });
}

} // namespace siskinspread
