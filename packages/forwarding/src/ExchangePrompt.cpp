// The part of Exchange that relates crashes of replicas to the prompt.
#include "siskinspread/Exchange.h"

#include "siskinspread/Forwarder.h"

#include <xxhash.h>

namespace siskinspread {

PromptAttempt Exchange::promptAttempt() const
{
    const auto& id = m_request.caller.attemptId;
    const auto& replica = *m_attempt.replica;
    const auto& domain = replica.entry.failureDomain;
    PromptAttempt attempt { .id = XXH64(id.data(), id.size(), replica.identity), .replica = replica.identity, .failureDomain = XXH64(domain.data(), domain.size(), 0), .sentAt = m_attempt.sentAtBoot };
    const auto& prompt = m_request.caller.prompt;
    if (!prompt.empty()) {
        attempt.parts.push_back(prompt.back().id);
    }
    for (const auto& part : sharedParts(prompt)) {
        attempt.parts.push_back(part.id);
    }
    return attempt;
}

void Exchange::noteBodyBegun()
{
    if (m_attempt.bodyBegunAt || m_attempt.notExecuted) {
        return;
    }
    m_attempt.bodyBegunAt = BootClock::now();
    m_forwarder.crashes().noteBegun(promptAttempt(), m_attempt.connection);
}

/** Replicas that leave end on purpose. */
void Exchange::noteCut(ReplicaFailure failure)
{
    const bool mayBeCrash = failure == ReplicaFailure::Closed || failure == ReplicaFailure::Reset;
    if (mayBeCrash && m_forwarder.isServing(*m_attempt.replica)) {
        m_forwarder.crashes().noteCut(promptAttempt(), m_attempt.bodyBegunAt);
    }
}

void Exchange::endSuspected(const HeldPrompt& held)
{
    const auto why = "part " + partName(held.part) + " of the prompt is suspected of crashing replicas";
    if (isAnswering()) {
        breakStream(why);
    } else {
        refuse(ResultCode::PromptSuspected, held.comeBackAfter, why);
    }
}

} // namespace siskinspread
