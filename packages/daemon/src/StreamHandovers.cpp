#include "siskinspread/StreamHandovers.h"

#include "siskinspread/CallerResponse.h"
#include "siskinspread/PeerCalls.h"

#include <nlohmann/json.hpp>

namespace siskinspread {

namespace {

    constexpr int statusOk = 200;
    constexpr size_t maxInFlight = 64;
    // A body of the largest size over a busy network; a host that does not answer by then is passed over.
    constexpr std::chrono::milliseconds offerTimeout { 1500 };
    constexpr std::chrono::milliseconds newHostsInterval { 250 };

    StartTransfer offerTransfer(const schema::PeerSettings& peer, std::string body)
    {
        StartTransfer transfer;
        transfer.method = "POST";
        transfer.url = "http://" + peer.address() + ":" + std::to_string(peer.peer_port()) + handoverPath;
        transfer.headers = { { .name = "Content-Type", .value = "application/json" } };
        transfer.body = std::move(body);
        transfer.connectTimeout = peerCallTimeout;
        transfer.totalTimeout = offerTimeout;
        return transfer;
    }

    std::optional<RequestId> takenAs(const TransferEnded& ended)
    {
        if (ended.end != TransferEnd::Complete || ended.status != statusOk) {
            return std::nullopt;
        }
        LastReason reason;
        return parseRequestId(findHeader(ended.headers, header::requestId).value_or(""), reason);
    }

} // namespace

StreamHandovers::StreamHandovers(HostContext& context, Parts parts)
    : m_context(context)
    , m_parts(std::move(parts))
{
}

std::vector<std::string> StreamHandovers::hosts()
{
    std::vector<HandoverCandidate> candidates;
    for (const SliceOwnerCandidate& live : m_parts.peers.live()) {
        if (live.incarnation != m_context.incarnation) {
            candidates.push_back({ .host = hostOf(live.incarnation), .failureDomain = live.failureDomain });
        }
    }
    return handoverOrder(std::move(candidates), m_context.settings.host().failure_domain(), nextSeed(m_context));
}

void StreamHandovers::begin(std::chrono::milliseconds limit)
{
    if (m_began) {
        return;
    }
    m_began = true;
    for (const RequestId& id : m_parts.models.beginHandover()) {
        m_offers.emplace(id, Offer { .hosts = hosts() });
        m_waiting.push_back(id);
    }
    m_context.log.write({ .level = LogLevel::Info, .message = "handing over open model requests", .fields = { { .name = "requests", .value = m_offers.size() } } });
    m_parts.timers.schedule(m_context.now + limit, [this] { endAll(); });
    sendWaiting();
}

void StreamHandovers::sendWaiting()
{
    while (m_inFlight < maxInFlight && !m_waiting.empty()) {
        const RequestId id = m_waiting.front();
        m_waiting.pop_front();
        send(id);
    }
}

void StreamHandovers::send(const RequestId& id)
{
    const auto entry = m_offers.find(id);
    if (entry == m_offers.end()) {
        return;
    }
    Offer& offer = entry->second;
    const auto request = m_parts.models.handoverOf(id);
    if (!request || m_context.settings.peers().empty()) {
        end(id);
        return;
    }
    if (offer.next == offer.hosts.size()) {
        waitForHosts(id);
        return;
    }
    const schema::PeerSettings* peer = findPeer(m_context.settings, offer.hosts[offer.next++]);
    ++m_inFlight;
    m_context.peers.start(offerTransfer(*peer, encodeHandedOverRequest(*request)), [this, id](const ClientEvent& event) { onAnswer(id, std::get<TransferEnded>(event)); });
}

// No host took it: others may be back, or known, in a moment.
void StreamHandovers::waitForHosts(const RequestId& id)
{
    m_parts.timers.schedule(m_context.now + newHostsInterval, [this, id] {
        const auto entry = m_offers.find(id);
        if (entry != m_offers.end()) {
            entry->second = Offer { .hosts = hosts() };
            m_waiting.push_back(id);
            sendWaiting();
        }
    });
}

void StreamHandovers::onAnswer(const RequestId& id, const TransferEnded& ended)
{
    --m_inFlight;
    if (const auto newId = takenAs(ended)) {
        taken(id, *newId);
    } else {
        offerAgain(id, ended.end);
    }
    sendWaiting();
}

// An answer that was lost is asked for once more: the same offer gets the same id. A host that stays silent may have
// taken the request; that one ends there at its deadline, since no caller learns of its id.
void StreamHandovers::offerAgain(const RequestId& id, TransferEnd how)
{
    const auto entry = m_offers.find(id);
    if (entry == m_offers.end()) {
        return;
    }
    Offer& offer = entry->second;
    const bool sameHost = how == TransferEnd::Broken && !offer.repeated;
    offer.repeated = sameHost;
    offer.next -= sameHost ? 1 : 0;
    m_waiting.push_back(id);
}

// The caller is told only when the record is durable, so that the old id leads to the new one from then on.
void StreamHandovers::taken(const RequestId& id, const RequestId& newId)
{
    const auto entry = m_offers.find(id);
    if (entry == m_offers.end()) {
        return;
    }
    entry->second.newId = newId;
    if (!m_parts.models.handoverOf(id)) {
        m_offers.erase(entry); // it ended meanwhile
        return;
    }
    m_parts.requests.handOver(id, newId, [this, id] { end(id); });
}

void StreamHandovers::end(const RequestId& id)
{
    const auto entry = m_offers.find(id);
    if (entry == m_offers.end()) {
        return;
    }
    if (entry->second.newId) {
        m_parts.models.handedOver(id, *entry->second.newId);
    } else {
        m_parts.models.handoverFailed(id);
    }
    m_offers.erase(entry);
}

void StreamHandovers::endAll()
{
    while (!m_offers.empty()) {
        end(m_offers.begin()->first);
    }
}

bool StreamHandovers::handlePeer(const IncomingRequest& incoming)
{
    if (incoming.method == "POST" && incoming.target == handoverPath) {
        takeOffer(incoming);
        return true;
    }
    if (incoming.method == "GET" && incoming.target.starts_with(attachPath)) {
        attach(incoming);
        return true;
    }
    return false;
}

void StreamHandovers::takeOffer(const IncomingRequest& incoming)
{
    LastReason reason;
    std::optional<RequestId> id;
    const bool isFull = !m_parts.log.hasRoom() || m_parts.requests.openCount() >= m_context.settings.limits().max_open_requests();
    if (m_parts.isDraining() || m_parts.log.hasEnded() || isFull) {
        reason = { .code = isFull ? ResultCode::RingFull : ResultCode::Draining, .detail = "this host takes no more requests" };
    } else if (const auto offer = decodeHandedOverRequest(incoming.body, reason)) {
        id = m_parts.models.takeOver(*offer, incoming.body.size(), reason);
    }
    if (!id) {
        sendRefusal(m_context, m_context.peerCallers, incoming.exchange, m_parts.requests.refusalId(), { .code = reason.code, .detail = reason.detail });
        return;
    }
    m_context.peerCallers.send(RespondWhole { .exchange = incoming.exchange, .status = statusOk, .headers = { { .name = header::requestId, .value = formatRequestId(*id) } }, .body = {} });
}

void StreamHandovers::attach(const IncomingRequest& incoming)
{
    LastReason reason;
    const std::string text = incoming.target.substr(attachPath.size());
    const auto id = parseRequestId(text, reason);
    AttachCall call { .customer = std::string { findHeader(incoming.headers, header::relayCustomer).value_or("") }, .lastEventId = {} };
    if (const auto last = findHeader(incoming.headers, header::lastEventId)) {
        call.lastEventId = std::string { *last };
    }
    const AttachDecision decision = id ? m_parts.models.attach(*id, call, m_context.peerCallers, incoming.exchange) : AttachNotHere {};
    if (const auto* refused = std::get_if<AttachRefused>(&decision)) {
        sendRefusal(m_context, m_context.peerCallers, incoming.exchange, text, { .code = refused->code, .runState = RunState::MayHaveRun });
    } else if (std::holds_alternative<AttachNotHere>(decision)) {
        RespondWhole response = refusalResponse(incoming.exchange, text, { .code = ResultCode::UnknownRequest });
        response.headers.push_back({ .name = header::heldBy, .value = m_context.incarnation.text });
        m_context.peerCallers.send(std::move(response));
    }
}

} // namespace siskinspread
