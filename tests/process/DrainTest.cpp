// Planned stops of real hosts: by an operator's command and by notices of the cloud API.

#include "ModelAnswer.h"
#include "support/Deployment.h"
#include "support/Eventually.h"
#include "support/Holds.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <future>

namespace siskinspread::testing {

namespace {

    const DeploymentOptions withLedger { .failureDomains = 2, .hostsPerFailureDomain = 2, .engines = 0, .ledgers = 1 };
    const DeploymentOptions withCloud { .failureDomains = 2, .hostsPerFailureDomain = 2, .engines = 0, .ledgers = 1, .cloud = true };
    const DeploymentOptions withEngine { .failureDomains = 2, .hostsPerFailureDomain = 1, .engines = 1, .ledgers = 1, .engineArguments = { "--between-tokens-ms", "20" } };

    constexpr uint64_t streamTokens = 200; // four seconds at 20 ms each
    constexpr size_t eventBeforeDrain = 5;

    nlohmann::json drainState(const EntryHost& host)
    {
        return nlohmann::json::parse(httpCall({ .url = host.peerUrl("/operator/drain") }).body, nullptr, false);
    }

    /** @return what `siskinctl drain` printed. */
    nlohmann::json drain(const Deployment& deployment, const EntryHost& host, std::vector<std::string> options = {}, int exitCode = 0)
    {
        std::vector<std::string> arguments { "drain", "--output", "json", host.peerUrl("") };
        arguments.insert(arguments.end(), options.begin(), options.end());
        const auto result = deployment.control(std::move(arguments));
        CAPTURE(result.second);
        CHECK(result.first == exitCode);
        return nlohmann::json::parse(result.second);
    }

    /** Ends the process as the cloud does, unless it has stopped by itself in time. @return whether it had. */
    bool endHost(EntryHost& host, std::chrono::steady_clock::time_point hostEnds)
    {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(hostEnds - std::chrono::steady_clock::now());
        const auto end = host.process->waitForEnd(std::max(left, std::chrono::milliseconds { 0 }));
        if (end) {
            CHECK(end->exitCode == 0);
        } else {
            MESSAGE(host.name << " was ended by the cloud before it had stopped");
            host.process->kill();
        }
        return end.has_value();
    }

    /** Checks the key's one account and that a second try does not run the call again. */
    void checkOneTrueAccount(const Deployment& deployment, size_t witness, const std::string& key, const HttpResponse& answer)
    {
        CAPTURE(key);
        CAPTURE(answer.body);
        const auto account = finalAccountOf(deployment, witness, key);
        CAPTURE(account.dump());
        const std::string runState = account.at("run_state");
        eventually("the ledger has run what it accepted", [&] { return nlohmann::json::parse(httpCall({ .url = deployment.ledger(0).url("/record/" + key) }).body).value("pending", 0) == 0; });
        const int before = runs(deployment, key);
        CHECK(before <= 1);
        const bool isTrue = runState == "may_have_run" || (runState == "ran") == (before == 1);
        CHECK(isTrue);
        if (answer.status == 200) {
            CHECK(runState == "ran");
        }
        const HttpResponse second = holdWhenOwned(deployment, witness, key);
        if (runState == "ran") {
            CHECK(second.status == 200);
            CHECK(second.header("x-replay-of") != "");
        } else if (runState == "may_have_run") {
            CHECK(errorOf(second).at("run_state") == "may_have_run");
        }
        CHECK(runs(deployment, key) == (runState == "not_run" ? 1 : before));
        CHECK(finalAccountOf(deployment, witness, key).at("run_state") == (runState == "not_run" ? "ran" : runState));
    }

    /** Holds sent at once at all the given hosts; returns when each was sent on to the ledger. */
    struct OpenHolds {
        std::vector<std::string> keys;
        std::vector<std::future<HttpResponse>> responses;

        OpenHolds(const Deployment& deployment, const std::vector<size_t>& hosts, size_t perHost, size_t asked)
        {
            for (size_t i = 0; i < hosts.size() * perHost; ++i) {
                const size_t host = hosts[i % hosts.size()];
                keys.push_back("open-" + std::to_string(i));
                responses.push_back(std::async(std::launch::async, [&deployment, host, key = keys.back()] { return holdUntilTaken(deployment, host, key); }));
            }
            for (const std::string& key : keys) {
                ownerOf(deployment, asked, key, 1);
            }
        }
    };

} // namespace

TEST_CASE("a drain by command: readiness goes first, a stream and a hold end whole, and the exit code is 0")
{
    Deployment deployment { withEngine };
    prepareDelayedHolds(deployment);
    DelayedHold inFlight { deployment, 0, "hold-1" };
    EntryHost& host = deployment.host(inFlight.owner);
    const auto onEvent = [&](const ServerSentEvent&, size_t count) {
        if (count == eventBeforeDrain) {
            CHECK(drainState(host).at("state") == "serving");
            const auto first = drain(deployment, host);
            CHECK(first.at("state") == "draining");
            CHECK(first.at("already_draining") == false);
            CHECK(first.at("open_requests") >= 2);
            CHECK(first.at("grace_left_ms") <= 20000);
            CHECK(httpCall({ .url = host.url("/readyz") }).status == 503);
            CHECK(errorOf(hold(deployment, inFlight.owner, "hold-2")).at("name") == "draining");
            CHECK(drain(deployment, host).at("already_draining") == true);
        }
        return true;
    };
    const EventStream stream = httpStream(deployment.chat(inFlight.owner, "two dollies", streamTokens), onEvent);
    CHECK(stream.response.isComplete);
    const std::vector<standin::ChatMessage> messages { { .role = "user", .content = "two dollies" } };
    CHECK(streamedText(stream.events) == standin::answerText(standin::answerHash(modelName, messages), 0, streamTokens));
    CHECK(stream.events.back().data == "[DONE]");
    CHECK(inFlight.response.get().status == 200);
    CHECK(host.process->waitForEnd()->exitCode == 0);
    const size_t witness = 1 - inFlight.owner;
    CHECK(deployment.finalAccount(witness, stream.response.header("x-request-id")).at("name") == "ok");
    CHECK(finalAccountOf(deployment, witness, "hold-1").at("run_state") == "ran");
    CHECK(runs(deployment, "hold-1") == 1);
    CHECK(runs(deployment, "hold-2") == 0);
    CHECK(deployment.control({ "drain", host.peerUrl("") }).first == 4);
}

TEST_CASE("drain --wait returns when the host has ended, and with its own exit code when the time is up")
{
    Deployment deployment { withLedger };
    prepareDelayedHolds(deployment);
    DelayedHold inFlight { deployment, 0, "hold-3" };
    EntryHost& host = deployment.host(inFlight.owner);
    CHECK(drain(deployment, host, { "--wait", "--wait-timeout", "1" }, 6).at("state") == "draining");
    CHECK(drain(deployment, host, { "--wait", "--wait-timeout", "60" }).at("state") == "ended");
    CHECK(host.process->waitForEnd()->exitCode == 0);
    CHECK(inFlight.response.get().status == 200);
}

TEST_CASE("a host that is drained waits for the answers of owners at other hosts")
{
    Deployment deployment { withLedger };
    prepareDelayedHolds(deployment);
    std::vector<DelayedHold> inFlight;
    do { // until one of them belongs to another host
        inFlight.emplace_back(deployment, 0, "hold-4-" + std::to_string(inFlight.size()));
    } while (inFlight.back().owner == 0);
    drain(deployment, deployment.host(0));
    CHECK(inFlight.back().response.get().status == 200);
    CHECK(deployment.host(0).process->waitForEnd()->exitCode == 0);
}

TEST_CASE("a notice to one entry host stops it with nothing cut off, and the other hosts learn of it")
{
    Deployment deployment { withCloud };
    prepareDelayedHolds(deployment);
    DelayedHold inFlight { deployment, 0, "hold-5" };
    EntryHost& host = deployment.host(inFlight.owner);
    const size_t witness = (inFlight.owner + 1) % deployment.hostCount();
    deployment.giveNotice({ { "hosts", { host.name } }, { "seconds", 30 } });
    eventually("it drains", [&] { return drainState(host).value("state", "") == "draining"; });
    CHECK(httpCall({ .url = host.url("/readyz") }).status == 503);
    CHECK(inFlight.response.get().status == 200);
    CHECK(host.process->waitForEnd()->exitCode == 0);
    checkOneTrueAccount(deployment, witness, "hold-5", { .status = 200 });
    eventually("the notice is counted", [&] { return deployment.metric(witness, "siskinspread_reclaim_notices_total", "other_host") == 1; });
    CHECK(deployment.metric(witness, "siskinspread_draining", "") == 0);
    deployment.giveNotice({ { "hosts", { "ledger-0" } }, { "seconds", 30 } });
    eventually("the ledger's notice is counted", [&] { return deployment.metric(witness, "siskinspread_reclaim_notices_total", "other_host") == 2; });
}

TEST_CASE("a notice to a whole failure domain with time enough: every open hold is answered")
{
    Deployment deployment { withCloud };
    prepareDelayedHolds(deployment);
    OpenHolds open { deployment, { 0, 2 }, 3, 1 };
    const auto hostsEnd = std::chrono::steady_clock::now() + std::chrono::seconds { 30 };
    deployment.giveNotice({ { "failure_domain", deployment.host(0).failureDomain }, { "seconds", 30 } });
    for (size_t i = 0; i < open.keys.size(); ++i) {
        const HttpResponse answer = open.responses[i].get();
        CHECK(answer.status == 200);
        CHECK(runs(deployment, open.keys[i]) == 1);
    }
    CHECK(endHost(deployment.host(0), hostsEnd));
    CHECK(endHost(deployment.host(2), hostsEnd));
    endDelay(deployment);
    for (const std::string& key : open.keys) {
        checkOneTrueAccount(deployment, 1, key, { .status = 200 });
    }
}

TEST_CASE("a notice to a whole failure domain while the store is away: every hold is answered, and its record outlives the domain")
{
    Deployment deployment { withCloud };
    waitForCopyHolders(deployment);
    prepareDelayedHolds(deployment);
    OpenHolds open { deployment, { 0, 2 }, 3, 1 };
    deployment.objectApi().setFaults(R"({"down":true})");
    const auto hostsEnd = std::chrono::steady_clock::now() + std::chrono::seconds { 15 };
    deployment.giveNotice({ { "failure_domain", deployment.host(0).failureDomain }, { "seconds", 15 } });
    for (auto& response : open.responses) {
        CHECK(response.get().status == 200);
    }
    endHost(deployment.host(0), hostsEnd);
    endHost(deployment.host(2), hostsEnd);
    deployment.objectApi().setFaults(R"({"down":false})");
    endDelay(deployment);
    for (const std::string& key : open.keys) {
        checkOneTrueAccount(deployment, 1, key, { .status = 200 });
    }
}

TEST_CASE("a notice to a whole failure domain with too little time: one true final account each, and nothing runs again")
{
    Deployment deployment { withCloud };
    prepareDelayedHolds(deployment, std::chrono::seconds { 8 });
    OpenHolds open { deployment, { 0, 2 }, 3, 1 };
    deployment.giveNotice({ { "failure_domain", deployment.host(0).failureDomain }, { "seconds", 4 } });
    const auto hostsEnd = std::chrono::steady_clock::now() + std::chrono::seconds { 4 };
    const bool firstStopped = endHost(deployment.host(0), hostsEnd);
    const bool secondStopped = endHost(deployment.host(2), hostsEnd);
    endDelay(deployment);
    for (size_t i = 0; i < open.keys.size(); ++i) {
        const HttpResponse answer = open.responses[i].get();
        if (firstStopped && secondStopped) { // else nobody was left to answer
            CHECK(answer.header("x-run-state") == "may_have_run");
            CHECK(answer.header("retry-after") != "");
        }
        checkOneTrueAccount(deployment, 3, open.keys[i], answer);
    }
}

TEST_CASE("a second, shorter notice shortens the grace, and a longer one does not lengthen it")
{
    Deployment deployment { withCloud };
    prepareDelayedHolds(deployment, std::chrono::seconds { 9 });
    DelayedHold inFlight { deployment, 0, "hold-6" };
    EntryHost& host = deployment.host(inFlight.owner);
    const auto graceLeft = [&] { return drainState(host).value("grace_left_ms", int64_t { 0 }); };
    deployment.giveNotice({ { "hosts", { host.name } }, { "seconds", 120 } });
    eventually("the first notice counts", [&] { return graceLeft() > 60000; });
    deployment.giveNotice({ { "hosts", { host.name } }, { "seconds", 5 } });
    deployment.giveNotice({ { "hosts", { host.name } }, { "seconds", 90 } });
    CHECK(host.process->waitForEnd(std::chrono::seconds { 20 })->exitCode == 0);
    const HttpResponse answer = inFlight.response.get();
    CHECK(answer.header("x-run-state") == "may_have_run");
    endDelay(deployment);
    checkOneTrueAccount(deployment, (inFlight.owner + 1) % deployment.hostCount(), "hold-6", answer);
}

TEST_CASE("a host that is killed halfway through its planned stop: its accounts become final at another host")
{
    Deployment deployment { withEngine };
    prepareDelayedHolds(deployment);
    DelayedHold inFlight { deployment, 0, "hold-7" };
    EntryHost& host = deployment.host(inFlight.owner);
    const size_t witness = 1 - inFlight.owner;
    const auto killAfterDrain = [&](const ServerSentEvent&, size_t count) {
        if (count == eventBeforeDrain) {
            CHECK(drain(deployment, host).at("open_requests") >= 2);
            host.process->kill();
        }
        return true;
    };
    const EventStream stream = httpStream(deployment.chat(inFlight.owner, "two lamps", streamTokens), killAfterDrain);
    CHECK_FALSE(stream.response.isComplete);
    const HttpResponse answer = inFlight.response.get();
    endDelay(deployment);
    checkOneTrueAccount(deployment, witness, "hold-7", answer);
    const auto account = deployment.finalAccount(witness, stream.response.header("x-request-id"));
    CHECK(account.at("name") == "interrupted");
}

} // namespace siskinspread::testing
