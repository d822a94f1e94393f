#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace siskinspread {

/**
 * Rollouts: a service's traffic is moved to replicas of a new version while the old ones are still there.
 *
 * The load that this answers is a version that fails or is slow for a part of its requests, at once or later, under load only or on one
 * route only. So each host sends a small, fixed share of its requests to the candidate version (a canary), hosts tell each other what
 * became of them, and each host by itself stops using a candidate that does worse than the version before. One host at a time moves
 * the rest of the traffic as late as the deadline allows, since what is moved late is exposed least to a fault that shows late.
 */
struct RolloutOptions {
    double canaryShare { 0.1 }; /**< Of all requests up to the deadline, that a faulty version may get at most. */
    /** Of that share, what is sent before the traffic is moved: the rest is for a fault that shows only then. */
    double trialPart { 0.5 };
    /** Standard errors by which the candidate has to do worse: hosts look at the figures some 10 times a second for a minute. */
    double significance { 4.0 };
    double leastDifference { 0.02 }; /**< In the share of bad answers, below which a difference is no fault. */
    uint64_t fewestBad { 8 }; /**< Bad answers of the candidate before it is called faulty. */
    uint64_t fewestBaseline { 50 }; /**< Answers of the version before that are needed to compare with. */
    double badWithoutBaseline { 0.2 }; /**< Share of bad answers that is a fault by itself. */
    uint64_t fewestBadWithoutBaseline { 20 };
    double leastCapacity { 0.5 }; /**< Of the places at the replicas before, that the candidate has to have before the traffic is moved. */
    std::chrono::milliseconds step { 2000 }; /**< Between two steps of moving the traffic: hosts tell each other within it what came of the first. */
    std::chrono::milliseconds margin { 1500 }; /**< Before the deadline, for the last write to the store. */
};

/** What the operator asks for. */
struct RolloutOrder {
    std::string service;
    std::string candidate; /**< The version that the traffic is to be moved to. */
    std::chrono::milliseconds within { 0 };
    bool operator==(const RolloutOrder&) const = default;
};

/** What is known to have become of an order; final ones are in the store. */
enum class RolloutState : uint8_t {
    Ordered,
    InProgress,
    Complete,
    RolledBack,
};

/** Answers of one version on one route. */
struct VersionAnswers {
    uint64_t answers { 0 };
    uint64_t failed { 0 };
    uint64_t slow { 0 }; /**< Took several times as long as is usual on the route. */
};

/** Answers of both versions on one route. */
struct RouteEvidence {
    VersionAnswers before;
    VersionAnswers candidate;
};

/** What is measured of the answers on a route. */
struct MeasuredPart {
    uint64_t route { 0 }; /**< Hash of its name. */
    bool isWhole { false }; /**< Answers to their end; otherwise to their first byte. */
    bool operator<(const MeasuredPart& other) const { return std::tie(route, isWhole) < std::tie(other.route, other.isWhole); }
};

using RolloutEvidence = std::map<MeasuredPart, RouteEvidence>;

/** Adds what another host has seen. Thread safety: safe while no other thread uses `sum`. */
void addEvidence(RolloutEvidence& sum, const RolloutEvidence& part);

/** A way in which the candidate does worse. */
struct RolloutFault {
    uint64_t route { 0 };
    bool isSlow { false }; /**< Otherwise answers fail. */
    uint64_t bad { 0 };
    uint64_t answers { 0 };
};

/**
 * Compares the versions route by route, and over all routes: a fault on one route must not be hidden by the others. First bytes and
 * whole answers are apart, since an answer that is slow in both would count as two. Trouble that hits both versions alike is no fault
 * of the candidate. @return nothing where the candidate does not do worse. Thread safety: reentrant.
 */
std::optional<RolloutFault> faultOf(const RolloutEvidence&, const RolloutOptions&);

/** How far an order is, as the host knows that moves the traffic. */
struct RolloutProgress {
    std::chrono::milliseconds age { 0 }; /**< Since the order was first seen. */
    std::chrono::milliseconds within { 0 };
    std::chrono::milliseconds longestRequest { 0 }; /**< For which a request may be at a replica of the version before. */
    double share { 0 }; /**< Of the requests, that goes to the candidate now. */
    std::chrono::milliseconds sinceStep { 0 };
    bool allHostsFollow { false }; /**< All hosts that may be serving use that share. */
    uint64_t requestsBefore { 0 }; /**< That are at replicas of the version before. */
    uint64_t placesBefore { 0 }; /**< At its replicas that serve. */
    uint64_t placesOfCandidate { 0 };
};

/** What the host that moves the traffic does next. */
struct RolloutStep {
    enum class Action : uint8_t {
        Wait,
        Move, /**< Send `share` of the requests to the candidate. */
        Complete,
        RollBack,
    };
    Action action { Action::Wait };
    double share { 0 };
};

/** @return the share of a host's requests that goes to the candidate while it is on trial. Thread safety: reentrant. */
double trialShare(const RolloutOptions&);

/** @return when the traffic begins to be moved, from when the order was first seen. Thread safety: reentrant. */
std::chrono::milliseconds moveAt(std::chrono::milliseconds within, std::chrono::milliseconds longestRequest, const RolloutOptions&);

/** @return the next step of an order that is neither complete nor rolled back. Thread safety: reentrant. */
RolloutStep nextStep(const RolloutProgress&, bool isFaulty, const RolloutOptions&);

/**
 * Credit of one host for requests to the candidate. Each host keeps to its share of its own requests, so the sum over all hosts does
 * too, whether they hear each other or not.
 */
struct CanaryCredit {
    double requests { 0 };
};

/** A request has come. @return whether it goes to the candidate. Thread safety: safe while no other thread uses the credit. */
bool takesCanary(CanaryCredit&, double share);

/** Which versions a host uses for a request. */
enum class VersionUse : uint8_t {
    Any,
    BeforeOnly, /**< No replica of the candidate. */
    CandidateFirst, /**< Others only where the candidate has no replica. */
};

/** What a host knows of the order for a service. */
struct RolloutView {
    RolloutState state { RolloutState::Ordered };
    bool isFaulty { false }; /**< By the answers that this host knows of. */
    bool hearsPeers { false }; /**< Or there are none; otherwise nothing would stop this host when others see a fault. */
};

/**
 * @param isFirstAttempt repeats go to the version before, so that a fault of the candidate costs each request one attempt at most and
 * the share counts requests as the store's operator does.
 * @param takesCanary what takesCanary returned for the request.
 */
VersionUse versionUse(const RolloutView&, double share, bool isFirstAttempt, bool takesCanary);

/** Running estimate of what an answer on a route usually takes: about the median. */
struct UsualTime {
    double milliseconds { 0 };
    uint64_t answers { 0 };
};

/** Takes in an answer of the version before. Thread safety: safe while no other thread uses the estimate. */
void noteUsualTime(UsualTime&, std::chrono::microseconds took);

/** @return whether an answer took several times as long as usual; false while too little is known. Thread safety: const. */
bool isSeveralTimesUsual(const UsualTime&, std::chrono::microseconds took);

/** @return the name of a state in the log. Thread safety: reentrant. */
std::string_view rolloutStateName(RolloutState);

} // namespace siskinspread
