#include "AtMostOnceModel.h"

#include <algorithm>

namespace siskinspread {

// Losses of several hosts at once while the store is away, and what is noted of the requests that they held.

void AtMostOnceModel::setStoreAway(bool away)
{
    for (const Ref node : m_hosts) {
        if (away) {
            m_storeCut.insert(node->host);
        } else {
            m_storeCut.erase(node->host);
        }
    }
}

void AtMostOnceModel::endOwnerAndHolder(uint32_t slice)
{
    const Ref owner = find(m_map.slices[slice].owner);
    if (owner == m_nodes.end() || !owner->log.copyHolder) {
        return;
    }
    endTogether({ owner->host, find(*owner->log.copyHolder)->host }, slice, m_coverage.ownerAndHolderLost);
}

void AtMostOnceModel::endFailureDomain(uint32_t slice)
{
    const Ref owner = find(m_map.slices[slice].owner);
    if (owner != m_nodes.end()) {
        endTogether({ owner->host, owner->host ^ 1U }, slice, m_coverage.domainLost);
    }
}

/** The hosts of the owner's domain hold copies of its entries, have time to hand them over, and end. */
void AtMostOnceModel::endAnnouncedDomain(uint32_t slice)
{
    const Ref owner = find(m_map.slices[slice].owner);
    const Ref neighbour = owner == m_nodes.end() ? owner : m_hosts[owner->host ^ 1U];
    if (owner == m_nodes.end() || !owner->alive || neighbour->holder.owners[owner->log.self].records.empty()) {
        return;
    }
    for (const size_t host : { owner->host, owner->host ^ 1U }) {
        handOverCopies(m_hosts[host], m_hosts[host ^ 2U]);
    }
    ++m_coverage.domainAnnounced;
    setStoreAway(true);
    for (const size_t host : { owner->host, owner->host ^ 1U }) {
        m_hosts[host]->alive = false;
    }
}

void AtMostOnceModel::handOverCopies(Ref node, Ref heir)
{
    if (!node->alive || node->paused || !heir->alive || heir->paused) {
        return;
    }
    std::vector<CopyHolderAction> offers;
    step(node->holder, {}, HandOverDue {}, offers);
    for (const CopyHolderAction& offer : offers) {
        std::vector<CopyHolderAction> answers;
        step(heir->holder, {}, PartOffered { .part = std::get<OfferPart>(offer).part }, answers);
    }
}

/** Asks all hosts that can be reached now. */
std::optional<std::vector<LogRecord>> AtMostOnceModel::adoptedCopies(Ref asker, const SealCopies& action)
{
    for (const Ref host : m_hosts) {
        if (!host->alive || host->paused || m_peerCut.contains(std::minmax(asker->host, host->host))) {
            continue;
        }
        std::vector<CopyHolderAction> answers;
        step(host->holder, {}, AdoptedRequested { .owner = action.incarnation, .holder = action.holder }, answers);
        const auto& records = std::get<ReturnAdopted>(answers.front()).records;
        if (records) {
            m_coverage.sealedFromAdopted += records->empty() ? 0 : 1;
            return records;
        }
    }
    return std::nullopt;
}

void AtMostOnceModel::endTogether(const std::set<size_t>& hosts, uint32_t slice, size_t& counter)
{
    setStoreAway(true);
    const Ref owner = find(m_map.slices[slice].owner);
    const bool wasAlive = owner->alive;
    for (const size_t host : hosts) {
        m_hosts[host]->alive = false;
    }
    if (wasAlive && !owner->alive) {
        noteLoss(owner, counter);
    }
}

void AtMostOnceModel::noteLoss(Ref owner, size_t& counter)
{
    const bool holderLost = owner->log.copyHolder && !find(*owner->log.copyHolder)->alive;
    bool lost = false;
    for (const auto& [request, key] : owner->owner.requests) {
        if (!holderLost || !m_copied.contains(request) || isInLog(request)) {
            continue;
        }
        lost = true;
        m_lost.emplace(key, request);
        m_coverage.ranBeforeLoss += m_told[request].ran ? 1 : 0;
    }
    counter += lost ? 1 : 0;
}

void AtMostOnceModel::requestLostKey(size_t index)
{
    if (m_lost.empty()) {
        return;
    }
    const IdempotencyKey key = std::next(m_lost.begin(), static_cast<std::ptrdiff_t>(index % m_lost.size()))->first;
    const Ref owner = find(m_map.slices[sliceOf(key, m_options.slices)].owner);
    if (owner != m_nodes.end()) {
        request(owner, static_cast<uint32_t>(std::stoul(key.text.substr(3))), false);
    }
}

/** After all faults: every slice with such a key moves to a live host, which is then asked for the key. */
void AtMostOnceModel::tryLostKeys()
{
    for (size_t index = 0; index < m_lost.size(); ++index) {
        const auto& [key, request] = *std::next(m_lost.begin(), static_cast<std::ptrdiff_t>(index));
        const uint32_t slice = sliceOf(key, m_options.slices);
        const Ref taker = m_hosts[find(request.incarnation)->host ^ 2U];
        if (m_map.slices[slice].owner == request.incarnation && taker->alive) {
            takeSlice(taker, slice);
            drain();
        }
        requestLostKey(index);
        drain();
    }
}

bool AtMostOnceModel::isInLog(const RequestId& request) const
{
    return std::any_of(m_batches.begin(), m_batches.end(), [&](const auto& batch) {
        const auto& records = batch.second.records;
        return batch.second.incarnation == request.incarnation && std::any_of(records.begin(), records.end(), [&](const LogRecord& record) {
            const auto* intent = std::get_if<IntentEntry>(&record.entry);
            return intent && intent->request == request;
        });
    });
}

/** A write that was under way may still have reached the store, and the copies may have been sealed before the loss. */
bool AtMostOnceModel::isRecordLost(const RequestId& request) const
{
    const auto sealed = m_sealed.find(request.incarnation);
    return sealed != m_sealed.end() && !sealed->second.complete && !isInLog(request);
}

void AtMostOnceModel::noteSuperseded(Ref node, const AtMostOnceEvent& event)
{
    const auto isSuperseded = [&](const RequestId& request, uint32_t attempt) {
        const auto open = node->owner.requests.find(request);
        if (open == node->owner.requests.end()) {
            return true;
        }
        const KeyRecord& record = node->owner.keys.at(open->second);
        return record.phase != KeyPhase::Dispatched || record.attempts != attempt;
    };
    if (const auto* answered = std::get_if<AttemptAnswered>(&event)) {
        m_coverage.supersededAnswers += isSuperseded(answered->request, answered->attempt) ? 1 : 0;
    } else if (const auto* refused = std::get_if<AttemptNotRun>(&event)) {
        m_coverage.supersededAnswers += isSuperseded(refused->request, refused->attempt) ? 1 : 0;
    }
}

void AtMostOnceModel::noteTold(const Told& about, const AnswerRequest& answer)
{
    const auto lost = m_lost.find(about.key);
    const bool answeredByOwner = answer.result != ResultCode::SliceOwnerUnknown && answer.result != ResultCode::LogClosed;
    if (lost != m_lost.end() && lost->second.incarnation != answer.request.incarnation && answeredByOwner && isRecordLost(lost->second)) {
        ++m_coverage.triedAfterLoss;
        if (answer.result == ResultCode::Ok) {
            violate("b: " + formatRequestId(answer.request) + " was answered though the record of its key was lost");
        }
    }
    m_coverage.triedDuringTakeover += about.triedDuringTakeover ? 1 : 0;
}

} // namespace siskinspread
