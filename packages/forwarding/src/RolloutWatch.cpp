#include "siskinspread/RolloutWatch.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace siskinspread {

namespace {

    using std::chrono::milliseconds;

    constexpr double perMille = 1000.0;
    // A crash of a replica cuts off many requests at once, which says no more of its version than one.
    constexpr milliseconds oneCrash { 1000 };
    // A version whose replicas come is not used for this long unless an order names it: the order may be read some time after them.
    constexpr milliseconds orderTime { 5000 };
    // Between two reviews, after which the loop has stood still: answers that came meanwhile took longer than their replicas did.
    constexpr milliseconds longestPause { 250 };
    constexpr int maxUnproven = 16; // versions, of one order
    constexpr size_t maxOrdersAhead = 16; // of one service, told by others before this host has read them
    constexpr size_t maxOwners = 2048; // hosts and incarnations whose evidence is kept, for one order
    constexpr size_t maxParts = 128; // of one order
    constexpr uint64_t longestAgeMs = 3'600'000; // keeps ages that a broken message names in range

    bool isOpen(RolloutState state)
    {
        return state == RolloutState::Ordered || state == RolloutState::InProgress;
    }

    uint64_t hashOf(const std::string& text)
    {
        return XXH64(text.data(), text.size(), 0);
    }

    uint64_t keyOf(const RolloutOrder& order)
    {
        return hashOf(order.service + '\n' + order.candidate + '\n' + std::to_string(order.within.count()));
    }

    void encode(const VersionAnswers& answers, schema::VersionAnswersMessage& message)
    {
        message.set_answers(answers.answers);
        message.set_failed(answers.failed);
        message.set_slow(answers.slow);
    }

    VersionAnswers decode(const schema::VersionAnswersMessage& message)
    {
        return { .answers = message.answers(), .failed = message.failed(), .slow = message.slow() };
    }

} // namespace

RolloutWatch::RolloutWatch(const ForwardingSettings& settings, HostLog& log, ForwardingMetrics& metrics)
    : m_settings(settings)
    , m_log(log)
    , m_metrics(metrics)
    , m_options { .canaryShare = settings.bounds.canaryShare }
{
}

void RolloutWatch::applyOrder(const std::string& document, uint64_t revision, const RolloutDocument& content)
{
    auto& record = m_orders[content.order.service];
    if (record.document == document && record.order == content.order) {
        record.revision = std::max(record.revision, revision);
        if (content.state != RolloutState::Ordered) {
            setState(record, content.state);
        }
        return;
    }
    const bool replaces = !record.document.empty();
    auto notProven = std::move(record.notProven);
    if (replaces && record.state != RolloutState::Complete) {
        notProven.insert(record.order.candidate);
    }
    const auto key = keyOf(content.order);
    if (auto ahead = m_unprovenAhead.extract(content.order.service)) {
        notProven.merge(ahead.mapped()[key]);
    }
    notProven.erase(content.order.candidate);
    record = { .order = content.order, .document = document, .revision = revision, .state = content.state, .seenAt = BootClock::now(), .key = key, .notProven = std::move(notProven) };
    m_log.info("rollout ordered", { { "service", content.order.service }, { "version", content.order.candidate }, { "within_ms", content.order.within }, { "state", rolloutStateName(content.state) }, { "replaces_another", replaces }, { "revision", revision } });
}

void RolloutWatch::removeOrder(const std::string& document)
{
    std::erase_if(m_orders, [&](const auto& entry) { return entry.second.document == document; });
}

void RolloutWatch::noteReplicas(const ReplicaDirectory& replicas)
{
    if (m_options.canaryShare <= 0) {
        return;
    }
    std::unordered_map<std::string, std::map<std::string, size_t>> versions;
    for (const auto& [instance, replica] : replicas.all()) {
        if (!replica->gone) {
            ++versions[replica->entry.service][replica->entry.version];
        }
    }
    const auto firstSeen = m_listed ? std::chrono::steady_clock::now() : MonotonicTime {};
    for (const auto& [service, counts] : versions) {
        auto& known = m_versions[service];
        std::erase_if(known, [&present = counts](const auto& version) { return !present.contains(version.first); });
        for (const auto& [version, count] : counts) {
            known.try_emplace(version, firstSeen);
        }
    }
    if (m_needsOrders) {
        return;
    }
    for (const auto& [service, counts] : versions) {
        if (counts.size() == 1 && !m_mayLackReplicas) {
            m_soleVersions[service] = counts.begin()->first;
            continue;
        }
        m_needsOrders = true;
        // A host that starts in the middle of a rollout takes the version of most replicas for the one before.
        const auto most = std::max_element(counts.begin(), counts.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
        m_soleVersions.try_emplace(service, most->first);
    }
}

void RolloutWatch::setMayLackReplicas(bool mayLack, const ReplicaDirectory& known)
{
    m_mayLackReplicas = mayLack;
    noteReplicas(known);
}

bool RolloutWatch::isNewVersion(const Replica& replica, MonotonicTime now) const
{
    const auto service = m_versions.find(replica.entry.service);
    if (service == m_versions.end()) {
        return false;
    }
    const auto version = service->second.find(replica.entry.version);
    return version != service->second.end() && version->second != MonotonicTime {} && now - version->second < orderTime;
}

/** @return nothing where there are no others, or no replica of a new version. */
std::optional<std::vector<std::shared_ptr<Replica>>> RolloutWatch::withoutNewVersions(const std::vector<std::shared_ptr<Replica>>& replicas) const
{
    const auto now = std::chrono::steady_clock::now();
    std::vector<std::shared_ptr<Replica>> others;
    std::copy_if(replicas.begin(), replicas.end(), std::back_inserter(others), [&](const auto& replica) { return !isNewVersion(*replica, now); });
    return others.empty() || others.size() == replicas.size() ? std::nullopt : std::optional { std::move(others) };
}

bool RolloutWatch::stoodStillSince(MonotonicTime sentAt) const
{
    return sentAt < m_stoodStillUntil || std::chrono::steady_clock::now() - m_reviewedAt > longestPause;
}

void RolloutWatch::review()
{
    const auto now = std::chrono::steady_clock::now();
    if (now - m_reviewedAt > longestPause) {
        m_stoodStillUntil = now;
    }
    m_reviewedAt = now;
    for (auto& [service, record] : m_orders) {
        if (isOpen(record.state)) {
            judge(record);
        }
    }
}

void RolloutWatch::judge(RolloutRecord& record)
{
    if (record.fault) {
        return;
    }
    auto sum = record.own;
    for (const auto& [owner, evidence] : record.ofPeers) {
        addEvidence(sum, evidence);
    }
    record.fault = faultOf(sum, m_options);
    if (record.fault) {
        m_log.warning("new version faulty", { { "service", record.order.service }, { "version", record.order.candidate }, { "how", record.fault->isSlow ? "slow" : "failing" }, { "bad", record.fault->bad }, { "answers", record.fault->answers }, { "all_routes", record.fault->route == 0 } });
    }
}

RolloutRecord* RolloutWatch::openOrder(const std::string& service)
{
    const auto found = m_orders.find(service);
    return found != m_orders.end() && isOpen(found->second.state) ? &found->second : nullptr;
}

double RolloutWatch::shareOf(const RolloutRecord& record) const
{
    return std::max(record.share, trialShare(m_options));
}

std::optional<std::vector<std::shared_ptr<Replica>>> RolloutWatch::ofKnownVersion(const std::string& service, const std::vector<std::shared_ptr<Replica>>& replicas) const
{
    const auto sole = m_soleVersions.find(service);
    if (sole == m_soleVersions.end()) {
        return std::nullopt;
    }
    std::vector<std::shared_ptr<Replica>> known;
    std::copy_if(replicas.begin(), replicas.end(), std::back_inserter(known), [&](const auto& replica) { return replica->entry.version == sole->second; });
    return known.empty() ? std::nullopt : std::optional { std::move(known) };
}

std::optional<std::vector<std::shared_ptr<Replica>>> RolloutWatch::allowed(const std::string& service, const std::vector<std::shared_ptr<Replica>>& replicas, bool isFirstAttempt, std::optional<bool>& canary)
{
    if (m_options.canaryShare <= 0) {
        return std::nullopt;
    }
    const auto found = m_orders.find(service);
    if (found == m_orders.end()) {
        return m_listed ? withoutNewVersions(replicas) : ofKnownVersion(service, replicas);
    }
    auto& record = found->second;
    const auto now = std::chrono::steady_clock::now();
    std::vector<std::shared_ptr<Replica>> before;
    std::vector<std::shared_ptr<Replica>> candidates;
    std::vector<std::shared_ptr<Replica>> ofNewVersions;
    for (const auto& replica : replicas) {
        if (replica->entry.version == record.order.candidate) {
            candidates.push_back(replica);
        } else if (!record.notProven.contains(replica->entry.version)) {
            (isNewVersion(*replica, now) ? ofNewVersions : before).push_back(replica);
        }
    }
    if (candidates.empty()) {
        return before.empty() ? ofNewVersions : before;
    }
    if (isFirstAttempt && !canary) {
        canary = takesCanary(record.credit, shareOf(record));
    }
    const auto use = versionUse({ .state = record.state, .isFaulty = record.fault.has_value(), .hearsPeers = m_hearsPeers }, shareOf(record), isFirstAttempt, canary.value_or(false));
    if (use == VersionUse::CandidateFirst) {
        return candidates;
    }
    // With no replica of the version before, a candidate that is not known to be faulty is better than no answer.
    const bool isOnlyChoice = before.empty() && isOpen(record.state) && !record.fault;
    return isOnlyChoice ? candidates : before;
}

VersionAnswers* RolloutWatch::answersOf(RolloutRecord& record, const Replica& replica, const MeasuredPart& part) const
{
    if (record.own.size() >= maxParts && !record.own.contains(part)) {
        return nullptr;
    }
    auto& evidence = record.own[part];
    return replica.entry.version == record.order.candidate ? &evidence.candidate : &evidence.before;
}

void RolloutWatch::compareTime(RolloutRecord& record, VersionAnswers& answers, const Replica& replica, const MeasuredPart& part, std::chrono::microseconds took) const
{
    ++answers.answers;
    const bool isCandidate = replica.entry.version == record.order.candidate;
    // A replica that has just started is slow for a while, whatever its version.
    const bool isComparable = replica.entry.slowStartLeft.count() == 0 && !stoodStillSince(std::chrono::steady_clock::now() - took);
    auto& usual = record.usual[part];
    const bool isSlow = isComparable && isSeveralTimesUsual(usual, took);
    answers.slow += isSlow ? 1 : 0;
    m_metrics.countRolloutAnswer(isCandidate, isSlow ? "slow" : "answered");
    if (isComparable && !isCandidate) {
        noteUsualTime(usual, took);
    }
}

void RolloutWatch::noteAnswer(const Replica& replica, const std::string& route, std::chrono::microseconds took)
{
    if (auto* record = openOrder(replica.entry.service)) {
        const MeasuredPart part { .route = hashOf(route) };
        if (auto* answers = answersOf(*record, replica, part)) {
            compareTime(*record, *answers, replica, part, took);
        }
    }
}

void RolloutWatch::noteEnd(const Replica& replica, const std::string& route, std::chrono::microseconds took)
{
    if (auto* record = openOrder(replica.entry.service)) {
        // A version may begin its answers in time and write them slowly.
        const MeasuredPart part { .route = hashOf(route), .isWhole = true };
        if (auto* answers = answersOf(*record, replica, part)) {
            compareTime(*record, *answers, replica, part, took);
        }
    }
}

void RolloutWatch::noteFailure(const Replica& replica, const std::string& route, bool hasBegun, bool brokenOff)
{
    auto* record = openOrder(replica.entry.service);
    auto* answers = record != nullptr ? answersOf(*record, replica, { .route = hashOf(route) }) : nullptr;
    if (answers == nullptr) {
        return;
    }
    if (brokenOff) {
        const auto now = std::chrono::steady_clock::now();
        std::erase_if(m_brokenOffAt, [now](const auto& entry) { return now - entry.second >= oneCrash; });
        if (!m_brokenOffAt.try_emplace(replica.identity, now).second) {
            return;
        }
    }
    answers->answers += hasBegun ? 0 : 1;
    ++answers->failed;
    m_metrics.countRolloutAnswer(replica.entry.version == record->order.candidate, "failed");
}

void RolloutWatch::tell(schema::HostStateMessage& state) const
{
    for (const auto& [service, record] : m_orders) {
        if (!isOpen(record.state) && record.notProven.empty()) {
            continue;
        }
        auto& message = *state.add_rollouts();
        message.set_service(service);
        message.set_order(record.key);
        for (const auto& version : record.notProven) {
            message.add_unproven_versions(version);
        }
        if (!isOpen(record.state)) {
            continue;
        }
        message.set_age_ms(static_cast<uint64_t>(std::chrono::duration_cast<milliseconds>(BootClock::now() - record.seenAt).count()));
        message.set_share_per_mille(static_cast<uint32_t>(std::lround(record.share * perMille)));
        message.set_fencing_number(record.fencingNumber);
        for (const auto& [part, evidence] : record.own) {
            auto& onRoute = *message.add_routes();
            onRoute.set_route(part.route);
            onRoute.set_whole(part.isWhole);
            encode(evidence.before, *onRoute.mutable_before());
            encode(evidence.candidate, *onRoute.mutable_candidate());
        }
    }
}

void RolloutWatch::apply(const schema::HostStateMessage& state)
{
    for (const auto& message : state.rollouts()) {
        const auto found = m_orders.find(message.service());
        if (found == m_orders.end() || found->second.key != message.order()) {
            keepAhead(message); // this host has yet to read the order, or the other one has
            continue;
        }
        auto* record = &found->second;
        // A host that has started since does not know what the order has replaced.
        for (const auto& version : message.unproven_versions()) {
            if (version != record->order.candidate && record->notProven.size() < maxUnproven) {
                record->notProven.insert(version);
            }
        }
        if (!isOpen(record->state)) {
            continue;
        }
        record->seenAt = std::min(record->seenAt, BootClock::now() - milliseconds { std::min(message.age_ms(), longestAgeMs) });
        record->sharesOfPeers[state.host()] = message.share_per_mille() / perMille;
        takeOver(*record, message, state.host());
        const auto owner = state.host() + "#" + std::to_string(state.incarnation());
        if (record->ofPeers.size() >= maxOwners && !record->ofPeers.contains(owner)) {
            continue;
        }
        auto& evidence = record->ofPeers[owner];
        evidence.clear();
        for (const auto& onRoute : message.routes()) {
            evidence[{ .route = onRoute.route(), .isWhole = onRoute.whole() }] = { .before = decode(onRoute.before()), .candidate = decode(onRoute.candidate()) };
        }
    }
}

/** The host that tells may have ended when this one reads the order. */
void RolloutWatch::keepAhead(const schema::RolloutMessage& message)
{
    auto& ahead = m_unprovenAhead[message.service()];
    if (ahead.size() >= maxOrdersAhead && !ahead.contains(message.order())) {
        return;
    }
    auto& notProven = ahead[message.order()];
    // Others that have started since tell fewer.
    for (const auto& version : message.unproven_versions()) {
        if (notProven.size() < maxUnproven) {
            notProven.insert(version);
        }
    }
}

/** The share that the newest holder of the duty has set; a holder only raises it. */
void RolloutWatch::takeOver(RolloutRecord& record, const schema::RolloutMessage& message, const std::string& host)
{
    const double share = std::min(1.0, message.share_per_mille() / perMille);
    const bool isNewer = message.fencing_number() > record.fencingNumber || (message.fencing_number() == record.fencingNumber && share > record.share);
    if (!isNewer) {
        return;
    }
    record.fencingNumber = message.fencing_number();
    if (share != record.share) {
        m_log.info("rollout share", { { "service", record.order.service }, { "version", record.order.candidate }, { "share", share }, { "told_by", host }, { "fencing_number", record.fencingNumber } });
        record.share = share;
        record.steppedAt = std::chrono::steady_clock::now();
    }
}

RolloutProgress RolloutWatch::progressOf(const RolloutRecord& record, const ReplicaDirectory& replicas, const std::vector<std::string>& liveHosts, milliseconds longestRequest) const
{
    RolloutProgress progress {
        .age = std::chrono::duration_cast<milliseconds>(BootClock::now() - record.seenAt),
        .within = record.order.within,
        .longestRequest = longestRequest,
        .share = shareOf(record),
        .sinceStep = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - record.steppedAt),
    };
    progress.allHostsFollow = std::all_of(liveHosts.begin(), liveHosts.end(), [&](const std::string& host) {
        const auto told = record.sharesOfPeers.find(host);
        return host == m_settings.host || (told != record.sharesOfPeers.end() && told->second >= record.share);
    });
    for (const auto& replica : replicas.ofService(record.order.service)) {
        const bool serves = !replica->gone && !replica->entry.leaving;
        if (replica->entry.version == record.order.candidate) {
            progress.placesOfCandidate += serves ? replica->entry.slots : 0;
        } else {
            progress.placesBefore += serves ? replica->entry.slots : 0;
            progress.requestsBefore += replica->ownLoad.requests + replica->peerLoad.requests;
        }
    }
    return progress;
}

void RolloutWatch::move(RolloutRecord& record, double share, uint64_t fencingNumber)
{
    record.share = share;
    record.fencingNumber = fencingNumber;
    record.steppedAt = std::chrono::steady_clock::now();
    m_log.info("rollout share", { { "service", record.order.service }, { "version", record.order.candidate }, { "share", share }, { "told_by", m_settings.host }, { "fencing_number", fencingNumber } });
}

void RolloutWatch::setState(RolloutRecord& record, RolloutState state)
{
    if (record.state != state && isOpen(record.state)) {
        m_log.info("rollout state", { { "service", record.order.service }, { "version", record.order.candidate }, { "state", rolloutStateName(state) } });
        record.state = state;
        m_metrics.countRolloutState(rolloutStateName(state));
    }
}

} // namespace siskinspread
