#pragma once

#include "siskinspread/BootClock.h"
#include "siskinspread/CallerConnection.h"
#include "siskinspread/CrashWatch.h"
#include "siskinspread/EventScanner.h"
#include "siskinspread/ReplicaCall.h"
#include "siskinspread/ReplicaDirectory.h"
#include "siskinspread/ResultCode.h"
#include "siskinspread/RunMove.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace siskinspread {

class Forwarder;

/** What is known of a request before it is sent anywhere. */
struct AdmittedRequest {
    ReceivedRequest received;
    CallerRequest caller;
    std::shared_ptr<const RoutingTable> table; /**< Keeps `route`, `customer` and `service` alive. */
    const Route* route { nullptr };
    const Customer* customer { nullptr }; /**< Null on public routes. */
    const ServiceProfile* service { nullptr };
    uint64_t sequence { 0 };
    double quotaCost { 0 };
    MonotonicTime endsAt; /**< The caller's deadline or the route's timeout, whichever is sooner. */
    MonotonicTime targetAt; /**< An answer, or a stream's first event, is in time until then. */
};

/** One attempt at a replica. */
struct Attempt {
    std::shared_ptr<Replica> replica;
    std::shared_ptr<ReplicaConnection> connection;
    MonotonicTime sentAt;
    BootTime sentAtBoot;
    std::chrono::microseconds predictedWait { 0 };
    uint32_t unreadTokens { 0 };
    uint64_t heldTokens { 0 };
    std::optional<MonotonicTime> firstByteAt;
    std::optional<BootTime> bodyBegunAt; /**< Of an answer that is no failure. */
    bool notExecuted { false };
    bool otherInstance { false };
    bool newConnection { false };
    bool endsWithConnection { false }; /**< The answer has neither a length nor chunks. */
};

/**
 * One request of a caller from its arrival to its final answer. Owned by the connections that work on it.
 * Thread safety: loop thread only.
 */
class Exchange final : public AnswerObserver, public std::enable_shared_from_this<Exchange> {
public:
    Exchange(Forwarder&, AdmittedRequest);

    /** Watches the caller and the deadline. To be called once, before anything else. */
    void start();

    /** Sends the request to a replica. Precondition: waiting. */
    void sendTo(std::shared_ptr<Replica>, const Placement&);

    /** Gives the final answer to a request that did not run. */
    void refuse(ResultCode, std::chrono::milliseconds retryAfter, std::string_view why);

    /** Ends a stream that has begun and cannot be continued, since no replica has a place. */
    void giveUpStream() { breakStream("no replica has a place to continue the stream"); }

    /** Gives the final answer to a request that is not sent any more, since a part of its prompt may crash replicas. */
    void endSuspected(const HeldPrompt&);

    /** Moves a stream that cannot be resumed away from a replica that is about to end. To be called every 50 ms or so. */
    void reviewMove(MonotonicTime now);

    /** Gives the final answer as the host stops; one that has begun is broken off. Idempotent. */
    void endForStop();

    /** Lets go of the connections, which refer back to the exchange, at the end of the process. */
    void abandon();

    const AdmittedRequest& request() const { return m_request; }
    bool isWaiting() const { return m_phase == Phase::Waiting; }
    bool isAnswering() const { return m_phase == Phase::Answering; }
    bool isDone() const { return m_phase == Phase::Done; }
    bool wasSentTo(uint64_t replica) const { return m_tried.contains(replica); }
    bool isFirstAttempt() const { return m_attempts == 0; }
    /** Whether the request goes to a version that is on trial; empty: not decided. */
    std::optional<bool>& canary() { return m_canary; }
    uint32_t urgency() const;
    uint64_t tokens() const;

    bool onAnswerHead(AnswerHead&&) override;
    void onAnswerBody(std::string_view) override;
    void onAnswerComplete() override;
    void onAnswerBroken(ReplicaFailure) override;

private:
    enum class Phase : uint8_t {
        Waiting,
        Sent,
        Answering, /**< The caller has the head of the answer. */
        Done,
    };

    void onCallerLeft();
    void onTimeout();
    void fail(int status, ResultCode, std::string_view why);
    void tryAgain(ResultCode cause, std::string_view why);
    bool mayRepeat() const;
    void onNotExecuted();
    /** The end of a stream has come, by its framing. */
    void onStreamEnded();
    void completeStream();
    /** The answer of the current attempt is whole, and no failure of its replica. */
    void noteAnswerWhole(MonotonicTime endedAt);
    void beginStream(AnswerHead&&);
    void deliverWhole();
    void passOn(std::string_view bytes);
    /** The body is larger than what is delivered whole. */
    void onLargeBody();
    /** Gives up on what the replica sends. */
    void breakOffReplica();
    void noteFirstByte();
    void noteBodyBegun();
    void noteCut(ReplicaFailure);
    PromptAttempt promptAttempt() const;
    void releaseAttempt(bool keep);
    void finish(ResultCode, int status, std::string_view why);
    void breakStream(std::string_view why);
    /** @return whether another replica can carry the run on with the memory of the first. */
    bool isMovable() const;
    bool mustMove(MonotonicTime now);
    void startMove(std::shared_ptr<Replica> target, MonotonicTime now);
    void onStopOrderEnded(uint64_t number, std::optional<MemoryMoveAnswer>, const LastReason&);
    /** Notes the end of an answer whose replica was ordered to stop its run. */
    void endMovingAnswer(AnswerEnd);
    void stepMove();
    void continueMoved();
    /** The source has closed the stream of a run that cannot be carried on. */
    void endUnmoved(std::string_view why);
    void forgetMove();

    /** Answers up to this size are delivered only once they are whole, so that a broken one can still become an error. */
    static constexpr size_t maxWholeBytes = 256U << 10U;

    Forwarder& m_forwarder;
    AdmittedRequest m_request;
    asio::steady_timer m_timer;
    Attempt m_attempt;
    std::set<uint64_t> m_tried; /**< Replicas that were sent the request. */
    uint32_t m_attempts { 0 };
    Phase m_phase { Phase::Waiting };
    RunState m_run { RunState::NotRun };
    AnswerHead m_answer;
    std::string m_body; /**< Of an answer that is delivered whole. */
    EventScanner m_events;
    /** An order to the replica of the current attempt to stop the run. */
    struct StopOrder {
        uint64_t number { 0 };
        std::shared_ptr<ReplicaCall> call;
        std::shared_ptr<Replica> target;
        MonotonicTime sentAt;
    };
    /** Where the run goes on once its replica has closed the stream. */
    struct Continuation {
        std::shared_ptr<Replica> replica;
        std::string memoryFrom;
        bool callCounted { true }; /**< Against the limit of the replica. */
    };
    RunMove m_move; /**< Of the current attempt. */
    std::vector<StopOrder> m_stopOrders; /**< Without an answer so far. */
    uint64_t m_stopOrdersSent { 0 };
    std::optional<Continuation> m_continuation;
    std::optional<MonotonicTime> m_moveTriedAt;
    std::string m_memoryFrom; /**< For the next attempt; see ForwardOrder. */
    bool m_callCounted { false }; /**< The next attempt has been counted against the limit of its replica. */
    std::optional<bool> m_canary;
    bool m_streaming { false };
    bool m_passesEvents { false }; /**< What the caller gets is a stream of events, which can go on at another replica. */
    bool m_usageCounted { false };
    std::optional<MonotonicTime> m_firstByteAt;
};

} // namespace siskinspread
