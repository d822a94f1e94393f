#include "siskinspread/Admission.h"
#include "siskinspread/NaiveAdmission.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

namespace siskinspread {

namespace {

    using namespace std::chrono_literals;

    constexpr MonotonicTime start { 1h };

    AdmissionRequest requestOf(const std::string& customer, uint64_t sequence)
    {
        return { .sequence = sequence, .customer = customer, .deadline = start + 1h };
    }

} // namespace

TEST_CASE("each request is admitted once or refused once with a time to come back, within every limit")
{
    CHECK(rc::check([] {
        const AdmissionOptions options { .poolLimit = *rc::gen::inRange<uint32_t>(1, 6), .queueLimit = *rc::gen::inRange<uint32_t>(0, 6) };
        AdmissionState state;
        MonotonicTime now = start;
        std::map<uint64_t, std::string> customerOf;
        std::vector<uint64_t> running;
        std::set<uint64_t> settled;
        std::map<std::string, uint32_t> inFlight;
        const auto settle = [&](uint64_t sequence) { RC_ASSERT(settled.insert(sequence).second); };
        const auto admitted = [&](uint64_t sequence) {
            settle(sequence);
            running.push_back(sequence);
            ++inFlight[customerOf[sequence]];
        };
        const auto refused = [&](const AdmissionRefusal& refusal) {
            settle(refusal.sequence);
            RC_ASSERT(refusal.retryAfter >= options.shortestRetryAfter && refusal.retryAfter <= options.longestRetryAfter);
            RC_ASSERT(resultInfo(refusal.code).retryable);
        };
        const auto apply = [&](const AdmissionChanges& changes) {
            std::for_each(changes.refused.begin(), changes.refused.end(), refused);
            std::for_each(changes.admitted.begin(), changes.admitted.end(), admitted);
        };
        constexpr uint32_t customerLimit = 3;
        uint64_t sequence = 0;
        for (int step = *rc::gen::inRange(1, 60); step > 0; --step) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 400));
            AdmissionChanges changes;
            if (running.empty() || *rc::gen::inRange(0, 3) > 0) {
                AdmissionRequest request = requestOf(*rc::gen::element<std::string>("a", "b", "c"), ++sequence);
                request.customerLimit = customerLimit;
                request.priority = *rc::gen::inRange<uint8_t>(0, 3);
                request.deadline = now + std::chrono::milliseconds(*rc::gen::inRange(1, 3000));
                request.expectedDuration = std::chrono::milliseconds(*rc::gen::inRange(0, 500));
                customerOf[sequence] = request.customer;
                const AdmissionDecision decision = admitRequest(state, options, request, now);
                RC_ASSERT(decision.refusal.has_value() == (decision.outcome == AdmissionOutcome::Refused));
                if (decision.outcome == AdmissionOutcome::Admitted) {
                    admitted(sequence);
                }
                for (const auto& refusal : { decision.refusal, decision.displaced }) {
                    if (refusal) {
                        refused(*refusal);
                    }
                }
            } else {
                const uint64_t ended = running.back();
                running.pop_back();
                --inFlight[customerOf[ended]];
                finishRequest(state, options, customerOf[ended], now, changes);
            }
            reviewWaiting(state, options, now, changes);
            apply(changes);
            RC_ASSERT(running.size() <= options.poolLimit && state.inFlight == running.size());
            RC_ASSERT(state.waiting.size() <= options.queueLimit);
            RC_ASSERT(settled.size() + state.waiting.size() == sequence);
            RC_ASSERT(std::all_of(inFlight.begin(), inFlight.end(), [](const auto& entry) { return entry.second <= customerLimit; }));
            RC_ASSERT(!nextReview(state, options) || *nextReview(state, options) > now);
        }
    }));
}

TEST_CASE("a large customer's burst makes a small one wait for it first come, first served, and not by fair queueing")
{
    const AdmissionOptions options { .poolLimit = 10, .reservedShare = 0.2, .queueLimit = 200, .longestWait = 60s };
    AdmissionState fair;
    NaiveAdmissionState naive;
    for (uint64_t i = 0; i < 100; ++i) {
        admitRequest(fair, options, requestOf("large", i), start);
        admitNaively(naive, options, requestOf("large", i));
    }
    const AdmissionRequest small = requestOf("small", 1000);
    CHECK(admitNaively(naive, options, small).outcome == AdmissionOutcome::Waiting);
    AdmissionChanges naiveChanges;
    while (std::find(naiveChanges.admitted.begin(), naiveChanges.admitted.end(), 1000U) == naiveChanges.admitted.end()) {
        finishNaively(naive, naiveChanges);
    }
    CHECK(naiveChanges.admitted.size() == 91); // after all that came before

    CHECK(fair.inFlight == 10); // alone, it may use the whole pool
    CHECK(admitRequest(fair, options, small, start).outcome == AdmissionOutcome::Waiting);
    AdmissionChanges changes;
    finishRequest(fair, options, "large", start + 10ms, changes);
    REQUIRE(changes.admitted.size() == 1);
    CHECK(changes.admitted[0] == 1000);
}

TEST_CASE("under contention customers are served by their weights")
{
    const AdmissionOptions options { .poolLimit = 1, .reservedShare = 0, .queueLimit = 400, .longestWait = 60s };
    AdmissionState state;
    std::map<uint64_t, std::string> customerOf;
    admitRequest(state, options, requestOf("first", 999), start);
    for (uint64_t i = 0; i < 200; ++i) {
        AdmissionRequest request = requestOf(i % 2 == 0 ? "heavy" : "light", i);
        request.weight = i % 2 == 0 ? 3 : 1;
        customerOf[i] = request.customer;
        REQUIRE(admitRequest(state, options, request, start).outcome == AdmissionOutcome::Waiting);
    }
    std::string running = "first";
    std::map<std::string, int> served;
    for (int i = 0; i < 80; ++i) {
        AdmissionChanges changes;
        finishRequest(state, options, running, start + 1ms, changes);
        REQUIRE(changes.admitted.size() == 1);
        running = customerOf[changes.admitted[0]];
        ++served[running];
    }
    CHECK(served["heavy"] >= 58);
    CHECK(served["heavy"] <= 62);
}

TEST_CASE("a full queue sheds the lowest priority first, then the largest backlog")
{
    const AdmissionOptions options { .poolLimit = 1, .reservedShare = 0, .queueLimit = 3 };
    AdmissionState state;
    const auto offer = [&](const char* customer, uint64_t sequence, uint8_t priority) {
        AdmissionRequest request = requestOf(customer, sequence);
        request.priority = priority;
        return admitRequest(state, options, request, start);
    };
    CHECK(offer("a", 1, 1).outcome == AdmissionOutcome::Admitted);
    offer("a", 2, 1);
    offer("a", 3, 1);
    offer("b", 4, 0);
    CHECK(offer("b", 5, 1).displaced->sequence == 4); // the lowest priority
    CHECK(offer("c", 6, 1).displaced->sequence == 3); // the newest of the largest backlog
    const AdmissionDecision last = offer("d", 7, 0);
    CHECK(last.outcome == AdmissionOutcome::Refused);
    CHECK(last.refusal->code == ResultCode::PoolFull);
}

TEST_CASE("a request that cannot make its deadline is refused at once, and a waiting one when its time is up")
{
    const AdmissionOptions options { .poolLimit = 1, .queueLimit = 10 };
    AdmissionState state;
    AdmissionRequest request = requestOf("a", 1);
    request.deadline = start + 100ms;
    request.expectedDuration = 200ms;
    CHECK(admitRequest(state, options, request, start).refusal->code == ResultCode::DeadlineTooClose);
    CHECK(admitRequest(state, options, requestOf("a", 2), start).outcome == AdmissionOutcome::Admitted);
    request.sequence = 3;
    request.deadline = start + 500ms;
    CHECK(admitRequest(state, options, request, start).outcome == AdmissionOutcome::Waiting);
    CHECK(nextReview(state, options) == start + 300ms);
    AdmissionChanges changes;
    reviewWaiting(state, options, start + 300ms, changes);
    REQUIRE(changes.refused.size() == 1);
    CHECK(changes.refused[0].code == ResultCode::DeadlineTooClose);
    CHECK(admissionLimit(320, 1.0, 7) == 45);
    CHECK(admissionLimit(0, 1.0, 7) == 1);
    CHECK(admissionLimit(64, 1.5, 380, 1.0 / 16) == 6); // an owner of keys dispatches for all hosts
    CHECK(admissionLimit(64, 1.5, 4, 1.0 / 16) == 24);
}

TEST_CASE("a waiting request whose caller has gone leaves the queue")
{
    const AdmissionOptions options { .poolLimit = 1, .queueLimit = 10 };
    AdmissionState state;
    admitRequest(state, options, requestOf("a", 1), start);
    admitRequest(state, options, requestOf("a", 2), start);
    CHECK(cancelWaiting(state, 2));
    CHECK_FALSE(cancelWaiting(state, 2));
    AdmissionChanges changes;
    finishRequest(state, options, "a", start + 1ms, changes);
    CHECK(changes.admitted.empty());
}

} // namespace siskinspread
