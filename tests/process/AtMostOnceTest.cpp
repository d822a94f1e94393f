// Requests that may not be repeated, at real hosts that are killed, paused and cut off from the store.

#include "support/Deployment.h"
#include "support/Eventually.h"
#include "support/Holds.h"

#include "siskinspread/SliceMap.h"

#include <doctest/doctest.h>

#include <csignal>
#include <future>

namespace siskinspread::testing {

namespace {

    const DeploymentOptions twoDomains { .failureDomains = 2, .hostsPerFailureDomain = 2, .engines = 0, .ledgers = 1 };

    /** @return another key of the first customer whose slice, and so its owner, is the same. */
    std::string keyOfSameSlice(const std::string& key)
    {
        const auto slice = [](const std::string& text) { return siskinspread::sliceOf({ .customer = "customer-0", .text = text }, {}); };
        size_t number = 0;
        while (slice(key + "-" + std::to_string(number)) != slice(key)) {
            ++number;
        }
        return key + "-" + std::to_string(number);
    }

} // namespace

TEST_CASE("the same key at two hosts at the same moment runs once and both get the same answer or word of the other")
{
    Deployment deployment { twoDomains };
    holdWhenOwned(deployment, 0, "warm");
    auto first = std::async(std::launch::async, [&] { return holdWhenOwned(deployment, 0, "hold-1"); });
    auto second = std::async(std::launch::async, [&] { return holdWhenOwned(deployment, 3, "hold-1"); });
    for (const HttpResponse& response : { first.get(), second.get() }) {
        const bool isAnswered = response.status == 200;
        const bool isInProgress = response.status == 409 && errorOf(response).at("name") == "key_in_progress";
        CAPTURE(response.body);
        CHECK((isAnswered || isInProgress));
    }
    const HttpResponse later = hold(deployment, 2, "hold-1");
    CHECK(later.status == 200);
    CHECK(later.header("x-replay-of") != "");
    const auto account = deployment.finalAccount(1, later.header("x-request-id"));
    CHECK(account.at("request_id") == later.header("x-replay-of"));
    CHECK(account.at("run_state") == "ran");
    CHECK(runs(deployment, "hold-1") == 1);
}

TEST_CASE("the same key with another body is refused as such and does not run")
{
    Deployment deployment { twoDomains };
    CHECK(holdWhenOwned(deployment, 0, "hold-2").status == 200);
    const HttpResponse other = hold(deployment, 1, "hold-2", R"({"item":"lamp"})");
    CHECK(other.status == 422);
    CHECK(errorOf(other).at("name") == "idempotency_key_reused");
    CHECK(errorOf(other).at("run_state") == "not_run");
    CHECK(runs(deployment, "hold-2") == 1);
}

TEST_CASE("a missing key is refused, and a call that may be repeated needs none")
{
    Deployment deployment { twoDomains };
    const HttpResponse missing = httpCall({ .method = "POST", .url = deployment.host(0).url("/ledger/holds"), .headers = { Deployment::authorization() }, .body = "{}" });
    CHECK(missing.status == 400);
    CHECK(errorOf(missing).at("name") == "idempotency_key_required");
    const HttpResponse stock = httpCall({ .url = deployment.host(0).url("/ledger/stock/dolly"), .headers = { Deployment::authorization() } });
    CHECK(stock.status == 200);
}

TEST_CASE("another spelling of a path does not make a call repeatable")
{
    Deployment deployment { twoDomains };
    for (const char* path : { "/ledger/%68olds", "/ledger//holds", "/ledger/./holds", "/ledger/x/../holds" }) {
        const HttpResponse response = httpCall({ .method = "POST", .url = deployment.host(0).url(path), .headers = { Deployment::authorization() }, .body = "{}" });
        CAPTURE(path);
        CHECK(response.status == 400);
        CHECK(errorOf(response).at("name") == "malformed_request");
    }
}

TEST_CASE("a ledger that ran the call and lost the answer: may have run, and never runs again")
{
    Deployment deployment { twoDomains };
    holdWhenOwned(deployment, 0, "warm");
    deployment.ledger(0).setFaults(R"({"run_then_close":1})");
    const HttpResponse first = holdWhenOwned(deployment, 0, "hold-3");
    CHECK(first.status == 502);
    CHECK(errorOf(first).at("run_state") == "may_have_run");
    const HttpResponse second = hold(deployment, 3, "hold-3");
    CHECK(errorOf(second).at("run_state") == "may_have_run");
    CHECK(runs(deployment, "hold-3") == 1);
}

TEST_CASE("a ledger that refuses without running is told as not run, and the key may be used again")
{
    Deployment deployment { twoDomains };
    holdWhenOwned(deployment, 0, "warm");
    deployment.ledger(0).setFaults(R"({"refuse":true})");
    const HttpResponse refused = hold(deployment, 0, "hold-4");
    CHECK(refused.status == 503);
    CHECK(errorOf(refused).at("run_state") == "not_run");
    CHECK(refused.header("retry-after") != "");
    CHECK(runs(deployment, "hold-4") == 0);
    deployment.ledger(0).setFaults(R"({"refuse":false})");
    CHECK(holdWhenOwned(deployment, 3, "hold-4").status == 200);
    CHECK(runs(deployment, "hold-4") == 1);
}

TEST_CASE("a burst of holds beyond what the pool takes is refused in part, and the ledger never saw what was refused")
{
    Deployment deployment { { .failureDomains = 1, .hostsPerFailureDomain = 1, .engines = 0, .ledgers = 1 } };
    prepareDelayedHolds(deployment, std::chrono::seconds { 3 });
    constexpr size_t burst = 60;
    std::vector<std::future<HttpResponse>> responses;
    for (size_t i = 0; i < burst; ++i) {
        responses.push_back(std::async(std::launch::async, [&deployment, i] { return hold(deployment, 0, "burst-" + std::to_string(i)); }));
    }
    size_t refused = 0;
    for (size_t i = 0; i < burst; ++i) {
        const HttpResponse response = responses[i].get();
        CAPTURE(response.body);
        if (response.status != 200) {
            ++refused;
            CHECK(errorOf(response).at("run_state") == "not_run");
            CHECK(response.header("retry-after") != "");
        }
        CHECK(runs(deployment, "burst-" + std::to_string(i)) == (response.status == 200 ? 1 : 0));
    }
    CHECK(refused >= burst / 4);
    CHECK(refused < burst);
}

TEST_CASE("the owner is killed while the call runs: the second try does not run it, and its account says may have run")
{
    Deployment deployment { twoDomains };
    prepareDelayedHolds(deployment);
    DelayedHold inFlight { deployment, 0, "hold-5" };
    const size_t witness = (inFlight.owner + 1) % deployment.hostCount();
    deployment.host(inFlight.owner).process->kill();
    inFlight.response.wait();
    endDelay(deployment);
    const HttpResponse second = holdWhenOwned(deployment, witness, "hold-5");
    CAPTURE(second.body);
    CHECK(second.status == 502);
    CHECK(errorOf(second).at("name") == "outcome_unknown");
    CHECK(errorOf(second).at("run_state") == "may_have_run");
    CHECK(runs(deployment, "hold-5") <= 1);
    for (const auto& account : { finalAccountOf(deployment, witness, "hold-5"), deployment.finalAccount(witness, second.header("x-request-id")) }) {
        CAPTURE(account.dump());
        CHECK(account.at("run_state") == "may_have_run");
        CHECK(account.at("attempts").is_null());
        CHECK(account.at("may_have_been_sent_to") == nlohmann::json { "ledger-0" });
        CHECK(account.at("advice") == "Ask ledger-0 for its record of the idempotency key.");
        CHECK(account.at("idempotency_key") == "hold-5");
        CHECK(account.at("request_id").get<std::string>().starts_with(deployment.host(inFlight.owner).name + "."));
    }
    const HttpResponse other = holdWhenOwned(deployment, witness, "hold-6");
    CHECK(other.status == 200);
    CHECK(runs(deployment, "hold-6") == 1);
}

TEST_CASE("the owner is paused past its replacement and wakes up: nothing runs twice, and it steps down")
{
    Deployment deployment { twoDomains };
    CHECK(holdWhenOwned(deployment, 0, "hold-7").status == 200);
    const size_t owner = ownerOf(deployment, 0, "hold-7");
    const size_t witness = (owner + 1) % deployment.hostCount();
    ChildProcess& paused = *deployment.host(owner).process;
    paused.sendSignal(SIGSTOP);
    const HttpResponse replay = holdWhenOwned(deployment, witness, "hold-7"); // another host has closed the log and taken over
    CHECK(replay.status == 200);
    CHECK(replay.header("x-replay-of") != "");
    paused.sendSignal(SIGCONT);
    const HttpResponse fresh = hold(deployment, owner, "hold-8");
    const HttpResponse again = holdWhenOwned(deployment, witness, "hold-8");
    CAPTURE(fresh.body);
    CAPTURE(again.body);
    CHECK(runs(deployment, "hold-7") == 1);
    CHECK(runs(deployment, "hold-8") <= 1);
    // The woken owner may find its log closed after its copy holder took the intent: the call then runs once, and neither
    // try is told more than that it may have run. Whoever is told "not run" can have it run by the second try.
    const bool freshNotRun = fresh.status == 0 || (fresh.status != 200 && errorOf(fresh).at("run_state") == "not_run");
    const bool freshUnknown = fresh.status != 200 && !freshNotRun;
    CHECK((again.status == 200 || (freshUnknown && errorOf(again).at("run_state") == "may_have_run")));
    if (again.status == 200) {
        CHECK(runs(deployment, "hold-8") == 1);
    }
}

TEST_CASE("the store is away: holds go on, recorded at a second host, and their accounts are final when it is back")
{
    Deployment deployment { twoDomains };
    waitForCopyHolders(deployment);
    CHECK(holdWhenOwned(deployment, 0, "hold-9").status == 200);
    CHECK(holdWhenOwned(deployment, 3, "hold-9").status == 200);
    const std::string key = keyOfSameSlice("hold-9"); // nobody can take another slice while the store is away
    deployment.objectApi().setFaults(R"({"down":true})");
    const HttpResponse during = hold(deployment, 0, key);
    CAPTURE(during.body);
    CHECK(during.status == 200);
    CHECK(runs(deployment, key) == 1);
    const HttpResponse replay = hold(deployment, 3, key);
    CHECK(replay.status == 200);
    CHECK(replay.header("x-replay-of") != "");
    deployment.objectApi().setFaults(R"({"down":false})");
    eventually("a final account", [&] {
        const auto response = httpCall({ .url = deployment.host(2).url("/accounts?key=" + key), .headers = { Deployment::authorization() } });
        return response.status == 200 && nlohmann::json::parse(response.body).at("standing") == "final";
    });
    CHECK(runs(deployment, key) == 1);
}

TEST_CASE("a store write whose answer is lost: the hold runs once and is answered")
{
    Deployment deployment { twoDomains };
    holdWhenOwned(deployment, 0, "warm");
    deployment.objectApi().setFaults(R"({"lose_next_write_answers":2})");
    CHECK(holdWhenOwned(deployment, 1, "hold-10").status == 200);
    CHECK(runs(deployment, "hold-10") == 1);
}

TEST_CASE("a planned stop of the owner cuts off no hold in progress, and its slices move at once")
{
    Deployment deployment { twoDomains };
    prepareDelayedHolds(deployment);
    DelayedHold inFlight { deployment, 0, "hold-11" };
    deployment.host(inFlight.owner).process->sendSignal(SIGTERM);
    const HttpResponse response = inFlight.response.get();
    CAPTURE(response.body);
    CHECK(response.status == 200);
    CHECK(deployment.host(inFlight.owner).process->waitForEnd()->exitCode == 0);
    endDelay(deployment);
    const HttpResponse replay = holdWhenOwned(deployment, (inFlight.owner + 1) % deployment.hostCount(), "hold-11");
    CHECK(replay.status == 200);
    CHECK(runs(deployment, "hold-11") == 1);
}

} // namespace siskinspread::testing
