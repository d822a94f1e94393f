#include "AtMostOnceModel.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <iostream>

namespace siskinspread {

namespace {

    constexpr size_t stepsPerCase = 400;
    constexpr uint32_t operations = 128;

    /** One random number per step: its low bits are the operation, most of which deliver messages. */
    std::vector<ModelStep> randomSteps()
    {
        const auto numbers = *rc::gen::container<std::vector<uint32_t>>(stepsPerCase, rc::gen::resize(rc::kNominalSize, rc::gen::inRange<uint32_t>(0, UINT32_MAX)));
        std::vector<ModelStep> steps;
        steps.reserve(numbers.size());
        for (const uint32_t number : numbers) {
            steps.push_back({ .operation = number % operations, .first = number / operations % 1024, .second = number / operations / 1024 % 4096 });
        }
        return steps;
    }

    AtMostOnceModel run(bool naive, const std::vector<ModelStep>& steps, ModelCoverage& coverage)
    {
        AtMostOnceModel model(naive, coverage);
        for (const ModelStep& step : steps) {
            model.apply(step);
        }
        model.finish();
        return model;
    }

    bool violates(const AtMostOnceModel& model, char invariant)
    {
        return std::any_of(model.violations.begin(), model.violations.end(), [&](const std::string& text) { return text[0] == invariant; });
    }

} // namespace

TEST_CASE("at most once and one account hold under kills, pauses, cuts, lost answers, duplicates and takeovers")
{
    ModelCoverage coverage;
    const bool holds = rc::check("at most once", [&] {
        const AtMostOnceModel model = run(false, randomSteps(), coverage);
        if (!model.violations.empty()) {
            RC_FAIL(model.violations.front());
        }
    });
    if (!holds) {
        std::cerr << "replay: RC_PARAMS='seed=1 max_success=1000' build/packages/decisions/decisions_tests -tc='at most once and one account*'\n";
    }
    CHECK(holds);
    MESSAGE("ran ", coverage.ran, ", replayed ", coverage.replayed, ", unknown ", coverage.unknown, ", not run ", coverage.notRun,
        ", taken over ", coverage.takenOver, ", durable by copy ", coverage.durableByCopy, ", sealed with copies ", coverage.sealedWithCopies,
        ", history lost ", coverage.historyLost, ", log lost alive ", coverage.logLostAlive, ", ran after log closed ", coverage.ranAfterLogClosed, ", final lookups ", coverage.finalLookups,
        ", owner and holder lost ", coverage.ownerAndHolderLost, ", domain lost ", coverage.domainLost, ", domain announced ", coverage.domainAnnounced, ", sealed from adopted ", coverage.sealedFromAdopted, ", ran before the loss ", coverage.ranBeforeLoss,
        ", tried after the loss ", coverage.triedAfterLoss, ", accounts after the loss ", coverage.accountsAfterLoss,
        ", tried during takeover ", coverage.triedDuringTakeover, ", superseded answers ", coverage.supersededAnswers,
        ", replays accounted ", coverage.replaysAccounted, ", final lookups by key ", coverage.finalKeyLookups, ", attempts unknown ", coverage.attemptsUnknown);
    for (const size_t reached : { coverage.ran, coverage.replayed, coverage.unknown, coverage.notRun, coverage.takenOver, coverage.durableByCopy,
             coverage.sealedWithCopies, coverage.historyLost, coverage.logLostAlive, coverage.ranAfterLogClosed, coverage.finalLookups,
             coverage.ownerAndHolderLost, coverage.domainLost, coverage.domainAnnounced, coverage.sealedFromAdopted, coverage.ranBeforeLoss, coverage.triedAfterLoss, coverage.accountsAfterLoss,
             coverage.triedDuringTakeover, coverage.supersededAnswers, coverage.replaysAccounted, coverage.attemptsUnknown, coverage.finalKeyLookups }) {
        CHECK(reached > 0);
    }
}

TEST_CASE("the naive owner by hash of the live list runs requests twice and says not run of requests that ran")
{
    ModelCoverage coverage;
    size_t ranTwice = 0;
    size_t wronglyNotRun = 0;
    rc::check("naive", [&] {
        const AtMostOnceModel model = run(true, randomSteps(), coverage);
        ranTwice += violates(model, 'a') ? 1 : 0;
        wronglyNotRun += violates(model, 'b') ? 1 : 0;
    });
    MESSAGE("cases in which the naive owner ran a request twice: ", ranTwice, ", said not run wrongly: ", wronglyNotRun);
    CHECK(ranTwice > 0);
    CHECK(wronglyNotRun > 0);
}

} // namespace siskinspread
