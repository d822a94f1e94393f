#include "siskinspread/PeerCalls.h"

#include "siskinspread/RpcMessage.h"

#include <algorithm>

namespace siskinspread {

namespace {

    constexpr int statusOk = 200;

    StartTransfer transferTo(const std::string& address, uint32_t port, std::string body)
    {
        StartTransfer transfer;
        transfer.method = "POST";
        transfer.url = "http://" + address + ":" + std::to_string(port) + rpcPath;
        transfer.headers = { { .name = "Content-Type", .value = "application/json" } };
        transfer.body = std::move(body);
        transfer.connectTimeout = peerCallTimeout;
        transfer.totalTimeout = peerCallTimeout;
        return transfer;
    }

    RpcOutcome outcomeOf(uint64_t id, const TransferEnded& ended)
    {
        if (ended.end != TransferEnd::Complete || ended.status != statusOk) {
            return rpcFailure(rpc_error::internalError, "the peer did not answer: " + ended.detail);
        }
        return parseRpcResponse(id, ended.body);
    }

} // namespace

std::string hostOf(const IncarnationId& incarnation)
{
    return incarnation.text.substr(0, incarnation.text.rfind('.'));
}

const schema::PeerSettings* findPeer(const schema::Settings& settings, std::string_view host)
{
    const auto& peers = settings.peers();
    const auto peer = std::find_if(peers.begin(), peers.end(), [host](const auto& p) { return p.name() == host; });
    return peer == peers.end() ? nullptr : &*peer;
}

PeerCalls::PeerCalls(HostContext& context)
    : m_context(context)
{
}

void PeerCalls::call(const std::string& host, const std::string& method, const std::string& paramsJson, Done done)
{
    const uint64_t id = ++m_lastCall;
    const schema::PeerSettings* peer = findPeer(m_context.settings, host);
    // An unknown peer gets an address that refuses the call, so that `done` always comes from the client's events.
    const std::string address = peer ? peer->address() : "0.0.0.0";
    const uint32_t port = peer ? peer->peer_port() : 1;
    m_context.peers.start(transferTo(address, port, makeRpcRequest(id, method, paramsJson)), [id, done = std::move(done)](const ClientEvent& event) {
        done(outcomeOf(id, std::get<TransferEnded>(event)));
    });
}

bool PeerCalls::handle(const IncomingRequest& request)
{
    if (request.method != "POST" || request.target != rpcPath) {
        return false;
    }
    m_context.peerCallers.send(RespondWhole { .exchange = request.exchange, .status = statusOk, .headers = { { .name = "Content-Type", .value = "application/json" } }, .body = m_methods.handle(request.body) });
    return true;
}

} // namespace siskinspread
