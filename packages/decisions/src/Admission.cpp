#include "siskinspread/Admission.h"

#include <algorithm>

namespace siskinspread {

namespace {

    using Seconds = std::chrono::duration<double>;

    constexpr Seconds rateTimeConstant { 5 };
    constexpr std::chrono::seconds customerIdleTime { 60 }; // an idle customer's share is lent to the others

    AdmissionState::Customer& customerOf(AdmissionState& state, const AdmissionRequest& request, MonotonicTime now)
    {
        AdmissionState::Customer& customer = state.customers[request.customer];
        customer.weight = request.weight;
        customer.lastSeen = now;
        return customer;
    }

    bool isActive(const AdmissionState::Customer& customer, MonotonicTime now)
    {
        return customer.inFlight > 0 || customer.waiting > 0 || now - customer.lastSeen <= customerIdleTime;
    }

    double fairShare(const AdmissionState& state, const AdmissionOptions& options, const AdmissionState::Customer& customer, MonotonicTime now)
    {
        double weights = 0;
        for (const auto& [name, other] : state.customers) {
            weights += isActive(other, now) ? other.weight : 0;
        }
        return options.poolLimit * customer.weight / std::max(weights, customer.weight);
    }

    /** The reserve is for customers below their share, so that a burst of another never fills the pool for them. */
    uint32_t limitFor(const AdmissionState& state, const AdmissionOptions& options, const AdmissionState::Customer& customer, MonotonicTime now)
    {
        if (customer.inFlight < fairShare(state, options, customer, now)) {
            return options.poolLimit;
        }
        const double open = options.poolLimit * (1 - options.reservedShare);
        return std::max(1U, static_cast<uint32_t>(open));
    }

    bool isAtOwnLimit(const AdmissionState::Customer& customer, const AdmissionRequest& request)
    {
        return request.customerLimit > 0 && customer.inFlight >= request.customerLimit;
    }

    bool hasRoom(const AdmissionState& state, const AdmissionOptions& options, const AdmissionState::Customer& customer, MonotonicTime now)
    {
        return state.inFlight < limitFor(state, options, customer, now);
    }

    /** Dispatches a request of the customer and advances its start tag, as start-time fair queueing does. */
    void dispatch(AdmissionState& state, AdmissionState::Customer& customer, const AdmissionRequest& request)
    {
        ++customer.inFlight;
        ++state.inFlight;
        const double startTag = std::max(state.virtualTime, customer.startTag);
        state.virtualTime = startTag;
        customer.startTag = startTag + request.work / request.weight;
    }

    Seconds estimatedWait(const AdmissionState& state, size_t ahead)
    {
        if (state.endsPerSecond <= 0) {
            return Seconds(0);
        }
        return Seconds(static_cast<double>(ahead + 1) / state.endsPerSecond);
    }

    /**
     * Waiting requests that probably go before a new one of the customer: its own of the same or higher priority, and
     * as many of each other customer as its weight earns in that time.
     */
    size_t waitingAhead(const AdmissionState& state, const AdmissionState::Customer& customer, const AdmissionRequest& request)
    {
        const auto own = std::count_if(state.waiting.begin(), state.waiting.end(), [&request](const auto& other) {
            return other.request.customer == request.customer && other.request.priority >= request.priority;
        });
        double ahead = static_cast<double>(own);
        for (const auto& [name, other] : state.customers) {
            const double earned = (static_cast<double>(own) + 1) * other.weight / customer.weight;
            ahead += name == request.customer ? 0 : std::min<double>(other.waiting, earned);
        }
        return static_cast<size_t>(ahead);
    }

    AdmissionRefusal refusalOf(const AdmissionState& state, const AdmissionOptions& options, uint64_t sequence, ResultCode code)
    {
        const auto wait = std::chrono::ceil<std::chrono::milliseconds>(std::min(estimatedWait(state, state.waiting.size()), Seconds(options.longestRetryAfter)));
        return { .sequence = sequence, .code = code, .retryAfter = std::clamp(wait, options.shortestRetryAfter, options.longestRetryAfter) };
    }

    AdmissionDecision refuse(const AdmissionState& state, const AdmissionOptions& options, const AdmissionRequest& request, ResultCode code)
    {
        return { .outcome = AdmissionOutcome::Refused, .refusal = refusalOf(state, options, request.sequence, code) };
    }

    MonotonicTime latestStart(const AdmissionState::Waiting& entry, const AdmissionOptions& options)
    {
        return std::min(entry.since + options.longestWait, entry.request.deadline - entry.request.expectedDuration);
    }

    void removeWaiting(AdmissionState& state, size_t position)
    {
        AdmissionState::Customer& customer = state.customers[state.waiting[position].request.customer];
        --customer.waiting;
        customer.waitingWork -= state.waiting[position].request.work;
        state.waiting.erase(state.waiting.begin() + static_cast<std::ptrdiff_t>(position));
    }

    double backlog(const AdmissionState& state, const AdmissionState::Waiting& entry)
    {
        const AdmissionState::Customer& customer = state.customers.at(entry.request.customer);
        return customer.waitingWork / customer.weight;
    }

    /** Whether `left` is shed rather than `right`: lower priority, then larger backlog for its weight. */
    bool shedsBefore(const AdmissionState& state, const AdmissionState::Waiting& left, const AdmissionState::Waiting& right)
    {
        if (left.request.priority != right.request.priority) {
            return left.request.priority < right.request.priority;
        }
        return left.request.customer != right.request.customer && backlog(state, left) > backlog(state, right);
    }

    /** Sheds one waiting request, perhaps the newest. @return the refusal. */
    AdmissionRefusal shedOne(AdmissionState& state, const AdmissionOptions& options)
    {
        // From the newest on, so that of equals the newest is shed.
        const auto worst = std::min_element(state.waiting.rbegin(), state.waiting.rend(), [&state](const auto& left, const auto& right) {
            return shedsBefore(state, left, right);
        });
        const AdmissionRefusal refusal = refusalOf(state, options, worst->request.sequence, ResultCode::LoadShed);
        removeWaiting(state, static_cast<size_t>(state.waiting.rend() - worst) - 1);
        return refusal;
    }

    AdmissionDecision enqueue(AdmissionState& state, const AdmissionOptions& options, const AdmissionRequest& request, AdmissionState::Customer& customer, MonotonicTime now)
    {
        if (customer.waiting == 0) {
            customer.startTag = std::max(state.virtualTime, customer.startTag);
        }
        state.waiting.push_back({ .request = request, .since = now });
        ++customer.waiting;
        customer.waitingWork += request.work;
        if (state.waiting.size() <= options.queueLimit) {
            return { .outcome = AdmissionOutcome::Waiting };
        }
        const AdmissionRefusal shed = shedOne(state, options);
        if (shed.sequence == request.sequence) {
            return refuse(state, options, request, ResultCode::PoolFull);
        }
        return { .outcome = AdmissionOutcome::Waiting, .refusal = {}, .displaced = shed };
    }

    /** Whether `left` goes before `right`: by priority and arrival within a customer, by start tag between customers. */
    bool goesBefore(const AdmissionState& state, const AdmissionState::Waiting& left, const AdmissionState::Waiting& right)
    {
        if (left.request.customer == right.request.customer) {
            return left.request.priority > right.request.priority;
        }
        return state.customers.at(left.request.customer).startTag < state.customers.at(right.request.customer).startTag;
    }

    std::optional<size_t> nextToAdmit(AdmissionState& state, const AdmissionOptions& options, MonotonicTime now)
    {
        std::optional<size_t> best;
        for (size_t i = 0; i < state.waiting.size(); ++i) {
            const AdmissionRequest& request = state.waiting[i].request;
            const AdmissionState::Customer& customer = state.customers[request.customer];
            if (isAtOwnLimit(customer, request) || !hasRoom(state, options, customer, now)) {
                continue;
            }
            if (!best || goesBefore(state, state.waiting[i], state.waiting[*best])) {
                best = i;
            }
        }
        return best;
    }

    void admitWaiting(AdmissionState& state, const AdmissionOptions& options, MonotonicTime now, AdmissionChanges& changes)
    {
        while (const auto position = nextToAdmit(state, options, now)) {
            const AdmissionState::Waiting entry = state.waiting[*position]; // a copy: its place is removed
            removeWaiting(state, *position);
            dispatch(state, state.customers[entry.request.customer], entry.request);
            changes.admitted.push_back(entry.request.sequence);
        }
    }

    void refuseLate(AdmissionState& state, const AdmissionOptions& options, MonotonicTime now, AdmissionChanges& changes)
    {
        for (size_t i = state.waiting.size(); i > 0; --i) {
            const AdmissionState::Waiting& entry = state.waiting[i - 1];
            if (latestStart(entry, options) > now) {
                continue;
            }
            const bool byDeadline = entry.request.deadline - entry.request.expectedDuration <= now;
            changes.refused.push_back(refusalOf(state, options, entry.request.sequence, byDeadline ? ResultCode::DeadlineTooClose : ResultCode::PoolFull));
            removeWaiting(state, i - 1);
        }
    }

    void recordEnd(AdmissionState& state, MonotonicTime now)
    {
        const Seconds gap = state.lastEndAt == MonotonicTime {} ? rateTimeConstant : Seconds(now - state.lastEndAt);
        const double keep = std::max(0.0, 1 - gap / rateTimeConstant);
        state.endsPerSecond = state.endsPerSecond * keep + 1 / rateTimeConstant.count();
        state.lastEndAt = now;
    }

} // namespace

uint32_t admissionLimit(double poolSlots, double overcommit, uint32_t entryHosts, double ownedShare)
{
    const double share = std::max(1.0 / std::max(1U, entryHosts), ownedShare);
    const double limit = poolSlots * overcommit * share;
    return std::max(1U, static_cast<uint32_t>(limit));
}

AdmissionDecision admitRequest(AdmissionState& state, const AdmissionOptions& options, const AdmissionRequest& request, MonotonicTime now)
{
    if (request.deadline <= now) {
        return refuse(state, options, request, ResultCode::DeadlineExpired);
    }
    if (now + request.expectedDuration > request.deadline) {
        return refuse(state, options, request, ResultCode::DeadlineTooClose);
    }
    AdmissionState::Customer& customer = customerOf(state, request, now);
    if (isAtOwnLimit(customer, request)) {
        return refuse(state, options, request, ResultCode::CustomerLimit);
    }
    if (customer.waiting == 0 && hasRoom(state, options, customer, now)) {
        dispatch(state, customer, request);
        return { .outcome = AdmissionOutcome::Admitted };
    }
    const Seconds wait = estimatedWait(state, waitingAhead(state, customer, request));
    if (wait > Seconds(options.longestWait)) {
        return refuse(state, options, request, ResultCode::PoolFull);
    }
    if (now + std::chrono::ceil<MonotonicTime::duration>(wait) + request.expectedDuration > request.deadline) {
        return refuse(state, options, request, ResultCode::DeadlineTooClose);
    }
    return enqueue(state, options, request, customer, now);
}

void finishRequest(AdmissionState& state, const AdmissionOptions& options, const std::string& customer, MonotonicTime now, AdmissionChanges& changes)
{
    const auto position = state.customers.find(customer);
    if (position == state.customers.end() || position->second.inFlight == 0) {
        return;
    }
    --position->second.inFlight;
    --state.inFlight;
    recordEnd(state, now);
    reviewWaiting(state, options, now, changes);
}

void reviewWaiting(AdmissionState& state, const AdmissionOptions& options, MonotonicTime now, AdmissionChanges& changes)
{
    refuseLate(state, options, now, changes);
    admitWaiting(state, options, now, changes);
}

bool cancelWaiting(AdmissionState& state, uint64_t sequence)
{
    const auto position = std::find_if(state.waiting.begin(), state.waiting.end(), [sequence](const auto& entry) { return entry.request.sequence == sequence; });
    if (position == state.waiting.end()) {
        return false;
    }
    removeWaiting(state, static_cast<size_t>(position - state.waiting.begin()));
    return true;
}

std::optional<MonotonicTime> nextReview(const AdmissionState& state, const AdmissionOptions& options)
{
    std::optional<MonotonicTime> next;
    for (const AdmissionState::Waiting& entry : state.waiting) {
        const MonotonicTime latest = latestStart(entry, options);
        next = next ? std::min(*next, latest) : latest;
    }
    return next;
}

} // namespace siskinspread
