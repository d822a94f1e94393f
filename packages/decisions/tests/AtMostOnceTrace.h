#pragma once

#include "AtMostOnceModel.h"

/** @file Replays one trace of tests/traces through the decisions or through the naive owner; see traces/FORMAT.txt. */

namespace siskinspread {

/** A trace file: its steps, the stated outcome, and the lines in which the naive owner differs. */
struct TraceFile {
    std::vector<std::string> steps;
    std::vector<std::string> outcome;
    std::vector<std::string> naiveOutcome;
};

/** Precondition: the file exists. */
TraceFile readTrace(const std::string& path);

class AtMostOnceTrace {
public:
    explicit AtMostOnceTrace(bool naive);

    /** @return whether the step is known. */
    bool apply(const std::string& step);

    /** Ends the case. @return the outcome, in the lines of a trace file. */
    std::vector<std::string> finish();

    /** Invariants of the model that did not hold. */
    const std::vector<std::string>& violations() const { return m_model.violations; }

private:
    using Model = AtMostOnceModel;

    void tryKey();
    Model::Ref ownerNow();
    Model::Ref naiveOwnerNow();
    Model::Ref taker();
    void refuse();
    void kill(bool owner, bool holder);
    void takeOver();
    void beginTakeover();
    void pass(Model::Channel channel, bool requests, bool answers);
    void passTime(std::initializer_list<Model::Channel> channels);
    void runChannels(std::initializer_list<Model::Channel> channels);
    void lose(Model::Channel channel, bool answers, bool stillUnderWay);
    void fireTimers();
    void doubleAnswers();

    bool m_naive;
    ModelCoverage m_coverage;
    Model m_model;
    IdempotencyKey m_key { .customer = "customer", .text = "key0" };
    std::vector<RequestId> m_tries;
    bool m_takeoverBegan { false };
    Model::Ref m_owner;
};

} // namespace siskinspread
