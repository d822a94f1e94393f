#pragma once

#include "siskinspread/HeartbeatChannel.h"
#include "siskinspread/HostContext.h"
#include "siskinspread/RpcOutcome.h"
#include "siskinspread/Timers.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <deque>
#include <optional>

namespace siskinspread {

/** Keeps the transfers that a test answers by hand. */
class RecordedTransfers final : public TransferStarter {
public:
    struct Open {
        StartTransfer transfer;
        TransferHandler handler;
    };

    TransferId start(StartTransfer&& transfer, TransferHandler handler) override
    {
        transfer.transfer = ++m_last;
        open.push_back({ .transfer = std::move(transfer), .handler = std::move(handler) });
        return m_last;
    }

    void cancel(TransferId id) override
    {
        std::erase_if(open, [id](const Open& o) { return o.transfer.transfer == id; });
    }

    /** Takes the first open transfer whose URL or body contains the text. */
    std::optional<Open> take(const std::string& text)
    {
        const auto found = std::find_if(open.begin(), open.end(), [&](const Open& o) { return (o.transfer.url + o.transfer.body).find(text) != std::string::npos; });
        if (found == open.end()) {
            return std::nullopt;
        }
        Open result = std::move(*found);
        open.erase(found);
        return result;
    }

    std::deque<Open> open;

private:
    TransferId m_last { 0 };
};

inline void answer(const RecordedTransfers::Open& open, int status, std::string body, HttpHeaders headers = {})
{
    open.handler(TransferEnded { .transfer = open.transfer.transfer, .end = TransferEnd::Complete, .status = status, .headers = std::move(headers), .body = std::move(body), .detail = {} });
}

inline void loseAnswer(const RecordedTransfers::Open& open)
{
    open.handler(TransferEnded { .transfer = open.transfer.transfer, .end = TransferEnd::Broken, .status = 0, .headers = {}, .body = {}, .detail = "down" });
}

/** Answers a JSON-RPC call with a result. */
inline void answerRpc(const RecordedTransfers::Open& open, const std::string& resultJson)
{
    const auto request = nlohmann::json::parse(open.transfer.body);
    answer(open, 200, nlohmann::json { { "jsonrpc", "2.0" }, { "id", request.at("id") }, { "result", nlohmann::json::parse(resultJson) } }.dump());
}

class RecordedResponses final : public ResponseSink {
public:
    void send(ServerCommand&& command) override { commands.push_back(std::move(command)); }

    std::vector<ServerCommand> commands;
};

/** Keeps the datagrams that a test looks at. */
struct RecordedDatagrams final : DatagramSender {
    bool trySend(std::unique_ptr<Datagram>& datagram) override
    {
        if (isFull) {
            return false;
        }
        sent.push_back(std::move(*datagram));
        datagram.reset();
        return true;
    }

    bool isFull { false };
    std::vector<Datagram> sent;
};

/** A host "a" of domain "one" with the peers "b" of its domain and "c" of domain "two". */
struct HostFixture {
    HostFixture()
    {
        settings.mutable_host()->set_name("a");
        settings.mutable_host()->set_failure_domain("one");
        settings.mutable_listen()->set_address("127.0.0.1");
        settings.mutable_listen()->set_heartbeat_port(4001);
        addPeer("b", "one", 2);
        addPeer("c", "two", 3);
    }

    void addPeer(const std::string& name, const std::string& domain, uint32_t number)
    {
        schema::PeerSettings& peer = *settings.add_peers();
        peer.set_name(name);
        peer.set_failure_domain(domain);
        peer.set_address("127.0.0.1");
        peer.set_peer_port(3000 + number);
        peer.set_heartbeat_port(4000 + number);
    }

    void advance(std::chrono::milliseconds time)
    {
        constexpr std::chrono::milliseconds turn { 50 };
        for (const MonotonicTime end = context.now + time; context.now < end;) {
            context.now += turn;
            timers.run(context.now);
        }
    }

    schema::Settings settings;
    Log log { { .host = "a", .write = [](std::string_view) { return true; } } };
    Metrics metrics { { .host = "a", .failureDomain = "one" } };
    RecordedTransfers backendServers;
    RecordedTransfers platform;
    RecordedTransfers peers;
    RecordedResponses callers;
    RecordedResponses peerCallers;
    Timers timers;
    HostContext context { .settings = settings, .incarnation = { "a.1" }, .now = MonotonicTime { std::chrono::hours(1) }, .seed = 7, .callers = callers, .peerCallers = peerCallers, .backendServers = backendServers, .platform = platform, .peers = peers, .metrics = metrics, .log = log };
};

} // namespace siskinspread
