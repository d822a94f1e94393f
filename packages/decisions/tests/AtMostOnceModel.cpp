#include "AtMostOnceModel.h"

#include <algorithm>

namespace siskinspread {

namespace {

    constexpr size_t hostCount = 4; // two in each failure domain: 0 and 1, 2 and 3
    constexpr size_t hostsPerDomain = 2;
    constexpr uint32_t keyCount = 16;
    constexpr uint32_t firstDelivery = 60; // operations from here on deliver messages
    constexpr std::chrono::milliseconds requestTimeout { 5'000 };

    size_t otherHost(size_t host, uint32_t choice)
    {
        return (host + 1 + choice % (hostCount - 1)) % hostCount;
    }

    std::pair<size_t, size_t> pairOf(size_t host, uint32_t choice)
    {
        return std::minmax({ host, otherHost(host, choice) });
    }

} // namespace

AtMostOnceModel::AtMostOnceModel(bool naive, ModelCoverage& coverage)
    : m_naive(naive)
    , m_coverage(coverage)
{
    m_map.slices.resize(m_options.slices.sliceCount);
    for (size_t host = 0; host < hostCount; ++host) {
        m_hosts.push_back(start(host));
    }
    for (const Ref node : m_hosts) {
        logEvent(node, CopyHolderChosen { .holder = m_hosts[node->host ^ 1U]->log.self });
    }
    takeSlice(m_hosts[0], 0);
    takeSlice(m_hosts[hostsPerDomain], 1);
    drain();
}

AtMostOnceModel::Ref AtMostOnceModel::start(size_t host)
{
    const IncarnationId id { "host" + std::to_string(host) + "." + std::to_string(m_nodes.size()) };
    Node node;
    node.host = host;
    node.log.self = id;
    node.owner.self = id;
    node.holder.self = id;
    m_nodes.push_back(std::move(node));
    return std::prev(m_nodes.end());
}

AtMostOnceModel::Ref AtMostOnceModel::find(const IncarnationId& id)
{
    return std::find_if(m_nodes.begin(), m_nodes.end(), [&](const Node& node) { return node.log.self == id; });
}

void AtMostOnceModel::apply(const ModelStep& step)
{
    m_choice = step.second;
    const Ref node = nodeOf(step.first);
    const size_t index = m_messages.empty() ? 0 : step.first % m_messages.size();
    switch (step.operation) {
    case 0:
        break;
    case 1:
    case 2:
    case 3:
    case 4:
        request(node, step.second % keyCount, step.second % 16 == 15);
        break;
    case 5:
    case 6:
    case 7:
        requestAtOwner(step.second % keyCount, step.first % m_options.slices.sliceCount);
        break;
    case 8:
        lose(index, false);
        break;
    case 9:
        lose(index, true);
        break;
    case 10:
        repeatMessage(index);
        break;
    case 11:
        node->alive = false;
        break;
    case 12:
    case 13:
        restart(firstOr(node, [](const Node& one) { return !one.alive; }), step.second);
        break;
    case 14:
        node->paused = true;
        break;
    case 15:
    case 16:
        firstOr(node, [](const Node& one) { return one.paused; })->paused = false;
        break;
    case 17:
        m_storeCut.insert(node->host);
        break;
    case 18:
    case 19:
        m_storeCut.erase(firstOr(node, [this](const Node& one) { return m_storeCut.contains(one.host); })->host);
        break;
    case 20:
        m_peerCut.insert(pairOf(node->host, step.second));
        break;
    case 21:
    case 22:
        m_peerCut.erase(m_peerCut.empty() ? pairOf(node->host, step.second) : *m_peerCut.begin());
        break;
    case 24:
        takeSlice(node, abandonedSlice(step.second));
        break;
    case 23:
        node->suspected.insert(otherHost(node->host, step.second));
        takeSlice(node, step.second % m_options.slices.sliceCount);
        break;
    case 25:
        if (!m_told.empty()) {
            lookUpKey(m_told.begin()->second.key);
            lookUp(std::next(m_told.begin(), static_cast<std::ptrdiff_t>(step.second % m_told.size()))->first);
        }
        break;
    case 26:
    case 27:
    case 28:
    case 29:
        tick(std::chrono::milliseconds { step.first % 8 ? 120 : 1'500 });
        break;
    case 30:
        chooseHolder(node, step.second);
        break;
    case 31:
        setStoreAway(true);
        break;
    case 32:
    case 33:
    case 34:
        setStoreAway(false);
        break;
    case 35:
        endOwnerAndHolder(step.second % m_options.slices.sliceCount);
        break;
    case 36:
        endFailureDomain(step.second % m_options.slices.sliceCount);
        break;
    case 44:
    case 45:
    case 46:
    case 47:
        endAnnouncedDomain(step.second % m_options.slices.sliceCount);
        break;
    case 37:
    case 38:
        requestDuringTakeover(step.second % keyCount);
        break;
    case 39:
        requestLostKey(step.first);
        break;
    case 40:
    case 41:
    case 42:
    case 43:
        chooseHolder(firstOr(node, [this](const Node& one) { return needsHolder(one); }), step.second);
        break;
    default:
        if (step.operation < firstDelivery) {
            requestAtOwner(step.second % keyCount, step.first % m_options.slices.sliceCount);
            break;
        }
        deliver(index);
        deliver(step.second);
    }
}

/** Repairs go to a host that has the fault, so that several faults at once stay rarer than one. */
AtMostOnceModel::Ref AtMostOnceModel::firstOr(Ref otherwise, const std::function<bool(const Node&)>& condition) const
{
    const auto found = std::find_if(m_hosts.begin(), m_hosts.end(), [&](const Ref node) { return condition(*node); });
    return found == m_hosts.end() ? otherwise : *found;
}

/** A slice without a living owner, where there is one. */
uint32_t AtMostOnceModel::abandonedSlice(uint32_t choice)
{
    for (uint32_t slice = 0; slice < m_options.slices.sliceCount; ++slice) {
        const Ref owner = find(m_map.slices[slice].owner);
        if (owner == m_nodes.end() || !owner->alive) {
            return slice;
        }
    }
    return choice % m_options.slices.sliceCount;
}

void AtMostOnceModel::requestAtOwner(uint32_t keyNumber, uint32_t slice)
{
    const Ref owner = find(m_map.slices[slice].owner);
    if (owner != m_nodes.end()) {
        request(owner, keyNumber, false);
    }
}

void AtMostOnceModel::requestDuringTakeover(uint32_t keyNumber)
{
    const auto taking = std::find_if(m_hosts.begin(), m_hosts.end(), [](const Ref node) { return node->alive && !node->taking.empty(); });
    if (taking != m_hosts.end()) {
        request(*taking, keyNumber, false);
    }
}

void AtMostOnceModel::repeatMessage(size_t index)
{
    // The call to the backend server takes a fresh connection, so it is not sent twice; its answer may well be.
    if (!m_messages.empty() && (m_messages[index].channel != Channel::Backend || m_messages[index].answer)) {
        m_messages.push_back(m_messages[index]);
    }
}

void AtMostOnceModel::restart(Ref node, uint32_t choice)
{
    if (!node->alive) {
        m_hosts[node->host] = start(node->host);
        chooseHolder(m_hosts[node->host], choice);
    }
}

void AtMostOnceModel::chooseHolder(Ref node, uint32_t choice)
{
    const Ref holder = m_hosts[otherHost(node->host, choice)];
    if (node->alive && !node->paused && holder->alive) {
        logEvent(node, CopyHolderChosen { .holder = holder->log.self });
    }
}

/** Membership would choose another holder for it. */
bool AtMostOnceModel::needsHolder(const Node& node)
{
    const auto& declared = node.log.pendingHolder ? node.log.pendingHolder : node.log.copyHolder;
    return node.alive && !node.paused && !node.log.closed && (!declared || !find(*declared)->alive);
}

// Requests

void AtMostOnceModel::request(Ref node, uint32_t keyNumber, bool otherBody)
{
    if (!node->alive || node->paused) {
        return;
    }
    const IdempotencyKey key { .customer = "customer", .text = "key" + std::to_string(keyNumber) };
    if (m_naive) {
        std::vector<IncarnationId> live;
        for (const Ref other : m_hosts) {
            if (other == node || (other->alive && !node->suspected.contains(other->host))) {
                live.push_back(other->log.self);
            }
        }
        if (naiveOwner(key, live) != node->log.self) {
            return;
        }
    }
    node->sequence = nextSequence(node->sequence, true);
    const RequestId id { .incarnation = node->log.self, .sequence = node->sequence };
    m_told[id].key = key;
    m_told[id].triedDuringTakeover = node->taking.contains(sliceOf(key, m_options.slices));
    ownerEvent(node, RequestArrived {
                         .request = id,
                         .refusalId = node->log.self.text + std::string { refusalMark } + std::to_string(node->sequence),
                         .key = key,
                         .digest = { .high = 0, .low = otherBody ? 2U : 1U },
                         .service = "booking",
                         .entryHost = "entry",
                         .candidates = { "b" + std::to_string(keyNumber % 3), "b" + std::to_string((keyNumber + 1) % 3) },
                         .deadline = now().monotonic + requestTimeout,
                     });
}

void AtMostOnceModel::ownerEvent(Ref node, const AtMostOnceEvent& event)
{
    noteSuperseded(node, event);
    std::vector<AtMostOnceAction> actions;
    if (m_naive) {
        step(node->naive, m_options, event, actions);
    } else {
        step(node->owner, m_options, event, now(), actions);
    }
    for (const AtMostOnceAction& action : actions) {
        perform(node, action);
    }
}

void AtMostOnceModel::perform(Ref node, const AtMostOnceAction& action)
{
    if (const auto* intent = std::get_if<RecordIntent>(&action)) {
        append(node, intent->entry.request, true, intent->entry);
    } else if (const auto* outcome = std::get_if<RecordOutcome>(&action)) {
        append(node, outcome->entry.account.request, false, outcome->entry);
    } else if (const auto* account = std::get_if<RecordAccount>(&action)) {
        append(node, {}, false, account->entry);
    } else if (const auto* dispatched = std::get_if<DispatchRequest>(&action)) {
        dispatch(node, *dispatched);
    } else if (const auto* answer = std::get_if<AnswerRequest>(&action)) {
        told(*answer);
    }
}

void AtMostOnceModel::dispatch(Ref node, const DispatchRequest& action)
{
    const RequestId request = action.request;
    const uint32_t attempt = action.attempt;
    const std::string server = action.candidates[attempt % action.candidates.size()];
    ++m_told[request].dispatched;
    const auto atBackend = [this, node, request, attempt, server] {
        Told& about = m_told[request];
        AtMostOnceEvent event;
        if (m_choice % 4 == 3) {
            event = AttemptNotRun { .request = request, .attempt = attempt, .backendServer = server, .reason = ResultCode::BackendRefused, .retryAllowed = attempt < 3 };
        } else {
            ++m_runs[about.key];
            const bool added = m_effects.emplace(about.key, request).second;
            if (!added) {
                violate("a: the effect of " + about.key.text + " ran again for " + formatRequestId(request));
            }
            if (about.answer && about.answer->runState == RunState::NotRun) {
                violate("b: " + formatRequestId(request) + " ran after it was told not run");
            }
            about.ran = true;
            about.ranAt = server;
            ++m_coverage.ran;
            m_coverage.ranAfterLogClosed += std::any_of(m_batches.begin(), m_batches.end(), [&](const auto& batch) {
                return batch.first.first == request.incarnation && closingEntry(batch.second);
            })
                ? 1
                : 0;
            event = AttemptAnswered { .request = request, .attempt = attempt, .backendServer = server, .result = ResultCode::Ok, .httpStatus = 200, .response = formatRequestId(request) };
        }
        const auto arrived = [this, node, event] { ownerEvent(node, event); };
        const auto lost = [this, node, request, attempt, server] { ownerEvent(node, AttemptUnknown { .request = request, .attempt = attempt, .backendServer = server }); };
        m_messages.push_back({ .sender = node, .receiver = node, .channel = Channel::Backend, .answer = true, .effect = arrived, .failed = lost });
    };
    const auto lost = [this, node, request, attempt, server] { ownerEvent(node, AttemptUnknown { .request = request, .attempt = attempt, .backendServer = server }); };
    m_messages.push_back({ .sender = node, .receiver = node, .channel = Channel::Backend, .answer = false, .effect = atBackend, .failed = lost });
}

void AtMostOnceModel::told(const AnswerRequest& answer)
{
    Told& about = m_told[answer.request];
    if (about.answer) {
        violate("c: two answers for " + formatRequestId(answer.request));
    }
    about.answer = answer;
    if (answer.runState == RunState::NotRun && about.ran) {
        violate("b: " + formatRequestId(answer.request) + " ran and was told not run");
    }
    const auto effect = m_effects.find(about.key);
    if (answer.result == ResultCode::BackendRefused && effect != m_effects.end()) {
        violate("b: the key of " + formatRequestId(answer.request) + " had run");
    }
    if (answer.result == ResultCode::Ok && (effect == m_effects.end() || answer.response != formatRequestId(effect->second))) {
        violate("c: " + formatRequestId(answer.request) + " got another request's answer");
    }
    // An odd id without an entry reads as "not run".
    if (answer.id == formatRequestId(answer.request) && answer.runState != RunState::NotRun && !m_naive && !isInLog(answer.request) && !m_copied.contains(answer.request)) {
        violate("c: told more than not run before its intent was durable: " + answer.id);
    }
    if (resultInfo(answer.result).retryable != answer.retryAfter.has_value()) {
        violate("e: retry time of " + formatRequestId(answer.request));
    }
    noteTold(about, answer);
    m_coverage.replayed += answer.repeatOf && answer.result == ResultCode::Ok ? 1 : 0;
    m_coverage.unknown += answer.result == ResultCode::OutcomeUnknown ? 1 : 0;
    m_coverage.notRun += answer.runState == RunState::NotRun ? 1 : 0;
}

} // namespace siskinspread
