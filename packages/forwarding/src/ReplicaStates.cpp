// The part of Forwarder that asks replicas for their state.
#include "siskinspread/Forwarder.h"

#include "siskinspread/ReplicaCall.h"

namespace siskinspread {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds askAgainAfter { 800 }; // a report of before the notice is out of date by then, and there is time to move
    constexpr milliseconds answerTimeout { 500 }; // a loaded replica answers within tens of milliseconds
    constexpr milliseconds reportAge { 300 }; // a report shows the state of some hundred milliseconds ago
    // Of a reclaimable replica that does not say when it ends: a reclaim may give little more than this.
    constexpr milliseconds shortestNotice { 1000 };
    // A reclaim ends replicas 1 s to 2.5 s after the notice; afterwards those that are still there were not meant.
    constexpr milliseconds reclaimTime { 3000 };

    bool isReclaimSuspected(const Replica& replica, MonotonicTime now)
    {
        return replica.suspectedAt && now - *replica.suspectedAt < reclaimTime;
    }

} // namespace

void Forwarder::suspectReclaim(const std::string& service, const std::string& failureDomain)
{
    const auto now = std::chrono::steady_clock::now();
    for (const auto& replica : m_replicas.ofService(service)) {
        if (replica->entry.reclaimable && !replica->entry.leaving && replica->entry.failureDomain == failureDomain && !isReclaimSuspected(*replica, now)) {
            m_log.info("reclaim suspected", { { "replica", replica->entry.instance }, { "domain", failureDomain }, { "requests", replica->ownLoad.requests } });
            replica->suspectedAt = now;
            replica->stateAskedAt.reset();
        }
    }
}

void Forwarder::noteLeaving(uint64_t identity, std::string_view source)
{
    const auto replica = m_replicas.markLeaving(identity);
    if (!replica) {
        return;
    }
    replica->leavingByAnswer = true;
    m_log.info("replica leaves", { { "replica", replica->entry.instance }, { "told_by", source }, { "requests", replica->ownLoad.requests } });
    if (replica->entry.reclaimable) {
        suspectReclaim(replica->entry.service, replica->entry.failureDomain);
    }
    placeFreed(); // what waits for this replica has to go elsewhere, or be refused
}

void Forwarder::onLimitChanged(uint64_t identity, std::string_view source)
{
    const auto replica = m_replicas.findIdentity(identity);
    const auto name = replica ? replica->entry.instance : std::to_string(identity); // its entry may not have been read yet
    if (const auto* limit = m_limits.find(identity); limit != nullptr) {
        m_log.info("limit of a replica changed", { { "replica", name }, { "per_s", *limit->evidence->requestsPerSecond }, { "told_by", source }, { "holds_share", limit->holdsShare }, { "holders", limit->holders } });
    } else {
        m_log.info("limit of a replica ended", { { "replica", name }, { "told_by", source } });
    }
    placeFreed(); // what waits for this replica has to go elsewhere, or may go now
}

void Forwarder::noteLimit(uint64_t identity, const LimitEvidence& evidence, std::string_view source)
{
    if (m_limits.noteTold(identity, evidence)) {
        onLimitChanged(identity, source);
    }
}

void Forwarder::noteWorkFactorTold(uint64_t identity, double usual)
{
    if (const auto replica = m_replicas.findIdentity(identity)) {
        noteToldWorkFactor(replica->workFactor, m_workFactorOptions, usual);
    }
}

void Forwarder::noteUnlimited(const Replica& replica, BootTime sentAt)
{
    if (m_limits.noteUnnamed(replica.identity, sentAt)) {
        onLimitChanged(replica.identity, "an answer");
    }
}

void Forwarder::noteAnswer(const std::shared_ptr<Replica>& replica, const ReplicaAnswer& answer)
{
    if (answer.namesLimit && !answer.requestsPerSecond) {
        m_log.warning("limit of a replica unreadable", { { "replica", replica->entry.instance } });
    }
    if (answer.requestsPerSecond && m_limits.noteNamed(replica->identity, *answer.requestsPerSecond)) {
        onLimitChanged(replica->identity, "an answer");
    }
    noteReportedLoad(*replica, answer);
    if (answer.leaving) {
        noteLeaving(replica->identity, "an answer");
    }
    if (answer.pause) {
        const auto until = std::chrono::steady_clock::now() + *answer.pause;
        replica->pausedUntil = std::max(replica->pausedUntil.value_or(until), until);
        m_log.info("replica pauses", { { "replica", replica->entry.instance }, { "for_ms", *answer.pause }, { "requests", replica->ownLoad.requests } });
        placeFreed();
    }
}

void Forwarder::noteReportedLoad(Replica& replica, const ReplicaAnswer& answer)
{
    if (!answer.namesLoad) {
        return;
    }
    const bool believed = answer.load && (!answer.load->workFactor || noteWorkFactor(replica.workFactor, m_workFactorOptions, *answer.load->workFactor, std::chrono::steady_clock::now()));
    m_metrics.countLoadReport(believed);
    if (!believed && !replica.loadUnreadable) {
        m_log.warning("load report of a replica ignored", { { "replica", replica.entry.instance }, { "why", answer.load ? "the time that work takes is out of range" : "unreadable" } });
    }
    replica.loadUnreadable = !believed;
}

void Forwarder::noteState(Replica& replica, const ReplicaState& state, MonotonicTime askedAt)
{
    m_log.info("replica asked", { { "replica", replica.entry.instance }, { "leaving", state.leaving }, { "leaves_in_ms", state.leavesIn.value_or(milliseconds { -1 }) } });
    if (!state.leaving) {
        return;
    }
    noteLeaving(replica.identity, "its report");
    const auto usual = replica.entry.reclaimable ? shortestNotice : m_settings.bounds.drainInForce;
    replica.leavesAt = askedAt + (state.leavesIn ? std::max(milliseconds { 0 }, *state.leavesIn - reportAge) : usual);
}

void Forwarder::askState(const std::shared_ptr<Replica>& replica, MonotonicTime now)
{
    const bool lately = replica->stateAskedAt && now - *replica->stateAskedAt < askAgainAfter;
    const bool mayLeave = replica->gone || replica->entry.leaving || isReclaimSuspected(*replica, now);
    if (lately || !mayLeave || isPaused(*replica, now)) {
        return;
    }
    replica->stateAskedAt = now;
    if (!m_limits.mayCall(replica->identity)) {
        m_log.info("replica not asked", { { "replica", replica->entry.instance }, { "why", "its limit" } });
        return;
    }
    m_limits.countCall(replica->identity);
    const auto& entry = replica->entry;
    std::string bytes;
    m_adapter.encodeStateQuestion(entry, bytes);
    const auto number = ++m_lastStateCall;
    auto call = std::make_shared<ReplicaCall>(m_context, NetworkAddress { entry.address, entry.port }, [this, replica, now, number](std::optional<ReplicaCallAnswer> answer, const LastReason& broken) {
        m_stateCalls.erase(number);
        LastReason reason = broken;
        const auto state = answer ? m_adapter.decodeState(answer->head.status, answer->body, reason) : std::nullopt;
        const bool otherIncarnation = state && state->startedAtMs && *state->startedAtMs != replica->entry.startedAtMs;
        if (answer && !otherIncarnation) {
            noteAnswer(replica, m_adapter.decodeAnswer(answer->head));
        }
        if (otherIncarnation) {
            m_log.warning("report of another incarnation passed over", { { "replica", replica->entry.instance }, { "expected_start_ms", replica->entry.startedAtMs }, { "start_ms", *state->startedAtMs } });
        } else if (state) {
            noteState(*replica, *state, now);
        } else {
            m_log.warning("replica did not tell its state", { { "replica", replica->entry.instance }, { "why", reason.detail } });
        }
    });
    m_stateCalls[number] = call;
    call->start(std::move(bytes), answerTimeout);
}

} // namespace siskinspread
