#include "ModelAnswer.h"
#include "support/Deployment.h"
#include "support/Eventually.h"

#include <doctest/doctest.h>

#include <atomic>
#include <csignal>
#include <future>

using namespace siskinspread;
using namespace siskinspread::testing;
using nlohmann::json;

namespace {

constexpr const char* endMark = "[DONE]";
// Short enough for a test, long enough for a busy machine.
constexpr const char* shortProgressTimeout = "progress_timeout_ms = 1500";

std::string expectedText(const std::string& content, uint64_t tokens)
{
    const std::vector<standin::ChatMessage> messages { { .role = "user", .content = content } };
    return standin::answerText(standin::answerHash(modelName, messages), 0, tokens);
}

/** Checks that a stream is the whole answer: ids from 1 without a gap, its text, usage and the end mark. */
void checkWhole(const EventStream& stream, const std::string& content, uint64_t tokens)
{
    CAPTURE(stream.response.body);
    CHECK(stream.response.status == 200);
    CHECK(stream.response.isComplete);
    CHECK(streamedText(stream.events) == expectedText(content, tokens));
    REQUIRE(stream.events.size() == tokens + 2);
    for (uint64_t i = 0; i < tokens; ++i) {
        CHECK(stream.events[i].id == std::to_string(i + 1));
    }
    const json last = json::parse(stream.events[tokens].data);
    CHECK(last.at("usage").at("completion_tokens") == tokens);
    CHECK(last.at("choices").at(0).at("finish_reason").is_string());
    CHECK(stream.events[tokens + 1].data == endMark);
}

/** Checks an answer that was given after the first engine had failed it. */
void checkSecondAttempt(const Deployment& deployment, const EventStream& stream, const std::string& content, uint64_t tokens)
{
    checkWhole(stream, content, tokens);
    const json account = deployment.finalAccount(0, stream.response.header("x-request-id"));
    CHECK(account.at("name") == "ok");
    CHECK(account.at("run_state") == "ran");
    CHECK(account.at("attempts") == 2);
    CHECK(account.at("backend_servers") == json { "engine-0", "engine-1" });
}

bool hasEndMark(const EventStream& stream)
{
    return stream.response.body.find(endMark) != std::string::npos;
}

json runs(StandIn& engine, const std::string& requestId)
{
    return json::parse(httpCall({ .url = engine.url("/control/runs") }).body).value(requestId, json::object());
}

} // namespace

TEST_CASE("a caller gets exactly the engine's answer, streamed and whole")
{
    const Deployment deployment;
    const auto stream = httpStream(deployment.chat(0, "two dollies", 20));
    checkWhole(stream, "two dollies", 20);
    const json account = deployment.finalAccount(1, stream.response.header("x-request-id"));
    CHECK(account.at("attempts") == 1);
    CHECK(account.at("customer") == "customer-0");

    const auto whole = httpCall(deployment.chat(0, "two dollies", 20, { { "stream", false } }));
    CHECK(whole.status == 200);
    const json answer = json::parse(whole.body);
    CHECK(answer.at("choices").at(0).at("message").at("content") == expectedText("two dollies", 20));
    CHECK(answer.at("usage").at("completion_tokens") == 20);
    CHECK(answer.at("id") == whole.header("x-request-id"));
}

TEST_CASE("an engine that fails is replaced by another, and the caller sees one unbroken answer")
{
    Deployment deployment { { .failureDomains = 1, .serviceSettings = shortProgressTimeout } };
    const std::string content = "five lamps";
    for (const std::string fault : { R"({"break_after_tokens": 7})", R"({"silent_after_tokens": 7})", R"({"break_after_tokens": 0})", R"({"leaving": true})", R"({"refuse": true})", R"({"down": true})", R"({"reorder_chunks": true})", R"({"bad_token_index": true})" }) {
        CAPTURE(fault);
        Deployment fresh { { .failureDomains = 1, .serviceSettings = shortProgressTimeout } };
        fresh.engine(0).setFaults(fault);
        checkSecondAttempt(fresh, httpStream(fresh.chat(0, content, 15)), content, 15);
    }
    deployment.engine(0).process().kill();
    checkSecondAttempt(deployment, httpStream(deployment.chat(0, content, 15)), content, 15);
}

TEST_CASE("a request that an engine rejects is not sent to another, and the caller is told not to come back")
{
    Deployment deployment { { .failureDomains = 1 } };
    for (size_t i = 0; i < deployment.engineCount(); ++i) {
        deployment.engine(i).setFaults(R"({"reject_status": 422})");
    }
    const auto response = httpCall(deployment.chat(0, "seven stands", 5));
    CHECK(response.status == 400);
    CHECK(response.header("retry-after") == "");
    CHECK(json::parse(response.body).at("error").at("name") == "backend_rejected");
    CHECK(deployment.finalAccount(0, response.header("x-request-id")).at("attempts") == 1);
}

TEST_CASE("chunks that an engine repeats reach the caller once")
{
    Deployment deployment { { .failureDomains = 1 } };
    deployment.engine(0).setFaults(R"({"duplicate_chunks": true})");
    checkWhole(httpStream(deployment.chat(0, "six stands", 12)), "six stands", 12);
}

TEST_CASE("an answer that no engine completes ends with an error event and never with the end mark")
{
    Deployment deployment { { .failureDomains = 1 } };
    for (size_t i = 0; i < deployment.engineCount(); ++i) {
        deployment.engine(i).setFaults(R"({"break_after_tokens": 4})");
    }
    const auto stream = httpStream(deployment.chat(0, "a crane", 40));
    CHECK(stream.response.status == 200);
    CHECK_FALSE(hasEndMark(stream));
    REQUIRE_FALSE(stream.events.empty());
    CHECK(stream.events.back().name == "error");
    const json error = json::parse(stream.events.back().data).at("error");
    CHECK(error.at("run_state") == "may_have_run");
    CHECK(error.at("code").get<int>() > 0);
    CHECK(error.at("request_id") == stream.response.header("x-request-id"));
    const std::vector<ServerSentEvent> tokens(stream.events.begin(), stream.events.end() - 1);
    CHECK(expectedText("a crane", 40).starts_with(streamedText(tokens)));
    const json account = deployment.finalAccount(0, stream.response.header("x-request-id"));
    CHECK(account.at("code") == error.at("code"));
    CHECK(account.at("run_state") == "may_have_run");
}

TEST_CASE("a request that every engine refuses is told as not run, with a time to come back")
{
    Deployment deployment { { .failureDomains = 1 } };
    for (size_t i = 0; i < deployment.engineCount(); ++i) {
        deployment.engine(i).setFaults(R"({"refuse": true})");
    }
    const auto response = httpCall(deployment.chat(0, "a crane", 40));
    CHECK(response.status == 503);
    CHECK_FALSE(response.header("retry-after").empty());
    CHECK(response.header("x-run-state") == "not_run");
    const json error = json::parse(response.body).at("error");
    CHECK(error.at("run_state") == "not_run");
    const json account = deployment.finalAccount(0, response.header("x-request-id"));
    CHECK(account.at("code") == error.at("code"));
    CHECK(account.at("run_state") == "not_run");
    for (size_t i = 0; i < deployment.engineCount(); ++i) {
        CHECK(runs(deployment.engine(i), response.header("x-request-id")).empty());
    }
}

TEST_CASE("many callers at two hosts each get their own answer while engines break some of the streams")
{
    constexpr size_t callers = 40;
    constexpr size_t customers = 10;
    constexpr uint64_t tokens = 60;
    constexpr size_t breakEvery = 5; // few enough for the retry budgets
    // More slots than callers, so that admission refuses none.
    Deployment deployment { { .engines = 6, .customers = customers, .engineArguments = { "--between-tokens-ms", "10", "--slots", "64" } } };
    std::atomic<int> broken { 0 };
    auto callOnce = [&](size_t caller) {
        const std::string content = "kit for crew " + std::to_string(caller);
        const size_t customer = caller / 2 % customers;
        int cancelled = 0;
        const auto stream = httpStream(deployment.chat(caller % 2, content, tokens, json::object(), customer), [&](const ServerSentEvent& event, size_t count) {
            if (count == 3 && caller % breakEvery == 0) {
                const std::string id = json::parse(event.data).at("id");
                // Once only: the next attempt may already run at an engine that is asked later.
                for (size_t i = 0; i < deployment.engineCount() && cancelled == 0; ++i) {
                    const auto answer = httpCall({ .method = "POST", .url = deployment.engine(i).url("/cancel"), .body = json { { "request_id", id } }.dump() });
                    cancelled += json::parse(answer.body).at("cancelled").get<int>();
                }
            }
            return true;
        });
        checkWhole(stream, content, tokens);
        broken += cancelled;
        const json account = deployment.finalAccount((caller + 1) % 2, stream.response.header("x-request-id"), customer);
        CHECK(account.at("attempts") == 1 + cancelled);
        CHECK(account.at("name") == "ok");
    };
    std::vector<std::future<void>> calls;
    for (size_t caller = 0; caller < callers; ++caller) {
        calls.push_back(std::async(std::launch::async, callOnce, caller));
    }
    for (auto& call : calls) {
        call.get();
    }
    CHECK(broken > 0);
}

TEST_CASE("an engine whose tokens come slowly gets less work than the others")
{
    constexpr int requests = 18;
    Deployment deployment { { .failureDomains = 1, .engines = 3, .engineArguments = { "--between-tokens-ms", "20" } } };
    deployment.engine(0).setFaults(R"({"slow_factor":10})"); // the cheapest
    const auto askAll = [&](const std::string& content, uint64_t tokens) {
        std::vector<std::future<HttpResponse>> calls;
        calls.reserve(requests);
        for (int i = 0; i < requests; ++i) {
            calls.push_back(std::async(std::launch::async, [&deployment, tokens, text = content + std::to_string(i)] { return httpCall(deployment.chat(0, text, tokens)); }));
        }
        for (auto& call : calls) {
            CHECK(call.get().status == 200);
        }
    };
    const auto startedAt = [&](size_t engine) { return json::parse(httpCall({ .url = deployment.engine(engine).url("/control/totals") }).body).at("started").get<int>(); };
    askAll("first ", 25);
    const int before = startedAt(0);
    CHECK(before >= requests / 6);
    askAll("second ", 5);
    CHECK(startedAt(0) - before <= requests / 6);
}

TEST_CASE("when the caller leaves, the engine's run is cancelled and the account says so")
{
    Deployment deployment { { .failureDomains = 1, .engineArguments = { "--between-tokens-ms", "10" } } };
    const auto stream = httpStream(deployment.chat(0, "a generator", 10000), [](const ServerSentEvent&, size_t count) { return count < 3; });
    const std::string id = stream.response.header("x-request-id");
    eventually("the run is cancelled", [&] { return runs(deployment.engine(0), id).value("cancelled", 0) == 1; });
    const json account = deployment.finalAccount(0, id);
    CHECK(account.at("name") == "caller_gone");
    CHECK(account.at("run_state") == "may_have_run");
    CHECK(deployment.metric(0, "siskinspread_open_requests", "") == 0);
}

TEST_CASE("a planned stop refuses new requests, ends the streams whole and exits with 0")
{
    constexpr uint64_t tokens = 400;
    Deployment deployment { { .engineArguments = { "--between-tokens-ms", "10" } } };
    const auto stream = httpStream(deployment.chat(0, "a long blend sheet", tokens), [&](const ServerSentEvent&, size_t count) {
        if (count == 3) {
            deployment.host(0).process->sendSignal(SIGTERM);
            eventually("readiness is gone", [&] { return httpCall({ .url = deployment.host(0).url("/readyz") }).status == 503; });
            const auto refused = httpCall(deployment.chat(0, "too late", 5));
            CHECK(refused.status == 503);
            CHECK_FALSE(refused.header("retry-after").empty());
            CHECK(json::parse(refused.body).at("error").at("name") == "draining");
            CHECK(json::parse(refused.body).at("error").at("run_state") == "not_run");
            CHECK(httpCall({ .url = deployment.host(0).url("/healthz") }).status == 200);
        }
        return true;
    });
    checkWhole(stream, "a long blend sheet", tokens);
    const auto end = deployment.host(0).process->waitForEnd();
    REQUIRE(end);
    CHECK(end->exitCode == 0);
    CHECK(deployment.finalAccount(1, stream.response.header("x-request-id")).at("name") == "ok");
}
