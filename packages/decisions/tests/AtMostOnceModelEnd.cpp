#include "AtMostOnceModel.h"

#include <algorithm>

namespace siskinspread {

namespace {

    constexpr size_t maxDrainRounds = 400;
    constexpr std::chrono::milliseconds drainStep { 600 };

} // namespace

void AtMostOnceModel::drain()
{
    for (size_t round = 0; round < maxDrainRounds && !m_messages.empty(); ++round) {
        const size_t count = m_messages.size();
        for (size_t index = 0; index < count && !m_messages.empty(); ++index) {
            deliver(0);
        }
        tick(m_messages.empty() ? drainStep : std::chrono::milliseconds { 1 });
    }
}

void AtMostOnceModel::finish()
{
    m_storeCut.clear();
    m_peerCut.clear();
    m_choice = 1;
    for (Node& node : m_nodes) {
        node.paused = false;
    }
    for (size_t host = 0; host < m_hosts.size(); ++host) {
        m_hosts[host] = m_hosts[host]->alive ? m_hosts[host] : start(host);
    }
    for (int round = 0; round < 20; ++round) {
        drain();
        tick(drainStep);
    }
    if (m_naive) {
        return;
    }
    tryLostKeys();
    for (const Node& node : m_nodes) {
        if (node.alive && !node.owner.requests.empty()) {
            violate("d: " + node.log.self.text + " has open requests");
        }
    }
    const size_t closedNodes = m_nodes.size();
    const Ref closer = start(0);
    m_hosts.push_back(closer);
    for (size_t index = 0; index < closedNodes; ++index) {
        Ref node = std::next(m_nodes.begin(), static_cast<std::ptrdiff_t>(index));
        if (node->alive) {
            logEvent(node, CloseRequested { .at = now().wall });
        }
    }
    for (int round = 0; round < 20; ++round) {
        drain();
        tick(drainStep);
    }
    for (size_t index = 0; index < closedNodes; ++index) {
        historyLoaded(closer, std::next(m_nodes.begin(), static_cast<std::ptrdiff_t>(index))->log.self);
    }
    for (int round = 0; round < 20; ++round) {
        drain();
        tick(drainStep);
    }
    checkLogs();
}

void AtMostOnceModel::checkLogs()
{
    std::map<RequestId, size_t> entries;
    const Ref closer = m_hosts.back();
    for (const auto& [incarnation, closing] : closer->closings) {
        if (closing.phase != ClosingPhase::Done || !closing.history.closed || closing.history.copiesPending) {
            violate("d: the log of " + incarnation.text + " was not closed");
        }
        for (const LogRecord& record : closing.history.records) {
            const auto* outcome = std::get_if<OutcomeEntry>(&record.entry);
            const auto* account = outcome ? &outcome->account : std::get_if<AccountEntry>(&record.entry);
            if (account && ++entries[account->request] > 1) {
                violate("d: two accounts on record for " + formatRequestId(account->request));
            }
        }
    }
    for (Node& node : m_nodes) {
        node.alive = false;
    }
    std::set<IdempotencyKey> keys;
    for (auto& [request, told] : m_told) {
        keys.insert(told.key);
        lookUp(request);
        if (!told.account && accountIdOf(request)) {
            violate("d: no account of " + formatRequestId(request));
        }
    }
    for (const IdempotencyKey& key : keys) {
        lookUpKey(key);
    }
}

/** The id that a caller would ask with; a try that was not answered has its own. */
std::optional<RequestId> AtMostOnceModel::accountIdOf(const RequestId& request) const
{
    const auto& answer = m_told.at(request).answer;
    LastReason reason;
    return answer ? parseAccountId(answer->id, reason) : std::optional { request };
}

AccountAnswer AtMostOnceModel::accountOf(const AccountQuery& query, const std::vector<IncarnationId>& candidates)
{
    AccountLookupState lookup;
    std::vector<AccountLookupAction> actions;
    step(lookup, {}, StartLookup { .query = query, .candidates = candidates }, now(), actions);
    while (!std::holds_alternative<LookupDone>(actions.back())) {
        const AccountLookupAction action = actions.back();
        actions.clear();
        AccountLookupEvent event;
        if (const auto* ask = std::get_if<AskIncarnation>(&action)) {
            event = askIncarnation(*ask);
        } else if (const auto* read = std::get_if<ReadBatch>(&action)) {
            const auto found = m_batches.find({ read->incarnation, read->number });
            event = LookupRead { BatchFound { .number = read->number, .batch = found == m_batches.end() ? std::nullopt : std::optional(found->second) } };
        } else if (const auto* copy = std::get_if<ReadSealedCopy>(&action)) {
            const auto found = m_sealed.find(copy->incarnation);
            event = LookupRead { SealedCopyFound { .copy = found == m_sealed.end() ? std::nullopt : std::optional(found->second) } };
        }
        step(lookup, {}, event, now(), actions);
    }
    return std::get<LookupDone>(actions.back()).answer;
}

AccountLookupEvent AtMostOnceModel::askIncarnation(const AskIncarnation& ask)
{
    const Ref asked = find(ask.incarnation);
    if (!asked->alive || asked->paused) {
        return IncarnationSilent { .incarnation = ask.incarnation };
    }
    return IncarnationAnswered { .incarnation = ask.incarnation, .answer = accountFromOwner(asked->owner, ask.query) };
}

/** The key's account never says the opposite of what its request did, and names that request. */
void AtMostOnceModel::lookUpKey(const IdempotencyKey& key)
{
    const SliceAssignment& slice = m_map.slices[sliceOf(key, m_options.slices)];
    std::vector<IncarnationId> candidates;
    if (!slice.owner.text.empty()) { // as the daemon does: nobody has taken the slice yet
        candidates.push_back(slice.owner);
    }
    for (auto previous = slice.previous.rbegin(); previous != slice.previous.rend(); ++previous) {
        candidates.push_back(previous->incarnation);
    }
    const AccountAnswer answer = accountOf({ .request = {}, .key = key }, candidates);
    const auto effect = m_effects.find(key);
    const RunState told = answer.account.runState;
    if (answer.standing == AccountStanding::Final) {
        ++m_coverage.finalKeyLookups;
        if (told == RunState::Ran && (effect == m_effects.end() || effect->second != answer.request)) {
            violate("h: the account of " + key.text + " says ran of " + formatRequestId(answer.request));
        }
        if (told == RunState::NotRun && effect != m_effects.end() && effect->second == answer.request) {
            violate("h: the account of " + key.text + " says not run");
        }
    }
    if (answer.standing == AccountStanding::NotFound && effect != m_effects.end()) {
        violate("h: no account of " + key.text + ", which ran");
    }
}

/** No figure that is not known, and the backend server that ran the request is among those to ask. */
void AtMostOnceModel::checkWhereItRan(const RequestId& request, const AccountAnswer& answer)
{
    const Told& about = m_told.at(request);
    const AccountEntry& account = answer.account;
    if (account.attemptsKnown && account.attempts != about.dispatched) {
        violate("f: attempts of " + formatRequestId(request));
    }
    if (!about.ran || isRecordLost(request)) {
        return;
    }
    m_coverage.attemptsUnknown += account.attemptsKnown ? 0 : 1;
    const std::vector<std::string>& named = account.attemptsKnown ? account.backendServers : account.candidates;
    if (std::find(named.begin(), named.end(), about.ranAt) == named.end()) {
        violate("f: the backend server that ran " + formatRequestId(request));
    }
}

void AtMostOnceModel::lookUp(const RequestId& request)
{
    Told& about = m_told[request];
    const auto of = accountIdOf(request);
    if (!of) {
        if (about.answer->runState == RunState::Ran) {
            violate("d: no account of a try that was told ran: " + about.answer->id);
        }
        return;
    }
    const AccountAnswer answer = accountOf({ .request = *of, .key = {} }, {});
    const bool ran = m_told.at(*of).ran;
    const bool toldRan = about.answer && about.answer->runState == RunState::Ran;
    const bool historyLost = m_copied.contains(*of) && m_sealed.contains(of->incarnation) && !m_sealed[of->incarnation].complete;
    if (answer.standing == AccountStanding::Final) {
        ++m_coverage.finalLookups;
        checkWhereItRan(*of, answer);
        const auto lost = m_lost.find(about.key);
        m_coverage.accountsAfterLoss += lost != m_lost.end() && lost->second == request && isRecordLost(request) ? 1 : 0;
        m_coverage.replaysAccounted += toldRan && *of != request ? 1 : 0;
        if (about.account && !historyLost && about.account->account != answer.account) {
            violate("c: two final accounts of " + formatRequestId(request));
        }
        about.account = answer;
        if (answer.account.runState == RunState::Ran && about.answer && about.answer->runState == RunState::NotRun) {
            violate("c: told not run, account ran: " + formatRequestId(request));
        }
        if (toldRan && !historyLost && answer.account.runState != RunState::Ran) {
            violate("c: answered and accounted otherwise: " + formatRequestId(request));
        }
        if (toldRan && answer.account.runState == RunState::NotRun) {
            violate("c: told ran, account not run: " + formatRequestId(request));
        }
    }
    if (answer.account.runState == RunState::NotRun && answer.standing != AccountStanding::NotFound && ran) {
        violate("b: account of " + formatRequestId(request) + " says not run");
    }
    if (answer.account.runState == RunState::Ran && !ran) {
        violate("c: account of " + formatRequestId(request) + " says ran");
    }
}

} // namespace siskinspread
