#include "ModelAnswer.h"
#include "support/Deployment.h"
#include "support/Eventually.h"

#include <doctest/doctest.h>

#include <csignal>
#include <future>
#include <optional>

using namespace siskinspread;
using namespace siskinspread::testing;
using nlohmann::json;

namespace {

constexpr uint64_t tokens = 500; // more than two graces take
constexpr const char* content = "a crane for two weeks";

DeploymentOptions options()
{
    return {
        .failureDomains = 1,
        .hostsPerFailureDomain = 3,
        .customers = 2,
        .engineArguments = { "--between-tokens-ms", "10" },
        .hostSettings = "[drain]\ngrace_ms = 1000",
    };
}

std::string expectedText()
{
    const std::vector<standin::ChatMessage> messages { { .role = "user", .content = content } };
    return standin::answerText(standin::answerHash(modelName, messages), 0, tokens);
}

/** What a caller has, over all its calls for one answer. */
struct Received {
    std::vector<ServerSentEvent> events; /**< Tokens, and what follows the last of them. */
    std::string requestId; /**< Of the last call. */
    std::optional<json> error;

    std::string lastId() const { return std::to_string(events.size()); }
    std::string attachId() const { return error.value().at("attach_id"); }

    /** Takes the events of another call; an error event is not kept among the others. */
    void take(const EventStream& stream)
    {
        REQUIRE(stream.response.status == 200);
        requestId = stream.response.header("x-request-id");
        error.reset();
        for (const ServerSentEvent& event : stream.events) {
            if (event.name == "error") {
                error = json::parse(event.data).at("error");
            } else {
                events.push_back(event);
            }
        }
    }
};

HttpRequest attachCall(const Deployment& deployment, size_t host, const std::string& id, const std::optional<std::string>& lastEventId, size_t customer = 0)
{
    HttpRequest request { .url = deployment.host(host).url("/v1/streams/" + id), .headers = { Deployment::authorization(customer) }, .timeout = std::chrono::seconds(60) };
    if (lastEventId) {
        request.headers.push_back("Last-Event-ID: " + *lastEventId);
    }
    return request;
}

void stop(Deployment& deployment, size_t host)
{
    deployment.host(host).process->sendSignal(SIGTERM);
}

/** Begins an answer at host 0 and stops that host after a few tokens. */
Received handedOver(Deployment& deployment, const HttpRequest& request)
{
    Received received;
    received.take(httpStream(request, [&](const ServerSentEvent&, size_t count) {
        if (count == 5) {
            stop(deployment, 0);
        }
        return true;
    }));
    CAPTURE(received.error.value_or(json()).dump());
    REQUIRE(received.error);
    CHECK(received.error->at("name") == "handed_over");
    CHECK(received.error->at("request_id") == received.requestId);
    CHECK(received.error->at("retry_after_ms").get<int>() > 0);
    CHECK(received.events.size() >= 5);
    return received;
}

/** Checks that all calls together brought the whole answer: ids from 1 without a gap or repetition, text and end. */
void checkWhole(const Received& received)
{
    CHECK_FALSE(received.error);
    REQUIRE(received.events.size() == tokens + 2);
    for (uint64_t i = 0; i < tokens; ++i) {
        CHECK(received.events[i].id == std::to_string(i + 1));
    }
    CHECK(streamedText(received.events) == expectedText());
    CHECK(json::parse(received.events[tokens].data).at("usage").at("completion_tokens") == tokens);
    CHECK(received.events[tokens + 1].data == "[DONE]");
}

/** @return the host that runs the incarnation of this id. */
size_t holderOf(const Deployment& deployment, const std::string& id)
{
    for (size_t host = 0; host < deployment.hostCount(); ++host) {
        if (id.starts_with(deployment.host(host).name + ".")) {
            return host;
        }
    }
    throw std::runtime_error("no host for " + id);
}

/** @return what a refusal tells, but for its own id. */
json refusal(const HttpResponse& response)
{
    json error = json::parse(response.body).at("error");
    error.erase("request_id");
    error["status"] = response.status;
    return error;
}

} // namespace

TEST_CASE("a planned stop hands an open stream over, and the caller gets the rest at any host by the new id or the old one")
{
    for (const bool byOldId : { true, false }) {
        for (const size_t host : { size_t { 1 }, size_t { 2 } }) {
            CAPTURE(byOldId);
            CAPTURE(host);
            Deployment deployment(options());
            Received received = handedOver(deployment, deployment.chat(0, content, tokens));
            const std::string oldId = received.requestId;
            const std::string newId = received.attachId();
            CHECK(oldId != newId);
            const auto end = deployment.host(0).process->waitForEnd();
            REQUIRE(end);
            CHECK(end->exitCode == 0);
            received.take(httpStream(attachCall(deployment, host, byOldId ? oldId : newId, received.lastId())));
            CHECK(received.requestId == newId);
            checkWhole(received);
            const json account = deployment.finalAccount(host, oldId);
            CHECK(account.at("request_id") == newId);
            CHECK(account.at("name") == "ok");
            CHECK(account.at("run_state") == "ran");
            CHECK(deployment.finalAccount(host, newId) == account);
            const auto again = httpCall(attachCall(deployment, host, newId, received.lastId()));
            CHECK(refusal(again).at("name") == "stream_not_attachable");
        }
    }
}

TEST_CASE("an answer that is not streamed is handed over with its text so far")
{
    Deployment deployment(options());
    auto first = std::async(std::launch::async, [&] { return httpCall(deployment.chat(0, content, tokens, { { "stream", false } })); });
    eventually("tokens have arrived", [&] { return deployment.metric(0, "siskinspread_tokens_delivered_total", "") > 3; });
    stop(deployment, 0);
    const HttpResponse refused = first.get();
    CHECK(refused.status == 503);
    CHECK(refusal(refused).at("name") == "handed_over");
    const std::string newId = refused.header("x-attach-id");
    CHECK(refusal(refused).at("attach_id") == newId);
    const HttpResponse whole = httpCall(attachCall(deployment, 1, newId, std::nullopt));
    CHECK(whole.status == 200);
    CHECK(json::parse(whole.body).at("choices").at(0).at("message").at("content") == expectedText());
    CHECK(deployment.finalAccount(2, refused.header("x-request-id")).at("name") == "ok");
}

TEST_CASE("another customer gets the refusal of an id that nobody has")
{
    Deployment deployment(options());
    Received received = handedOver(deployment, deployment.chat(0, content, tokens));
    REQUIRE(deployment.host(0).process->waitForEnd());
    for (const std::string& id : { received.requestId, received.attachId() }) {
        const std::string nobodys = id.substr(0, id.rfind('-')) + "-99998";
        for (const size_t host : { size_t { 1 }, size_t { 2 } }) {
            const json stranger = refusal(httpCall(attachCall(deployment, host, id, "1", 1)));
            CHECK(stranger == refusal(httpCall(attachCall(deployment, host, nobodys, "1", 1))));
            CHECK(stranger == refusal(httpCall(attachCall(deployment, host, nobodys, "1", 0))));
        }
    }
    const HttpResponse live = httpCall(attachCall(deployment, 1, received.attachId(), "1", 1));
    CHECK(live.status == 404);
    CHECK(refusal(live).at("name") == "unknown_request");
    received.take(httpStream(attachCall(deployment, 1, received.attachId(), received.lastId())));
    checkWhole(received);
}

TEST_CASE("an event id that was not sent is refused, and the answer stays attachable")
{
    Deployment deployment(options());
    Received received = handedOver(deployment, deployment.chat(0, content, tokens));
    const std::vector<std::optional<std::string>> wrong { std::nullopt, "x", "-1", "1.5", "100000", "99999999999999999999" };
    for (const auto& lastEventId : wrong) {
        CAPTURE(lastEventId.value_or("absent"));
        for (const size_t host : { size_t { 1 }, size_t { 2 } }) {
            const HttpResponse refused = httpCall(attachCall(deployment, host, received.attachId(), lastEventId));
            CHECK(refused.status == 400);
            CHECK(refusal(refused).at("name") == "last_event_id_invalid");
        }
    }
    received.take(httpStream(attachCall(deployment, 2, received.attachId(), received.lastId())));
    checkWhole(received);
}

TEST_CASE("of two callers that attach the later one goes on, and the earlier one is told so")
{
    Deployment deployment(options());
    Received received = handedOver(deployment, deployment.chat(0, content, tokens));
    const std::string id = received.attachId();
    Received later = received;
    Received earlier;
    earlier.take(httpStream(attachCall(deployment, 1, id, received.lastId()), [&](const ServerSentEvent&, size_t count) {
        if (count == 3) {
            later.take(httpStream(attachCall(deployment, 2, id, received.lastId())));
        }
        return true;
    }));
    checkWhole(later);
    REQUIRE(earlier.error);
    CHECK(earlier.error->at("name") == "stream_attached_elsewhere");
    CHECK(deployment.finalAccount(1, id).at("name") == "ok");
}

TEST_CASE("a caller whose connection breaks after it attached attaches again")
{
    Deployment deployment(options());
    Received received = handedOver(deployment, deployment.chat(0, content, tokens));
    const std::string id = received.attachId();
    for (const size_t host : { size_t { 1 }, size_t { 2 }, size_t { 1 } }) {
        received.take(httpStream(attachCall(deployment, host, id, received.lastId()), [](const ServerSentEvent&, size_t count) { return count < 10; }));
    }
    received.take(httpStream(attachCall(deployment, 2, id, received.lastId())));
    checkWhole(received);
    CHECK(deployment.finalAccount(1, id).at("name") == "ok");
}

TEST_CASE("the holder's planned stop hands the answer on once more, through the host that passes it on")
{
    Deployment deployment(options());
    Received received = handedOver(deployment, deployment.chat(0, content, tokens));
    const std::string oldId = received.requestId;
    const std::string second = received.attachId();
    const size_t holder = holderOf(deployment, second);
    const size_t other = 3 - holder;
    received.take(httpStream(attachCall(deployment, other, second, received.lastId()), [&](const ServerSentEvent&, size_t count) {
        if (count == 5) {
            stop(deployment, holder);
        }
        return true;
    }));
    REQUIRE(received.error);
    CHECK(received.error->at("name") == "handed_over");
    const std::string third = received.attachId();
    CHECK(holderOf(deployment, third) == other);
    received.take(httpStream(attachCall(deployment, other, oldId, received.lastId())));
    CHECK(received.requestId == third);
    checkWhole(received);
    CHECK(deployment.finalAccount(other, oldId).at("request_id") == third);
}

TEST_CASE("the planned stop of a host that passes an answer on sends the caller to another host")
{
    Deployment deployment(options());
    Received received = handedOver(deployment, deployment.chat(0, content, tokens));
    const std::string id = received.attachId();
    const size_t holder = holderOf(deployment, id);
    const size_t other = 3 - holder;
    received.take(httpStream(attachCall(deployment, other, id, received.lastId()), [&](const ServerSentEvent&, size_t count) {
        if (count == 5) {
            stop(deployment, other);
        }
        return true;
    }));
    REQUIRE(received.error);
    CHECK(received.attachId() == id);
    received.take(httpStream(attachCall(deployment, holder, id, received.lastId())));
    checkWhole(received);
}

TEST_CASE("a request that nobody attaches to ends at its deadline as one whose caller is gone")
{
    Deployment deployment(options());
    HttpRequest request = deployment.chat(0, content, tokens);
    request.headers.push_back("X-Deadline-Ms: 6000");
    const Received received = handedOver(deployment, request);
    const json account = deployment.finalAccount(1, received.requestId);
    CHECK(account.at("request_id") == received.attachId());
    CHECK(account.at("name") == "caller_gone");
    CHECK(account.at("run_state") == "may_have_run");
}

TEST_CASE("after an entry host or a holder was killed its callers get a clear refusal and never a part as the whole")
{
    Deployment deployment(options());
    Received received;
    received.take(httpStream(deployment.chat(0, content, tokens), [&](const ServerSentEvent&, size_t count) {
        if (count == 5) {
            deployment.host(0).process->kill();
        }
        return true;
    }));
    CHECK(received.events.size() < tokens);
    const HttpResponse refused = httpCall(attachCall(deployment, 1, received.requestId, received.lastId()));
    CHECK(refused.status == 502);
    CHECK(refusal(refused).at("name") == "interrupted");
    CHECK(refusal(refused).at("run_state") == "may_have_run");

    Deployment second(options());
    Received rest = handedOver(second, second.chat(0, content, tokens));
    const size_t holder = holderOf(second, rest.attachId());
    const std::string id = rest.attachId();
    rest.take(httpStream(attachCall(second, 3 - holder, id, rest.lastId()), [&](const ServerSentEvent&, size_t count) {
        if (count == 5) {
            second.host(holder).process->kill();
        }
        return true;
    }));
    REQUIRE(rest.error);
    CHECK(rest.error->at("name") == "interrupted");
    CHECK(rest.events.size() < tokens);
}
