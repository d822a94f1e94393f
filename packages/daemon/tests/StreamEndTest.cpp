#include "RequestFixture.h"

#include "siskinspread/StreamAttach.h"

#include <doctest/doctest.h>

namespace siskinspread {

namespace {

    /** A host that passes on the stream of a request at host "b". */
    struct RelayFixture : RequestFixture {
        RelayFixture()
        {
            attach.accept({ .exchange = 1, .method = "GET", .target = "/v1/streams/b.1-4", .headers = {}, .body = {} }, formatRequestId({ .incarnation = { "b.0000000000000001" }, .sequence = 4 }), "large");
            relay = peers.take("/");
        }

        void receive(const std::string& data)
        {
            relay->handler(TransferHeaders { .transfer = relay->transfer.transfer, .status = 200, .headers = { { "Content-Type", "text/event-stream" } } });
            relay->handler(TransferData { .transfer = relay->transfer.transfer, .data = data });
        }

        AccountLookups accounts { context, timers, { .url = "http://store" }, [](const AccountQuery&) { return AccountAnswer {}; }, [](const IncarnationId&, const AccountQuery&, const auto& done) { done(std::nullopt); } };
        StreamAttach attach { context, { .models = models, .requests = requests, .accounts = accounts } };
        std::optional<RecordedTransfers::Open> relay;
    };

    std::string sentTo(const RecordedResponses& callers)
    {
        std::string text;
        for (const auto& command : callers.commands) {
            if (const auto* chunk = std::get_if<SendChunk>(&command)) {
                text += chunk->data;
            }
        }
        return text;
    }

    bool hasEnded(const RecordedResponses& callers)
    {
        return !callers.commands.empty() && std::holds_alternative<EndStream>(callers.commands.back());
    }

} // namespace

// Guards against a stream that is passed on from another host, ends inside an event and looks complete.
TEST_CASE_FIXTURE(RelayFixture, "a stream that another host ends inside an event ends with an error event")
{
    REQUIRE(relay);
    receive("id: 1\ndata: a\n\nid: 2\nda");
    answer(*relay, 200, {});
    CHECK(hasEnded(callers));
    CHECK(sentTo(callers).starts_with("id: 1\ndata: a\n\nevent: error\n"));
    CHECK(attach.openCount() == 0);
}

TEST_CASE_FIXTURE(RelayFixture, "a stream that another host ends behind an event is passed on as it is")
{
    REQUIRE(relay);
    receive("id: 1\ndata: a\n\ndata: [DONE]\n\n");
    answer(*relay, 200, {});
    CHECK(hasEnded(callers));
    CHECK(sentTo(callers) == "id: 1\ndata: a\n\ndata: [DONE]\n\n");
}

TEST_CASE("an engine's stream without its end mark is not complete, wherever it ends")
{
    const std::string token = R"(data: {"choices":[{"delta":{"content":"w"}}]})";
    for (const std::string& rest : { std::string {}, token.substr(0, 9), std::string { "data: [DONE]" }, std::string { "data: [DONE]\n" } }) {
        CAPTURE(rest);
        auto data = token;
        data.append("\n\n").append(rest);
        RequestFixture host;
        host.draft("prompt");
        const auto open = host.backendServers.take("/v1/chat");
        REQUIRE(open);
        open->handler(TransferHeaders { .transfer = open->transfer.transfer, .status = 200, .headers = {} });
        open->handler(TransferData { .transfer = open->transfer.transfer, .data = data });
        answer(*open, 200, {});
        CHECK_FALSE(hasEnded(host.callers));
        host.pass(std::chrono::milliseconds { 500 });
        CHECK(host.dispatched("/v1/chat") == 1); // goes on at another engine
    }
}

} // namespace siskinspread
