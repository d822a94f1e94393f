#include "siskinspread/StreamAttach.h"

#include "siskinspread/ModelAnswers.h"
#include "siskinspread/PeerCalls.h"
#include "siskinspread/StreamHandovers.h"

#include <array>

namespace siskinspread {

namespace {

    constexpr int statusOk = 200;
    constexpr size_t maxHandovers = 8;
    constexpr size_t maxWaitingBytes = 8U << 20;
    constexpr const char* askAgain = "its host ended or can't be reached; send the request again as a new one";
    constexpr std::array passedHeaders { "Content-Type", "Cache-Control", header::requestId, header::resultCode, header::runState, header::attachId, "Retry-After" };

    StartTransfer attachTransfer(const schema::PeerSettings& peer, const RequestId& request, const AttachCall& call)
    {
        StartTransfer transfer;
        transfer.url = "http://" + peer.address() + ":" + std::to_string(peer.peer_port()) + std::string { attachPath } + formatRequestId(request);
        transfer.headers = { { .name = header::relayCustomer, .value = call.customer } };
        if (call.lastEventId) {
            transfer.headers.push_back({ .name = header::lastEventId, .value = *call.lastEventId });
        }
        transfer.connectTimeout = peerCallTimeout;
        transfer.streaming = true;
        return transfer;
    }

    HttpHeaders headersToPass(const HttpHeaders& headers)
    {
        HttpHeaders passed;
        for (const char* name : passedHeaders) {
            if (const auto value = findHeader(headers, name)) {
                passed.push_back({ .name = name, .value = std::string { *value } });
            }
        }
        return passed;
    }

} // namespace

StreamAttach::StreamAttach(HostContext& context, Parts parts)
    : m_context(context)
    , m_parts(parts)
{
}

void StreamAttach::accept(const IncomingRequest& incoming, std::string_view idText, const std::string& customer)
{
    LastReason reason;
    const auto id = parseRequestId(idText, reason);
    if (!id) {
        sendRefusal(m_context, m_context.callers, incoming.exchange, m_parts.requests.refusalId(), { .code = reason.code, .detail = reason.detail });
        return;
    }
    Relay relay;
    relay.request = *id;
    relay.call.customer = customer;
    if (const auto last = findHeader(incoming.headers, header::lastEventId)) {
        relay.call.lastEventId = std::string { *last };
    }
    m_relays.emplace(incoming.exchange, std::move(relay));
    askHolder(incoming.exchange);
}

void StreamAttach::askHolder(ExchangeId exchange)
{
    Relay& relay = m_relays.at(exchange);
    if (relay.request.incarnation != m_context.incarnation) {
        askPeer(exchange, relay);
        return;
    }
    const AttachDecision decision = m_parts.models.attach(relay.request, relay.call, m_context.callers, exchange);
    if (const auto* refused = std::get_if<AttachRefused>(&decision)) {
        refuse(exchange, { .code = refused->code, .runState = RunState::MayHaveRun });
    } else if (std::holds_alternative<AttachNotHere>(decision)) {
        lookUp(exchange, true);
    } else {
        m_relays.erase(exchange); // this host holds it and answers the caller itself
    }
}

void StreamAttach::askPeer(ExchangeId exchange, Relay& relay)
{
    const schema::PeerSettings* peer = findPeer(m_context.settings, hostOf(relay.request.incarnation));
    if (!peer) {
        lookUp(exchange, true); // no host of this deployment
        return;
    }
    relay.status = 0;
    relay.headers.clear();
    relay.waiting.clear();
    relay.transfer = m_context.peers.start(attachTransfer(*peer, relay.request, relay.call), [this, exchange](const ClientEvent& event) { onEvent(exchange, event); });
}

void StreamAttach::onEvent(ExchangeId exchange, const ClientEvent& event)
{
    const auto entry = m_relays.find(exchange);
    if (entry == m_relays.end()) {
        return;
    }
    if (const auto* headers = std::get_if<TransferHeaders>(&event)) {
        onHeaders(exchange, entry->second, *headers);
    } else if (const auto* data = std::get_if<TransferData>(&event)) {
        onData(exchange, entry->second, data->data);
    } else {
        onEnded(exchange, entry->second, std::get<TransferEnded>(event));
    }
}

void StreamAttach::onHeaders(ExchangeId exchange, Relay& relay, const TransferHeaders& headers)
{
    relay.status = headers.status;
    relay.headers = headers.headers;
    relay.isStream = headers.status == statusOk && findHeader(headers.headers, "Content-Type").value_or("").starts_with("text/event-stream");
    if (relay.isStream) {
        m_context.callers.send(StartStream { .exchange = exchange, .status = statusOk, .headers = headersToPass(headers.headers) });
    }
}

// Only whole events are passed on: a caller would take the beginning of one for the event.
void StreamAttach::onData(ExchangeId exchange, Relay& relay, const std::string& data)
{
    relay.waiting += data;
    if (relay.waiting.size() > maxWaitingBytes) {
        m_context.peers.cancel(relay.transfer);
        endBroken(exchange, { .code = ResultCode::InternalError, .runState = RunState::MayHaveRun, .detail = "the answer is too large to be passed on" });
        return;
    }
    const size_t end = relay.isStream ? relay.waiting.rfind("\n\n") : std::string::npos;
    if (end != std::string::npos) {
        m_context.callers.send(SendChunk { .exchange = exchange, .data = relay.waiting.substr(0, end + 2) });
        relay.waiting.erase(0, end + 2);
    }
}

void StreamAttach::onEnded(ExchangeId exchange, Relay& relay, const TransferEnded& ended)
{
    // libcurl looks at the framing of the body alone.
    const bool isWhole = ended.end == TransferEnd::Complete && (!relay.isStream || relay.waiting.empty());
    if (relay.isStream && isWhole) {
        m_context.callers.send(EndStream { .exchange = exchange });
        m_relays.erase(exchange);
    } else if (relay.isStream) {
        endBroken(exchange, { .code = ResultCode::Interrupted, .runState = RunState::MayHaveRun, .detail = askAgain });
    } else if (!isWhole) {
        lookUp(exchange, false);
    } else if (const auto heldBy = findHeader(relay.headers, header::heldBy)) {
        lookUp(exchange, *heldBy == relay.request.incarnation.text);
    } else {
        m_context.callers.send(RespondWhole { .exchange = exchange, .status = relay.status, .headers = headersToPass(relay.headers), .body = std::move(relay.waiting) });
        m_relays.erase(exchange);
    }
}

void StreamAttach::lookUp(ExchangeId exchange, bool hostAnswered)
{
    Relay& relay = m_relays.at(exchange);
    relay.hostAnswered = hostAnswered;
    relay.transfer = 0;
    m_parts.accounts.start({ .request = relay.request, .key = {} }, {}, [this, exchange](const AccountAnswer& answer) { onAccount(exchange, answer); });
}

void StreamAttach::onAccount(ExchangeId exchange, const AccountAnswer& answer)
{
    const auto entry = m_relays.find(exchange);
    if (entry == m_relays.end()) {
        return;
    }
    Relay& relay = entry->second;
    const auto decision = decideByAccount({ .asked = relay.request, .customer = relay.call.customer, .hostAnswered = relay.hostAnswered, .account = answer });
    if (const auto* impossible = std::get_if<AttachImpossible>(&decision)) {
        refuse(exchange, { .code = impossible->code, .runState = impossible->runState, .detail = impossible->code == ResultCode::Interrupted ? askAgain : "" });
    } else if (++relay.handovers > maxHandovers) {
        refuse(exchange, { .code = ResultCode::StreamNotAttachable, .runState = RunState::MayHaveRun });
    } else {
        relay.request = std::get<AttachAt>(decision).request;
        askHolder(exchange);
    }
}

void StreamAttach::callerClosed(ExchangeId exchange)
{
    const auto entry = m_relays.find(exchange);
    if (entry != m_relays.end()) {
        m_context.peers.cancel(entry->second.transfer);
        m_relays.erase(entry);
    }
}

void StreamAttach::endAll()
{
    while (!m_relays.empty()) {
        const auto& [exchange, relay] = *m_relays.begin();
        m_context.peers.cancel(relay.transfer);
        endBroken(exchange, { .code = ResultCode::HandedOver, .runState = RunState::MayHaveRun, .attachId = formatRequestId(relay.request) });
    }
}

void StreamAttach::endBroken(ExchangeId exchange, const Refusal& refusal)
{
    const Relay& relay = m_relays.at(exchange);
    if (!relay.isStream) {
        refuse(exchange, refusal);
        return;
    }
    m_context.metrics.countRefusal(refusal.code);
    m_context.callers.send(SendChunk { .exchange = exchange, .data = errorEvent(refusalJson(formatRequestId(relay.request), refusal)) });
    m_context.callers.send(EndStream { .exchange = exchange });
    m_relays.erase(exchange);
}

// The refusal carries an id of its own, as that of an unknown id does.
void StreamAttach::refuse(ExchangeId exchange, const Refusal& refusal)
{
    sendRefusal(m_context, m_context.callers, exchange, m_parts.requests.refusalId(), refusal);
    m_relays.erase(exchange);
}

} // namespace siskinspread
