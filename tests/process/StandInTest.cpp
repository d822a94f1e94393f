#include "ModelAnswer.h"
#include "support/Eventually.h"
#include "support/HttpClient.h"
#include "support/Programs.h"
#include "support/TempDirectory.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <future>

using namespace siskinspread;
using namespace siskinspread::testing;
using nlohmann::json;

namespace {

HttpResponse put(const StandIn& store, const std::string& name, const std::string& condition, const std::string& value)
{
    return httpCall({ .method = "PUT", .url = store.url("/objects/" + name), .headers = { condition }, .body = value });
}

HttpResponse fetch(const StandIn& standIn, const std::string& path)
{
    return httpCall({ .url = standIn.url(path) });
}

json fetchJson(const StandIn& standIn, const std::string& path)
{
    return json::parse(fetch(standIn, path).body);
}

HttpResponse post(const StandIn& standIn, const std::string& path, const std::string& body, std::vector<std::string> headers = {})
{
    return httpCall({ .method = "POST", .url = standIn.url(path), .headers = std::move(headers), .body = body });
}

const std::vector<standin::ChatMessage> messages { { .role = "user", .content = "three fresnels and one dolly for Tuesday, from five in the morning on, at the studio" } };

HttpRequest chat(const StandIn& engine, const std::string& requestId, uint64_t tokens, json extra = json::object())
{
    extra["model"] = "drafts";
    extra["stream"] = true;
    extra["max_tokens"] = tokens;
    extra["messages"] = json::array({ { { "role", messages[0].role }, { "content", messages[0].content } } });
    return { .method = "POST", .url = engine.url("/v1/chat/completions"), .headers = { "X-Request-Id: " + requestId }, .body = extra.dump() };
}

std::string expectedText(uint64_t first, uint64_t end)
{
    return standin::answerText(standin::answerHash("drafts", messages), first, end);
}

/** @return the usage in the last chunk before the end mark. */
json usage(const EventStream& stream)
{
    REQUIRE(stream.events.size() >= 2);
    return json::parse(stream.events[stream.events.size() - 2].data).at("usage");
}

} // namespace

TEST_CASE("object API: of two conditional creates one wins")
{
    const StandIn store("standin_object_api");
    const auto first = put(store, "config/current", "If-None-Match: *", "one");
    CHECK(first.status == 201);
    const auto second = put(store, "config/current", "If-None-Match: *", "two");
    CHECK(second.status == 412);
    CHECK(second.header("etag") == first.header("etag"));
    CHECK(fetch(store, "/objects/config/current").body == "one");
    CHECK(put(store, "config/current", "X-No-Condition: 1", "three").status == 428);
    CHECK(put(store, "config/current", "If-Match: " + first.header("etag"), std::string(1024 * 1024 + 1, 'x')).status == 413);
    CHECK(fetchJson(store, "/control/counters").at("conflicts") == 1);
}

TEST_CASE("object API: a write whose answer is lost has taken effect, a rejected one has not")
{
    const StandIn store("standin_object_api");
    store.setFaults(R"({"lose_next_write_answers": 1})");
    CHECK(put(store, "log/a/1", "If-None-Match: *", "entry").status == 0);
    CHECK(fetch(store, "/objects/log/a/1").body == "entry");
    store.setFaults(R"({"reject_next_writes": 1})");
    CHECK(put(store, "log/a/2", "If-None-Match: *", "entry").status == 503);
    CHECK(fetch(store, "/objects/log/a/2").status == 404);
    CHECK(fetchJson(store, "/list?prefix=log/a/").at("objects").size() == 1);
}

TEST_CASE("object API: a watch wakes at the next version")
{
    const StandIn store("standin_object_api");
    CHECK(fetch(store, "/objects/config?watch_after=0&timeout_ms=1").status == 304);
    auto watch = std::async(std::launch::async, [&] { return fetch(store, "/objects/config?watch_after=0&timeout_ms=25000"); });
    eventually("the watch waits", [&] { return fetchJson(store, "/control/counters").at("open_watches") == 1; });
    put(store, "config", "If-None-Match: *", "revision 1");
    CHECK(watch.get().body == "revision 1");
}

TEST_CASE("object API: while it is down it answers nothing, and afterwards holds what it held")
{
    StandIn store("standin_object_api");
    put(store, "a", "If-None-Match: *", "kept");
    store.setFaults(R"({"down": true})");
    CHECK(fetch(store, "/objects/a").status == 0);
    store.setFaults(R"({"down": false})");
    CHECK(fetch(store, "/objects/a").body == "kept");
    CHECK_THROWS(store.setFaults(R"({"no_such_fault": 1})"));
    CHECK(store.process().terminate().exitCode == 0);
}

TEST_CASE("engine: the answer is a function of model and messages, and continues where it was cut")
{
    const StandIn engine("standin_engine");
    const auto whole = httpStream(chat(engine, "a", 6));
    CHECK(streamedText(whole.events) == expectedText(0, 6));
    CHECK(whole.events.back().data == "[DONE]");
    engine.setFaults(R"({"break_after_tokens": 2})");
    const auto broken = httpStream(chat(engine, "b", 6));
    CHECK_FALSE(broken.response.isComplete);
    CHECK(streamedText(broken.events) == expectedText(0, 2));
    engine.setFaults(R"({"break_after_tokens": null})");
    const auto rest = httpStream(chat(engine, "b", 6, { { "siskinspread_continue_from", 2 } }));
    CHECK(streamedText(rest.events) == expectedText(2, 6));
    CHECK(usage(rest).at("recomputed_tokens") == 2);
    CHECK(usage(rest).at("prompt_tokens_details").at("cached_tokens") == 16);
    CHECK(fetchJson(engine, "/control/runs").at("b").at("started") == 2);
}

TEST_CASE("engine: an imported cache entry saves the recomputation, and a caller that leaves cancels its run")
{
    const StandIn first("standin_engine", { "--name", "first", "--between-tokens-ms", "5" });
    const StandIn second("standin_engine", { "--name", "second" });
    std::string handle;
    const auto cut = httpStream(chat(first, "r", 10000), [&](const ServerSentEvent&, size_t count) {
        if (count < 3) {
            return true;
        }
        const auto exported = json::parse(post(first, "/kv/export", R"({"request_id": "r"})").body);
        handle = json::parse(post(second, "/kv/import", json { { "blob", exported.at("blob") } }.dump()).body).at("handle");
        return false;
    });
    CHECK_FALSE(cut.response.isComplete);
    eventually("the run is cancelled", [&] { return fetchJson(first, "/control/runs").at("r").at("cancelled") == 1; });
    const auto rest = httpStream(chat(second, "r", 8, { { "siskinspread_continue_from", 3 }, { "siskinspread_kv_handle", handle } }));
    CHECK(streamedText(rest.events) == expectedText(3, 8));
    CHECK(usage(rest).at("recomputed_tokens") == 0);
}

TEST_CASE("engine: refuses without running, and refuses old orders where it checks them")
{
    const StandIn checking("standin_engine", { "--checks-fencing" });
    const StandIn ignoring("standin_engine");
    checking.setFaults(R"({"refuse": true})");
    const auto refused = httpCall(chat(checking, "a", 2));
    CHECK(refused.status == 503);
    CHECK(refused.header("x-not-run") == "true");
    for (const StandIn* engine : { &checking, &ignoring }) {
        CHECK(post(*engine, "/orders", R"({"fencing": 2, "order": "set_role", "role": "prefill"})").status == 200);
    }
    const std::string old = R"({"fencing": 1, "order": "set_role", "role": "decode"})";
    CHECK(post(checking, "/orders", old).status == 409);
    CHECK(fetchJson(checking, "/orders").at("role") == "prefill");
    CHECK(post(ignoring, "/orders", old).status == 200);
    CHECK(fetchJson(ignoring, "/orders").at("role") == "decode");
}

TEST_CASE("engine: requests beyond the slots queue by priority, then by arrival")
{
    const StandIn engine("standin_engine", { "--slots", "1" });
    engine.setFaults(R"({"silent_after_tokens": 1})"); // the first request holds the only slot
    std::vector<std::future<EventStream>> calls;
    auto start = [&](const std::string& id, int priority) {
        calls.push_back(std::async(std::launch::async, [&engine, id, priority] { return httpStream(chat(engine, id, 2, { { "priority", priority } })); }));
        eventually("admitted " + id, [&] {
            const auto load = fetchJson(engine, "/load");
            return load.at("running").get<size_t>() + load.at("queued").get<size_t>() == calls.size();
        });
    };
    start("holder", 0);
    start("late", 5);
    start("later", 5);
    start("urgent", 1);
    engine.setFaults(R"({"silent_after_tokens": null})");
    post(engine, "/cancel", R"({"request_id": "holder"})");
    std::vector<std::string> ids;
    for (auto& call : calls) {
        const auto stream = call.get();
        ids.push_back(json::parse(stream.events.front().data).at("id"));
    }
    CHECK(fetchJson(engine, "/control/runs").at("holder").at("cancelled") == 1);
    CHECK(ids == std::vector<std::string> { "chatcmpl-engine-1", "chatcmpl-engine-2", "chatcmpl-engine-3", "chatcmpl-engine-4" });
}

TEST_CASE("ledger: every call that runs is counted, also when its answer is lost")
{
    const StandIn ledger("standin_ledger");
    const std::vector<std::string> key { "Idempotency-Key: k" };
    ledger.setFaults(R"({"close_before_run": 1})");
    CHECK(post(ledger, "/holds", "dolly", key).status == 0);
    CHECK(fetchJson(ledger, "/record/k").at("ran") == false);
    ledger.setFaults(R"({"run_then_close": 1})");
    CHECK(post(ledger, "/holds", "dolly", key).status == 0);
    CHECK(fetchJson(ledger, "/record/k").at("ran") == true);
    CHECK(json::parse(post(ledger, "/holds", "dolly", key).body).at("run") == 2);
    ledger.setFaults(R"({"refuse": true})");
    CHECK(post(ledger, "/holds", "dolly", key).header("x-not-run") == "true");
    CHECK(fetchJson(ledger, "/control/runs") == json { { "k", 2 } });
}

TEST_CASE("silent connections stay silent while new ones work")
{
    const StandIn store("standin_object_api");
    auto stuck = std::async(std::launch::async, [&] {
        return httpCall({ .url = store.url("/objects/a?watch_after=0&timeout_ms=60000"), .timeout = std::chrono::seconds(2) });
    });
    eventually("the watch waits", [&] { return fetchJson(store, "/control/counters").at("open_watches") == 1; });
    store.setFaults(R"({"silence_open_connections": true})");
    CHECK(put(store, "a", "If-None-Match: *", "value").status == 201);
    CHECK(fetchJson(store, "/control/counters").at("open_watches") == 0); // the store has answered it
    CHECK(fetch(store, "/objects/a").body == "value");
    CHECK(stuck.get().status == 0);
}

TEST_CASE("cloud: a notice makes the hosts of a failure domain leave, and starts can be refused")
{
    const StandIn cloud("standin_cloud", { "--weights-per-second", "0.001" });
    post(cloud, "/control/hosts", R"([{"name": "a", "class": "m", "failure_domain": "one"}, {"name": "b", "class": "m", "failure_domain": "two"}])");
    post(cloud, "/control/notice", R"({"failure_domain": "one", "seconds": 3600})");
    CHECK(fetchJson(cloud, "/notices?after=0").at(0).at("host") == "a");
    CHECK(fetchJson(cloud, "/hosts").at(0).at("state") == "leaving");
    post(cloud, "/control/ended", R"({"hosts": ["a"]})");
    CHECK(fetchJson(cloud, "/host-list").size() == 1);
    cloud.setFaults(R"({"refuse_starts": 1})");
    const std::string order = R"({"name": "c", "class": "m", "failure_domain": "one"})";
    CHECK(post(cloud, "/hosts", order).status == 503);
    CHECK(post(cloud, "/hosts", order).status == 201);
    CHECK(post(cloud, "/hosts", order).status == 200); // the name makes it idempotent
    CHECK(fetch(cloud, "/weights/drafts").status == 200);
    const auto limited = fetch(cloud, "/weights/drafts");
    CHECK(limited.status == 429);
    CHECK(limited.header("retry-after") == "1");
}

TEST_CASE("a killed stand-in is reported as killed, and a temporary directory goes with its owner")
{
    StandIn ledger("standin_ledger");
    ledger.process().sendSignal(SIGKILL);
    CHECK(ledger.process().waitForEnd()->signal == SIGKILL);
    std::filesystem::path path;
    {
        const TempDirectory directory;
        path = directory.path();
        CHECK(std::filesystem::is_directory(path));
    }
    CHECK_FALSE(std::filesystem::exists(path));
}
