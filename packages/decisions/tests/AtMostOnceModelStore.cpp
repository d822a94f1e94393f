#include "AtMostOnceModel.h"

#include <algorithm>

namespace siskinspread {

// Logs and copies

void AtMostOnceModel::append(Ref node, const RequestId& request, bool intent, const LogEntry& entry)
{
    const uint64_t token = ++node->token;
    node->tokens[token] = { request, intent };
    logEvent(node, AppendEntry { .token = token, .entry = entry });
}

void AtMostOnceModel::logEvent(Ref node, const IncarnationLogEvent& event)
{
    std::vector<IncarnationLogAction> actions;
    step(node->log, m_logOptions, event, now().monotonic, actions);
    for (const IncarnationLogAction& action : actions) {
        perform(node, action);
    }
}

void AtMostOnceModel::perform(Ref node, const IncarnationLogAction& action)
{
    if (const auto* create = std::get_if<CreateBatch>(&action)) {
        const LogBatch batch = create->batch;
        toStore(
            node,
            [this, node, batch]() -> std::function<void()> {
                const bool created = m_batches.emplace(std::pair(batch.incarnation, batch.number), batch).second;
                if (created) {
                    return [this, node, batch] { logEvent(node, BatchCreated { .number = batch.number }); };
                }
                return [this, node, batch] { logEvent(node, BatchExists { .number = batch.number }); };
            },
            [this, node, batch] { logEvent(node, BatchUncertain { .number = batch.number }); });
    } else if (const auto* read = std::get_if<ReadBatch>(&action)) {
        const uint64_t number = read->number;
        toStore(
            node,
            [this, node, number]() -> std::function<void()> {
                const auto found = m_batches.find({ node->log.self, number });
                const auto writer = found == m_batches.end() ? std::nullopt : std::optional(found->second.writer);
                return [this, node, number, writer] { logEvent(node, BatchRead { .number = number, .writer = writer }); };
            },
            [this, node, number] { logEvent(node, BatchReadFailed { .number = number }); });
    } else if (const auto* copies = std::get_if<SendCopies>(&action)) {
        sendCopies(node, *copies);
    } else if (const auto* durable = std::get_if<EntryDurable>(&action)) {
        m_coverage.durableByCopy += durable->byCopy ? 1 : 0;
        const auto [request, intent] = node->tokens.at(durable->token);
        if (durable->byCopy) {
            m_copied.insert(request);
        }
        if (request.sequence) {
            ownerEvent(node, intent ? AtMostOnceEvent { IntentDurable { request } } : AtMostOnceEvent { OutcomeDurable { request } });
        }
    } else if (const auto* refused = std::get_if<EntryRefused>(&action)) {
        const auto [request, intent] = node->tokens.at(refused->token);
        if (request.sequence) {
            ownerEvent(node, intent ? AtMostOnceEvent { IntentRefused { request, refused->reason } } : AtMostOnceEvent { OutcomeRefused { request } });
        }
    } else if (const auto* ended = std::get_if<LogEnded>(&action)) {
        m_coverage.logLostAlive += ended->planned ? 0 : 1;
        ownerEvent(node, OwnLogEnded {});
    }
}

void AtMostOnceModel::sendCopies(Ref node, const SendCopies& copies)
{
    const Ref target = m_hosts[find(copies.holder)->host];
    toPeer(node, target, [this, node, target, copies] {
        std::vector<CopyHolderAction> actions;
        const CopiesArrived event { .owner = node->log.self, .addressee = copies.holder, .loggedUpTo = copies.loggedUpTo, .records = copies.records };
        step(target->holder, {}, event, actions);
        for (const CopyHolderAction& action : actions) {
            if (const auto* acknowledged = std::get_if<AcknowledgeCopies>(&action)) {
                const uint64_t upTo = acknowledged->upTo;
                toPeer(target, node, [this, node, copies, upTo] { logEvent(node, CopiesAcknowledged { .holder = copies.holder, .upTo = upTo }); });
            } else if (std::holds_alternative<RefuseCopies>(action)) {
                toPeer(target, node, [this, node, copies] { logEvent(node, CopiesRefused { .holder = copies.holder }); });
            }
        }
    });
}

void AtMostOnceModel::seal(Ref node, const SealCopies& action)
{
    const IncarnationId owner = action.incarnation;
    const Ref holder = find(action.holder);
    const Ref target = m_hosts[holder->host];
    const auto failed = [this, node, owner, holder, action] {
        if (const auto adopted = adoptedCopies(node, action)) {
            closingEvent(node, owner, CopiesSealed { .records = *adopted });
            return;
        }
        // The cloud API says that a host has ended only when it has.
        const bool known = !holder->alive && m_choice % 2;
        closingEvent(node, owner, known ? LogClosingEvent { CopyHolderGone {} } : LogClosingEvent { CallFailed {} });
    };
    const auto atHolder = [this, node, target, action, owner, failed] {
        std::vector<CopyHolderAction> actions;
        step(target->holder, {}, SealRequested { .owner = owner, .addressee = action.holder, .by = node->log.self }, actions);
        auto records = adoptedCopies(node, action);
        if (const auto* returned = std::get_if<ReturnSealedCopies>(&actions.back())) {
            m_coverage.sealedWithCopies += returned->records.empty() ? 0 : 1;
            records = returned->records;
        }
        LogClosingEvent event = CopyHolderGone {};
        if (records) {
            event = CopiesSealed { .records = std::move(*records) };
        }
        toPeer(
            target, node, [this, node, owner, event] { closingEvent(node, owner, event); }, [this, node, owner] { closingEvent(node, owner, CallFailed {}); });
    };
    toPeer(node, target, atHolder, failed);
}

} // namespace siskinspread
